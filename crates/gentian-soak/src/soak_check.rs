//! The promises, checked from what callers and replicas saw.

use std::fmt;
use std::path::Path;

use gentian_core::FastMap;

use crate::call_record::{CallKind, CallOutcome, CallRecord};

/// Replicas that may run one repeatable call: the attempts of its route.
const ATTEMPTS: usize = 2;
/// Part of the calls at the end, when no fault is left, that are served, in percent.
const SERVED_PERCENT: usize = 90;

/// What a run found.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Calls made.
    pub calls: usize,
    /// Calls served.
    pub served: usize,
    /// Faults injected.
    pub faults: usize,
    /// Broken promises.
    pub broken: Vec<String>,
}

impl SoakReport {
    /// Tells whether every promise was kept.
    pub fn is_clean(&self) -> bool {
        self.broken.is_empty()
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} calls, {} served, {} faults", self.calls, self.served, self.faults)?;
        match self.broken.len() {
            0 => f.write_str(", every promise kept"),
            count => write!(f, ", {count} BROKEN: {}", self.broken.join("; ")),
        }
    }
}

/// One line of a replica's journal.
struct JournalLine {
    event: String,
    id: String,
    instance: String,
    detail: String,
}

/// Checks a run: `records` of the callers, `tail` of them after the last fault, journals in `folder`.
pub(crate) fn check_run(
    records: &[CallRecord],
    tail: &[CallRecord],
    folder: &Path,
    faults: usize,
) -> eyre::Result<SoakReport> {
    let journal = read_journals(folder)?;
    let is_served = |record: &&CallRecord| record.outcome == CallOutcome::Served;
    let served = records.iter().filter(is_served).count();
    let mut report = SoakReport { calls: records.len(), served, faults, broken: Vec::new() };
    let calls: FastMap<&str, &CallRecord> =
        records.iter().map(|record| (record.id.as_str(), record)).collect();
    let mut runs: FastMap<&str, usize> = FastMap::default();
    for line in &journal {
        match line.event.as_str() {
            "run" => {
                *runs.entry(line.id.as_str()).or_default() += 1;
                match calls.get(line.id.as_str()) {
                    Some(record) => report.broken.extend(check_run_line(record, line)),
                    None => report.broken.push(format!("call {} that nobody made ran", line.id)),
                }
            }
            "over-limit" => report.broken.push(format!("LIMIT {} {}", line.instance, line.id)),
            _ => {}
        }
    }
    for record in records {
        report.broken.extend(check_record(record, runs.get(record.id.as_str()).copied()));
    }
    report.broken.extend(check_fences(&journal));
    let well = tail.iter().filter(is_served).count();
    if well * 100 < tail.len() * SERVED_PERCENT {
        report.broken.push(format!("{well} of {} calls served after the faults", tail.len()));
    }
    Ok(report)
}

fn check_run_line(record: &CallRecord, line: &JournalLine) -> Option<String> {
    let has = |part: &str| line.detail.split(' ').any(|word| word == part);
    let expected = [
        format!("target={}", record.target),
        format!("tenant={}", record.organisation),
        format!("body={}", record.body_bytes),
        "key=".to_owned(),
        "pin=".to_owned(),
    ];
    let missing = expected.iter().find(|part| !has(part))?;
    Some(format!("{} ran without {missing}: {}", record.id, line.detail))
}

fn check_record(record: &CallRecord, runs: Option<usize>) -> Option<String> {
    let runs = runs.unwrap_or(0);
    let (id, kind) = (&record.id, record.kind);
    match &record.outcome {
        CallOutcome::Wrong(cause) => return Some(format!("{kind:?} {id}: {cause}")),
        CallOutcome::NotRun(status) if kind == CallKind::Book && runs > 0 => {
            return Some(format!("{kind:?} {id} was answered {status} and ran"));
        }
        CallOutcome::Served if runs == 0 => return Some(format!("{kind:?} {id} never ran")),
        _ => {}
    }
    let most = if kind == CallKind::Book { 1 } else { ATTEMPTS };
    (runs > most).then(|| format!("{kind:?} {id} ran {runs} times"))
}

/// Fences that a replica accepts never fall, and each belongs to one holder.
fn check_fences(journal: &[JournalLine]) -> Vec<String> {
    let mut broken = Vec::new();
    let mut holders: FastMap<u64, String> = FastMap::default();
    for line in journal.iter().filter(|line| line.event == "order" && line.id != "412") {
        let order: serde_json::Value = serde_json::from_str(&line.detail).unwrap_or_default();
        let fence = order["fencing_token"].as_u64().unwrap_or(0);
        let holder = order["holder"].as_str().unwrap_or("").to_owned();
        let known = holders.entry(fence).or_insert_with(|| holder.clone());
        if *known != holder {
            broken.push(format!("fence {fence} of both {known} and {holder}"));
        }
    }
    broken
}

fn read_journals(folder: &Path) -> eyre::Result<Vec<JournalLine>> {
    let mut lines = Vec::new();
    for file in std::fs::read_dir(folder)? {
        let path = file?.path();
        if path.extension().is_none_or(|extension| extension != "journal") {
            continue;
        }
        for line in std::fs::read_to_string(&path)?.lines() {
            let mut parts = line.splitn(4, '\t').map(ToOwned::to_owned);
            let mut next = || parts.next().unwrap_or_default();
            let (event, id, instance, detail) = (next(), next(), next(), next());
            lines.push(JournalLine { event, id, instance, detail });
        }
    }
    Ok(lines)
}
