//! The configuration of a serving fleet whose upstreams register themselves: routes to services,
//! services with their model catalogues, and organisations with their rates.

mod caller_limits;
mod catalogue_model;
mod engine_spec;
mod service_spec;
mod serving_config;
mod serving_organisation;
mod serving_route;

pub use caller_limits::CallerLimits;
pub use catalogue_model::CatalogueModel;
pub use engine_spec::EngineSpec;
pub use service_spec::ServiceSpec;
pub use serving_config::ServingConfig;
pub use serving_organisation::{ChargeUnit, ServingOrganisation};
pub use serving_route::{RetrySafety, ServiceWeight, ServingRoute};
