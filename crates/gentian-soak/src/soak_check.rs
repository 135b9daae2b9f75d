//! Checks the guarantees against the records of callers and the journals of replicas.

use std::fmt;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use gentian_core::{FastMap, RequestRate};

use crate::call_record::{CallKind, CallOutcome, CallRecord};
use crate::contact_log::ContactLog;
use crate::fleet_layout::CRASH_PART;

/// Executions that a repeatable call may have: the `attempts` of its route.
const MAX_ATTEMPTS: usize = 2;
/// Minimum percentage of calls that are served at the end, when no fault is active.
const MIN_SERVED_PERCENT: usize = 90;

/// Crashes after which a part of a prompt must be recognised as their cause.
const CRASHES_TO_RECOGNISE_PART: usize = 5;
/// Crashes after which a request must be recognised as their cause.
const CRASHES_TO_RECOGNISE_REQUEST: usize = 3;
/// Time after the last of these crashes by which every entry must refuse such requests.
const RECOGNITION_TIME: Duration = Duration::from_secs(3);
/// Such requests that may reach replicas even so.
const MAX_LATER_CRASHES: usize = 3;

/// Status of a refusal because of what upstreams do when they respond to the request.
const REFUSED_STATUS: u16 = 400;

/// Time from the acceptance of a replica's leaving until no request may reach it.
pub(crate) const DRAIN_TIME: Duration = Duration::from_millis(2_000);

/// Window in which requests to an upstream that names a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Requests in a window: the factor on what the limit allows, and what is allowed beyond it.
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;
/// Time from the first response that names a limit, after which it holds.
const LIMIT_START: Duration = Duration::from_secs(3);
/// Part of the limit that is used at the least while more requests come.
const MIN_LIMIT_USE: f64 = 0.5;

/// Whether the upstreams can serve all calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExpectedService {
    /// They can.
    Full,
    /// They name limits below what is called.
    Limited,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Number of calls made.
    pub calls: usize,
    /// Number of calls served.
    pub served: usize,
    /// Number of calls that ended with an error that leaves open whether they were executed.
    pub failed: usize,
    /// Number of faults injected.
    pub faults: usize,
    /// Violated guarantees, one description each.
    pub violations: Vec<String>,
}

impl SoakReport {
    /// Returns whether no guarantee was violated.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} calls, {} served, {} faults", self.calls, self.served, self.faults)?;
        match self.violations.len() {
            0 => f.write_str(", every promise kept"),
            count => write!(f, ", {count} BROKEN: {}", self.violations.join("; ")),
        }
    }
}

/// One line of the journal of a replica.
pub(crate) struct JournalLine {
    pub(crate) event: String,
    pub(crate) id: String,
    pub(crate) instance: String,
    pub(crate) detail: String,
}

impl JournalLine {
    /// Returns the Unix time of the event in milliseconds.
    pub(crate) fn millis(&self) -> Option<u64> {
        self.detail.strip_prefix("at=")?.parse().ok()
    }
}

/// Checks a run: `records` has all calls, `final_records` those sent after the recovery from the
/// last fault, and `folder` contains the journals of the replicas.
pub(crate) fn check_run(
    records: &[CallRecord],
    final_records: &[CallRecord],
    folder: &Path,
    faults: usize,
    expected_service: ExpectedService,
) -> eyre::Result<SoakReport> {
    let journal = read_journals(folder)?;
    let is_served = |record: &&CallRecord| record.outcome == CallOutcome::Served;
    let final_records: Vec<&CallRecord> =
        final_records.iter().filter(|record| !record.is_crashing).collect();
    let served = records.iter().filter(is_served).count();
    let is_failed = |record: &&CallRecord| matches!(record.outcome, CallOutcome::Failed(_));
    let failed = records.iter().filter(is_failed).count();
    let mut report =
        SoakReport { calls: records.len(), served, failed, faults, violations: Vec::new() };
    let calls: FastMap<&str, &CallRecord> =
        records.iter().map(|record| (record.id.as_str(), record)).collect();
    let mut executions: FastMap<&str, usize> = FastMap::default();
    for line in &journal {
        match line.event.as_str() {
            "run" => {
                *executions.entry(line.id.as_str()).or_default() += 1;
                match calls.get(line.id.as_str()) {
                    Some(record) => report.violations.extend(check_execution(record, line)),
                    None => report.violations.push(format!("unknown call {} was run", line.id)),
                }
            }
            "over-limit" => report.violations.push(format!("LIMIT {} {}", line.instance, line.id)),
            _ => {}
        }
    }
    for record in records {
        report.violations.extend(check_record(record, executions.get(record.id.as_str()).copied()));
    }
    report.violations.extend(check_fences(&journal));
    let served_at_end = final_records.iter().copied().filter(is_served).count();
    if expected_service == ExpectedService::Full
        && served_at_end * 100 < final_records.len() * MIN_SERVED_PERCENT
    {
        report.violations.push(format!(
            "only {served_at_end} of {} calls were served after the faults",
            final_records.len()
        ));
    }
    Ok(report)
}

