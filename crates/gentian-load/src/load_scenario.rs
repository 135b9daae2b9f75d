//! Load scenarios in INI format.

use std::net::SocketAddr;

use gentian_config::{ConfigFault, IniSection, SectionReader, parse_ini};
use gentian_core::TimeSpan;

use crate::flow_spec::FlowSpec;

const MAX_RUN_TIME: TimeSpan = TimeSpan::from_secs(600);
const DEFAULT_CALL_LIMIT: usize = 1_000;

/// A bounded run against processes on this machine.
#[derive(Clone, Debug)]
pub(crate) struct LoadScenario {
    /// Entries, or upstreams for a direct comparison.
    pub(crate) targets: Vec<SocketAddr>,
    /// Length of the run.
    pub(crate) span: TimeSpan,
    /// Seed of the random arrivals, targets and models.
    pub(crate) seed: u64,
    /// Maximum number of concurrent calls of a flow; further arrivals are counted as not sent.
    pub(crate) call_limit: usize,
    /// Flows that run at the same time.
    pub(crate) flows: Vec<FlowSpec>,
}

impl LoadScenario {
    /// Parses a scenario: a section `[load]` and a section `[flow NAME]` for each flow.
    pub(crate) fn parse(text: &str) -> Result<Self, Vec<ConfigFault>> {
        let (sections, mut faults) = parse_ini(text);
        let mut head = None;
        let mut flows = Vec::new();
        for section in &sections {
            let mut reader = SectionReader::new(section);
            match section.kind.as_str() {
                "load" => head = parse_load_section(&mut reader),
                "flow" => flows.extend(FlowSpec::parse(&section.name, &mut reader)),
                _ => faults.push(unknown_section(section)),
            }
            faults.extend(reader.into_faults());
        }
        match head {
            Some(head) if faults.is_empty() => Ok(Self { flows, ..head }),
            Some(_) => Err(faults),
            None => {
                faults.push(ConfigFault::new(1, "the scenario needs a complete section [load]"));
                Err(faults)
            }
        }
    }
}

fn parse_load_section(reader: &mut SectionReader<'_>) -> Option<LoadScenario> {
    let targets: Vec<SocketAddr> = reader.list("targets");
    let span: Option<TimeSpan> = reader.required("span");
    let seed = reader.optional("seed").unwrap_or(1);
    let call_limit = reader.optional("call_limit").unwrap_or(DEFAULT_CALL_LIMIT);
    if targets.is_empty() || !targets.iter().all(|target| target.ip().is_loopback()) {
        reader.add_fault("targets", "'targets' must be loopback addresses, at least one");
    }
    if span.is_some_and(|span| span > MAX_RUN_TIME) {
        reader.add_fault("span", format!("'span' is at most {MAX_RUN_TIME}"));
    }
    Some(LoadScenario { targets, span: span?, seed, call_limit, flows: Vec::new() })
}

fn unknown_section(section: &IniSection) -> ConfigFault {
    let message = format!("unknown section [{}]; known: load, flow", section.header());
    ConfigFault::new(section.line, message)
}
