//! Parsing of a whole configuration.

use std::collections::BTreeMap;
use std::fmt::Display;

use gentian_core::FastMap;

use crate::reference_check::check_set;
use crate::{
    AdapterSpec, ConfigFault, ConfigSet, DomainSpec, FleetSpec, IniSection, KeySpec, ModelSpec,
    OrganisationSpec, RouteSpec, SectionReader, UpstreamSpec, parse_ini,
};

const SECTION_KINDS: &str = "fleet, organisation, key, model, adapter, domain, upstream, route";

/// Line of each object, and which objects are withdrawn, for fault messages.
#[derive(Default)]
pub(crate) struct ObjectIndex {
    lines: FastMap<(String, String), usize>,
    withdrawn: FastMap<(String, String), usize>,
}

impl ObjectIndex {
    /// Returns the line of the object's header, or 0 if the text has no such object.
    pub(crate) fn line(&self, kind: &str, name: impl Display) -> usize {
        self.lines.get(&(kind.to_owned(), name.to_string())).copied().unwrap_or(0)
    }

    pub(crate) fn is_withdrawn(&self, kind: &str, name: impl Display) -> bool {
        self.withdrawn.contains_key(&(kind.to_owned(), name.to_string()))
    }

    fn add(&mut self, section: &IniSection, is_withdrawn: bool) -> Option<ConfigFault> {
        let key = (section.kind.clone(), section.name.clone());
        if is_withdrawn {
            self.withdrawn.insert(key.clone(), section.line);
        }
        let first = self.lines.insert(key, section.line)?;
        let message = format!("[{}] is already defined at line {first}", section.header());
        Some(ConfigFault::new(section.line, message))
    }
}

/// Parses `text` and checks the whole set.
///
/// # Errors
///
/// Returns every fault of the text, in the order of its lines: lines that are not valid INI,
/// unknown sections and settings, malformed values, objects that are defined twice, and the faults
/// between objects, such as references to missing or withdrawn ones.
pub fn parse_config(text: &str) -> Result<ConfigSet, Vec<ConfigFault>> {
    let (sections, mut faults) = parse_ini(text);
    let mut set = ConfigSet::default();
    let mut index = ObjectIndex::default();
    for section in &sections {
        faults.extend(parse_section(section, &mut set, &mut index));
    }
    set.key_ids = set.keys.values().map(|key| (key.digest, key.id.clone())).collect();
    faults.extend(check_set(&set, &index));
    if faults.is_empty() {
        return Ok(set);
    }
    faults.sort();
    Err(faults)
}

fn parse_section(
    section: &IniSection,
    set: &mut ConfigSet,
    index: &mut ObjectIndex,
) -> Vec<ConfigFault> {
    let mut reader = SectionReader::new(section);
    let is_withdrawn = reader.flag("withdrawn");
    let duplicate = index.add(section, is_withdrawn);
    let reader_ref = &mut reader;
    match section.kind.as_str() {
        "fleet" => set.fleet = FleetSpec::read(reader_ref),
        "organisation" => {
            let spec = OrganisationSpec::read(reader_ref);
            insert(&mut set.organisations, is_withdrawn, spec, |spec| spec.id.clone());
        }
        "key" => insert(&mut set.keys, is_withdrawn, KeySpec::read(reader_ref), |s| s.id.clone()),
        "model" => {
            insert(&mut set.models, is_withdrawn, ModelSpec::read(reader_ref), |s| s.id.clone());
        }
        "adapter" => {
            insert(&mut set.adapters, is_withdrawn, AdapterSpec::read(reader_ref), |s| {
                s.id.clone()
            });
        }
        "domain" => {
            insert(&mut set.domains, is_withdrawn, DomainSpec::read(reader_ref), |s| s.id.clone());
        }
        "upstream" => {
            let spec = UpstreamSpec::read(reader_ref);
            insert(&mut set.upstreams, is_withdrawn, spec, |spec| spec.id.clone());
        }
        "route" => {
            insert(&mut set.routes, is_withdrawn, RouteSpec::read(reader_ref), |s| s.id.clone());
        }
        kind => {
            let message = format!("unknown section kind '{kind}'; known: {SECTION_KINDS}");
            return vec![ConfigFault::new(section.line, message)];
        }
    }
    reader.into_faults().into_iter().chain(duplicate).collect()
}

/// Inserts `spec` into `map` unless it is withdrawn or lacks a valid required value.
fn insert<K: Ord, S>(
    map: &mut BTreeMap<K, S>,
    is_withdrawn: bool,
    spec: Option<S>,
    id: impl Fn(&S) -> K,
) {
    if let Some(spec) = spec.filter(|_| !is_withdrawn) {
        map.insert(id(&spec), spec);
    }
}
