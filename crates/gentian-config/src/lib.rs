//! Configured objects, the INI text that describes them, and the check of the whole set.

mod adapter_spec;
mod chunk_split;
mod config_fault;
mod config_parser;
mod config_set;
mod domain_spec;
mod fleet_spec;
mod ini_section;
mod ini_text;
mod key_spec;
mod model_spec;
mod organisation_spec;
mod reference_check;
mod route_spec;
mod section_reader;
pub mod serving;
mod upstream_spec;

pub use adapter_spec::AdapterSpec;
pub use chunk_split::{CHUNK_COUNT, ChunkDigest, join_chunks, split_chunks};
pub use config_fault::{ConfigFault, format_faults};
pub use config_parser::parse_config;
pub use config_set::{ConfigSet, ModelMatch};
pub use domain_spec::{DomainSpec, DomainState};
pub use fleet_spec::FleetSpec;
pub use ini_section::{IniSection, IniSetting};
pub use ini_text::{parse_ini, write_ini};
pub use key_spec::{KeySpec, digest_key};
pub use model_spec::ModelSpec;
pub use organisation_spec::OrganisationSpec;
pub use route_spec::{RouteAccess, RouteKind, RouteSpec};
pub use section_reader::SectionReader;
pub use upstream_spec::{FencingMode, UpstreamKind, UpstreamSpec};
