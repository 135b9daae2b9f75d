//! Stand-in of the platform's API for reports of usage, and the checks of what it received.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::SystemTime;

use eyre::eyre;
use gentian_core::TimeSpan;
use gentian_http::ProcessClock;
use gentian_http::forward::{
    BodyFraming, BufferedStream, RequestHead, ResponseHead, read_request_body, serve_connections,
};
use gentian_http::join_threads;
use serde_json::Value;

use crate::soak_check::{JournalLine, read_journals};

/// Length of a window, and time after its end at which its report is due, in the soak.
pub(crate) const WINDOW_MILLIS: u64 = 2_000;
pub(crate) const LATE_MILLIS: u64 = 6_000;
/// Fraction by which a count may differ, and requests by which it may differ even so: the platform's
/// replicas and the entries see the beginning of a request some milliseconds apart.
const TOLERANCE: f64 = 0.05;
const SLACK: u64 = 2;
const CONNECTION_LIMIT: usize = 32;
const MAX_HEAD_BYTES: usize = 64 << 10;
const MAX_BODY_BYTES: usize = 1 << 20;
const IDLE_TIMEOUT: TimeSpan = TimeSpan::from_secs(5);

/// A report as it was accepted.
#[derive(Clone, Debug)]
struct UsageArrival {
    millis: u64,
    holder: String,
    token: u64,
    window: u64,
    counts: BTreeMap<String, u64>,
}

/// Accepts reports of usage and keeps them.
pub(crate) struct UsageLog {
    arrivals: Arc<Mutex<Vec<UsageArrival>>>,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl UsageLog {
    /// Listens on `address`.
    pub(crate) fn start(address: SocketAddr) -> eyre::Result<Self> {
        let arrivals: Arc<Mutex<Vec<UsageArrival>>> = Arc::default();
        let stop = Arc::new(AtomicBool::new(false));
        let (clock, log) = (ProcessClock::new(), Arc::clone(&arrivals));
        let serve = move |mut stream: BufferedStream| {
            if let Err(error) = serve_reports(&mut stream, clock, &log) {
                log::debug!("a report of usage was not read: {error:#}");
            }
        };
        let limit = CONNECTION_LIMIT;
        let thread = serve_connections("api", address, limit, Arc::clone(&stop), clock, serve)?;
        Ok(Self { arrivals, stop, thread })
    }

    /// Stops listening.
    pub(crate) fn stop(self) {
        self.stop.store(true, Ordering::Release);
        join_threads([self.thread]);
    }

    /// Returns a description of each violation. `is_calm` tells whether the run had no faults, so that
    /// every window must have been reported in time, with what the journals in `folder` show.
    pub(crate) fn check(&self, folder: &Path, is_calm: bool) -> eyre::Result<Vec<String>> {
        let arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let mut violations = check_order(&arrivals);
        if is_calm {
            violations.extend(check_counts(&arrivals, &read_journals(folder)?));
        }
        Ok(violations)
    }
}

fn serve_reports(
    stream: &mut BufferedStream,
    clock: ProcessClock,
    arrivals: &Mutex<Vec<UsageArrival>>,
) -> eyre::Result<()> {
    loop {
        let deadline = clock.now() + IDLE_TIMEOUT;
        let head = loop {
            match RequestHead::parse(stream.buffered(), MAX_HEAD_BYTES)? {
                Some((head, length)) => {
                    stream.consume(length);
                    break head;
                }
                None if stream.fill(deadline)? == 0 => return Ok(()),
                None => {}
            }
        };
        let framing = BodyFraming::of_request(&head.headers)?;
        let body = read_request_body(stream, framing, MAX_BODY_BYTES, deadline)
            .map_err(|error| eyre!("no body: {error}"))?;
        let status = accept_report(&head, &body, arrivals)?;
        let response = ResponseHead::new(status).with_header("Content-Length", "0");
        stream.write_all(&response.to_bytes(), deadline)?;
    }
}

/// Records a report and returns the status of the response.
fn accept_report(
    head: &RequestHead,
    body: &[u8],
    arrivals: &Mutex<Vec<UsageArrival>>,
) -> eyre::Result<u16> {
    let header = |name: &str| {
        head.headers.text(name).map(ToOwned::to_owned).ok_or_else(|| eyre!("{name} is missing"))
    };
    if (head.method.as_str(), head.target.as_str()) != ("POST", "/usage") {
        return Ok(404);
    }
    let report: Value = serde_json::from_slice(body)?;
    let count_of = |value: &Value| value.as_u64().ok_or_else(|| eyre!("a count is no number"));
    let counts = report["counts"].as_object().ok_or_else(|| eyre!("no counts"))?;
    let counts: eyre::Result<BTreeMap<String, u64>> =
        counts.iter().map(|(name, count)| Ok((name.clone(), count_of(count)?))).collect();
    let arrival = UsageArrival {
        millis: unix_millis(),
        holder: header("X-Gentianwheel-Duty-Holder")?,
        token: header("X-Gentianwheel-Fencing-Token")?.parse()?,
        window: count_of(&report["window_number"])?,
        counts: counts?,
    };
    let mut arrivals = arrivals.lock().unwrap_or_else(PoisonError::into_inner);
    let is_fenced = arrivals.iter().any(|earlier| earlier.token > arrival.token);
    if is_fenced {
        return Ok(409);
    }
    arrivals.push(arrival);
    Ok(200)
}

/// Checks that a window has one content and a token one holder.
fn check_order(arrivals: &[UsageArrival]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut windows: BTreeMap<u64, &UsageArrival> = BTreeMap::new();
    let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
    for arrival in arrivals {
        if windows.entry(arrival.window).or_insert(arrival).counts != arrival.counts {
            violations.push(format!("window {} was reported with two contents", arrival.window));
        }
        if *holders.entry(arrival.token).or_insert(&arrival.holder) != arrival.holder {
            violations.push(format!("token {} was sent by two VMs", arrival.token));
        }
    }
    violations
}

/// Checks that every window between the first and the last requests was reported in time, within the
/// tolerance.
fn check_counts(arrivals: &[UsageArrival], journal: &[JournalLine]) -> Vec<String> {
    let mut begun: BTreeMap<u64, BTreeMap<&str, u64>> = BTreeMap::new();
    for line in journal.iter().filter(|line| line.event == "began" && !line.id.is_empty()) {
        let window = line.millis().unwrap_or(0) / WINDOW_MILLIS;
        *begun.entry(window).or_default().entry(line.id.as_str()).or_default() += 1;
    }
    let end = unix_millis();
    let due = |window: u64| (window + 1) * WINDOW_MILLIS + LATE_MILLIS;
    let mut violations = Vec::new();
    let mut checked = 0;
    for (window, counts) in begun.iter().skip(1).filter(|(window, _)| due(**window) < end) {
        checked += 1;
        let found = arrivals.iter().find(|it| it.window == *window && it.millis <= due(*window));
        let Some(found) = found else {
            violations.push(format!("window {window} was not reported in time"));
            continue;
        };
        for (organisation, count) in counts {
            let reported = found.counts.get(*organisation).copied().unwrap_or(0);
            let difference = reported.abs_diff(*count);
            if difference > SLACK && difference as f64 > *count as f64 * TOLERANCE {
                violations.push(format!(
                    "window {window} was reported with {reported} instead of {count} requests of \
                     {organisation}"
                ));
            }
        }
    }
    log::info!("usage: {checked} windows checked, {} reports", arrivals.len());
    if checked == 0 {
        violations.push("no window of usage could be checked".to_owned());
    }
    violations
}

fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