/// Checks that few requests on which replicas crash reach them once their cause, a part of prompts or
/// one request, has been recognised; the time for that starts at `faults_ended_at` at the earliest.
pub(crate) fn check_crashes(
    folder: &Path,
    faults_ended_at: SystemTime,
) -> eyre::Result<Vec<String>> {
    let faults_ended = faults_ended_at.duration_since(UNIX_EPOCH)?.as_millis();
    let mut crashes: FastMap<String, Vec<u128>> = FastMap::default();
    for line in read_journals(folder)?.iter().filter(|line| line.event == "crash") {
        let detail = line.detail.strip_prefix("at=").and_then(|it| it.split_once(" cause="));
        let Some((time, cause)) = detail else { continue };
        crashes.entry(cause.to_owned()).or_default().extend(time.parse::<u128>());
    }
    let mut violations = Vec::new();
    for (cause, mut times) in crashes {
        times.sort_unstable();
        let needed = match cause == CRASH_PART {
            true => CRASHES_TO_RECOGNISE_PART,
            false => CRASHES_TO_RECOGNISE_REQUEST,
        };
        let Some(last) = times.get(needed - 1) else { continue };
        let limit = (*last).max(faults_ended) + RECOGNITION_TIME.as_millis();
        let later = times.iter().filter(|time| **time > limit).count();
        if later > MAX_LATER_CRASHES {
            let all = times.len();
            violations.push(format!(
                "{cause} crashed replicas {later} times after it had to be recognised; {all} in all"
            ));
        }
    }
    Ok(violations)
}

/// Checks that no replica got requests later than [`DRAIN_TIME`] after the store had accepted that
/// it is leaving, unless a fault harmed the store or an entry meanwhile.
pub(crate) fn check_drains(folder: &Path, contact_log: &ContactLog) -> eyre::Result<Vec<String>> {
    let (now, unix_now) = (Instant::now(), SystemTime::now().duration_since(UNIX_EPOCH)?);
    let to_instant = |line: &JournalLine| {
        let millis = line.detail.strip_prefix("at=")?.parse().ok()?;
        now.checked_sub(unix_now.saturating_sub(Duration::from_millis(millis)))
    };
    let journal = read_journals(folder)?;
    let mut violations = Vec::new();
    for drain in journal.iter().filter(|line| line.event == "draining") {
        let Some(drained_at) = to_instant(drain) else { continue };
        let is_late = |line: &&JournalLine| {
            line.event == "arrival"
                && line.instance == drain.instance
                && to_instant(line).is_some_and(|time| {
                    time > drained_at + DRAIN_TIME && contact_log.is_fleet_calm(drained_at, time)
                })
        };
        let count = journal.iter().filter(is_late).count();
        if count > 0 {
            let instance = &drain.instance;
            violations.push(format!("{instance} got {count} requests after it had drained"));
        }
    }
    Ok(violations)
}

/// Checks that no replica got more requests than the limit that all of them name allows, and that
/// the limit is not left unused.
pub(crate) fn check_limits(folder: &Path, limit: RequestRate) -> eyre::Result<Vec<String>> {
    let mut arrivals: FastMap<String, Vec<u64>> = FastMap::default();
    for line in read_journals(folder)?.iter().filter(|line| line.event == "arrival") {
        let time = line.detail.strip_prefix("at=").and_then(|text| text.parse::<u64>().ok());
        arrivals.entry(line.instance.clone()).or_default().extend(time);
    }
    let window = LIMIT_WINDOW.as_millis() as u64;
    let allowed = limit.per_second() * LIMIT_WINDOW.as_secs_f64() * LIMIT_FACTOR + LIMIT_SLACK;
    let mut violations = Vec::new();
    let (mut counted, mut span) = (0, Duration::ZERO);
    for (instance, mut times) in arrivals {
        times.sort_unstable();
        let start = times.first().copied().unwrap_or(0) + LIMIT_START.as_millis() as u64;
        times.retain(|time| *time >= start);
        counted += times.len();
        span += Duration::from_millis(times.last().copied().unwrap_or(start) - start);
        let count_from =
            |from: &u64| times.iter().filter(|time| (*from..from + window).contains(time)).count();
        let most = times.iter().map(count_from).max().unwrap_or(0);
        if most as f64 > allowed {
            violations
                .push(format!("{instance} got {most} requests in 4 s with a limit of {limit}"));
        }
    }
    if (counted as f64) < limit.per_second() * span.as_secs_f64() * MIN_LIMIT_USE {
        violations.push(format!("{counted} requests in {span:?} with a limit of {limit} each"));
    }
    Ok(violations)
}

fn check_execution(record: &CallRecord, line: &JournalLine) -> Option<String> {
    let has = |field: &str| line.detail.split(' ').any(|word| word == field);
    let expected = [
        format!("target={}", record.target),
        format!("tenant={}", record.organisation),
        format!("body={}", record.body_bytes),
        "key=".to_owned(),
        "pin=".to_owned(),
    ];
    let missing = expected.iter().find(|field| !has(field))?;
    Some(format!("{} was executed without {missing}: {}", record.id, line.detail))
}

fn check_record(record: &CallRecord, executions: Option<usize>) -> Option<String> {
    let executions = executions.unwrap_or(0);
    let (id, kind) = (&record.id, record.kind);
    match &record.outcome {
        CallOutcome::Invalid(cause) => return Some(format!("{kind:?} {id}: {cause}")),
        CallOutcome::NotExecuted(status) if kind == CallKind::Book && executions > 0 => {
            return Some(format!("{kind:?} {id} was refused with {status} but executed"));
        }
        CallOutcome::Served if executions == 0 => return Some(format!("{kind:?} {id} never ran")),
        CallOutcome::Failed(REFUSED_STATUS) if !record.is_crashing => {
            return Some(format!("{kind:?} {id} was refused though no replica crashes on it"));
        }
        _ => {}
    }
    let max_executions = if kind == CallKind::Book { 1 } else { MAX_ATTEMPTS };
    (executions > max_executions).then(|| format!("{kind:?} {id} was executed {executions} times"))
}

/// Checks that each fencing number belongs to one holder, over all orders that reached a replica
/// and were not refused with status 412.
fn check_fences(journal: &[JournalLine]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut holders: FastMap<u64, String> = FastMap::default();
    for line in journal.iter().filter(|line| line.event == "order" && line.id != "412") {
        let order: serde_json::Value = serde_json::from_str(&line.detail).unwrap_or_default();
        let fence = order["fencing_token"].as_u64().unwrap_or(0);
        let holder = order["holder"].as_str().unwrap_or("").to_owned();
        let known = holders.entry(fence).or_insert_with(|| holder.clone());
        if *known != holder {
            violations.push(format!("fencing number {fence} used by both {known} and {holder}"));
        }
    }
    violations
}

/// Reads the journals of all replicas.
pub(crate) fn read_journals(folder: &Path) -> eyre::Result<Vec<JournalLine>> {
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
