//! A fleet of entries whose upstreams end under certain requests.

#![allow(dead_code)]

use gentian_core::peer::{FleetMessage, QuarantineNotice, SuspectReport, SuspicionGrade};
use gentian_core::{MonoTime, RequestId, TimeSpan, UpstreamId, VmId, WorkId};
use gentian_decide::quarantine::{MessageRepeats, QuarantineCheck, WorkQuarantine};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const STEP: TimeSpan = TimeSpan::from_millis(5);
/// Time from the arrival of a request at an upstream to the start of its answer.
const PREFILL_MILLIS: u64 = 150;
/// Time from the start of an answer to its end.
const ANSWER_MILLIS: u64 = 700;
/// Time that a plain service takes for an answer, of which nothing is seen before its end.
const PLAIN_MILLIS: u64 = 60;
/// Time for which a crashed upstream is away.
const RESTART_MILLIS: u64 = 3_300;
/// Time from the last crash needed for a finding after which at most [`MAX_LATER`] more requests may
/// reach upstreams.
const CONTACT_TIME: TimeSpan = TimeSpan::from_millis(3_000);
pub(crate) const MAX_LATER: usize = 3;
/// The part that makes upstreams end, and the request that does.
pub(crate) const CRASH_PART: WorkId = WorkId::of_part(0xdead);
pub(crate) const CRASH_REQUEST: WorkId = WorkId::of_request(0xdead);
/// Percentage of messages that are lost.
const LOST_PERCENT: u32 = 3;
/// Time that a request waits for an upstream at the longest.
const QUEUE_TIME: TimeSpan = TimeSpan::from_secs(5);
/// Attempts that an entry makes for a request that may be repeated.
const ATTEMPTS: usize = 2;

#[derive(Clone, Copy)]
pub(crate) struct FleetSize {
    pub(crate) entries: usize,
    pub(crate) upstreams: usize,
    pub(crate) requests_per_second: u64,
}

pub(crate) const SMALL: FleetSize =
    FleetSize { entries: 6, upstreams: 12, requests_per_second: 20 };
pub(crate) const LARGE: FleetSize =
    FleetSize { entries: 90, upstreams: 140, requests_per_second: 256 };
pub(crate) const HUGE: FleetSize =
    FleetSize { entries: 370, upstreams: 600, requests_per_second: 390 };

/// Which requests make upstreams end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashCause {
    /// Those whose prompts hold [`CRASH_PART`]; no two are alike.
    Part,
    /// Repeats of one stream.
    Stream,
    /// Repeats of one request of a plain service. All requests are such ones.
    Plain,
}

struct Entry {
    vm: VmId,
    quarantine: WorkQuarantine,
    repeats: MessageRepeats,
}

#[derive(Clone)]
struct Request {
    number: u64,
    entry: usize,
    upstream: usize,
    works: Vec<WorkId>,
    /// When it arrived at its entry.
    arrived: MonoTime,
    sent: MonoTime,
    attempt: usize,
    is_crashing: bool,
}

pub(crate) struct Fleet {
    size: FleetSize,
    cause: CrashCause,
    random: StdRng,
    pub(crate) now: MonoTime,
    entries: Vec<Entry>,
    away_until: Vec<MonoTime>,
    waiting: Vec<Request>,
    running: Vec<Request>,
    messages: Vec<(MonoTime, usize, FleetMessage)>,
    request_count: u64,
    /// When requests that make upstreams end reached some.
    pub(crate) crashing_sent: Vec<MonoTime>,
    pub(crate) crashes: Vec<MonoTime>,
    pub(crate) refused_sound: usize,
    /// Sound requests that waited too long for their turn.
    pub(crate) refused_held: usize,
    /// Interval at which the model is loaded that the requests need that cause crashes.
    load_interval: Option<TimeSpan>,
}

impl Fleet {
    pub(crate) fn new(size: FleetSize, cause: CrashCause, seed: u64) -> Self {
        let vms = (0..size.entries).map(|index| format!("vm-{index}").parse::<VmId>().unwrap());
        let entries = vms.map(|vm| Entry {
            quarantine: WorkQuarantine::new(vm.clone()),
            repeats: MessageRepeats::new(),
            vm,
        });
        Self {
            size,
            cause,
            random: StdRng::seed_from_u64(seed),
            now: MonoTime::from_millis(10_000),
            entries: entries.collect(),
            away_until: vec![MonoTime::ORIGIN; size.upstreams],
            waiting: Vec::new(),
            running: Vec::new(),
            messages: Vec::new(),
            request_count: 0,
            crashing_sent: Vec::new(),
            crashes: Vec::new(),
            refused_sound: 0,
            refused_held: 0,
            load_interval: None,
        }
    }

    /// Has the requests that cause crashes wait until their model is loaded, on one upstream, which is
    /// the case for 300 ms each `interval`.
    pub(crate) fn with_rare_model(self, interval: TimeSpan) -> Self {
        Self { load_interval: Some(interval), ..self }
    }

    /// Runs the fleet; `crash_percent` of the requests make upstreams end, and `outages` upstreams a
    /// second end for other reasons.
    pub(crate) fn run(&mut self, span: TimeSpan, crash_percent: f64, outages: f64) {
        let end = self.now + span;
        let step = STEP.as_secs_f64();
        while self.now < end {
            self.now = self.now + STEP;
            let expected = self.size.requests_per_second as f64 * step;
            for chance in [expected.min(1.0), (expected - 1.0).clamp(0.0, 1.0)] {
                if self.random.random_bool(chance) {
                    self.make_request(crash_percent);
                }
            }
            if self.random.random_bool(outages * step) {
                let upstream = self.random.random_range(0..self.size.upstreams);
                self.end_upstream(upstream);
            }
            self.deliver();
            self.send_waiting();
            self.run_upstreams();
            self.decide();
        }
    }

    /// Ends a fraction of the upstreams in the same moment.
    pub(crate) fn end_upstreams(&mut self, fraction: f64) {
        for upstream in 0..self.size.upstreams {
            if self.random.random_bool(fraction) {
                self.end_upstream(upstream);
            }
        }
    }

    /// Sound streams share the first part with all others and the second with one in twelve. One sound
    /// request in ten is a popular one, which is always the same.
    fn make_request(&mut self, crash_percent: f64) {
        let is_crashing = self.random.random_bool(crash_percent / 100.0);
        let second = match self.cause {
            CrashCause::Stream if is_crashing => 0,
            _ => self.random.random_range(0..12),
        };
        let mut works = match self.cause {
            CrashCause::Plain => Vec::new(),
            _ => vec![WorkId::of_part(0xa0), WorkId::of_part(0xb0 + second)],
        };
        if is_crashing && self.cause == CrashCause::Part {
            works.push(CRASH_PART);
        }
        self.request_count += 1;
        works.push(match self.cause {
            CrashCause::Stream | CrashCause::Plain if is_crashing => CRASH_REQUEST,
            CrashCause::Plain if self.random.random_ratio(1, 10) => WorkId::of_request(0xfa),
            _ => WorkId::of_request(0x1_0000 + self.request_count),
        });
        let entry = self.random.random_range(0..self.size.entries);
        let (arrived, upstream, attempt, number) = (self.now, 0, 1, self.request_count);
        let sent = arrived;
        self.admit_request(Request {
            number,
            entry,
            upstream,
            works,
            arrived,
            sent,
            attempt,
            is_crashing,
        });
    }

    fn admit_request(&mut self, request: Request) {
        let quarantine = &mut self.entries[request.entry].quarantine;
        match quarantine.check(request.works.iter().copied(), self.now) {
            QuarantineCheck::Refuse(_) => {
                self.refused_sound += usize::from(!request.is_crashing);
            }
            QuarantineCheck::Trial(_) => panic!("no run is so long"),
            QuarantineCheck::Pass => self.waiting.push(request),
        }
    }

    /// Sends the requests that may be sent; those that cause crashes need a model that is loaded only
    /// from time to time, if [`Self::with_rare_model`] says so.
    fn send_waiting(&mut self) {
        let is_loaded = self.load_interval.is_none_or(|interval| {
            self.now.since(MonoTime::ORIGIN).as_millis() % interval.as_millis() < 300
        });
        for request in std::mem::take(&mut self.waiting) {
            let quarantine = &mut self.entries[request.entry].quarantine;
            if quarantine.find_quarantined(request.works.iter().copied()).is_some() {
                self.refused_sound += usize::from(!request.is_crashing);
                continue;
            }
            let work = *request.works.last().unwrap();
            let is_held = quarantine.holds_back(work, self.now);
            if (request.is_crashing && !is_loaded) || is_held {
                if self.now.since(request.arrived) < QUEUE_TIME {
                    self.waiting.push(request);
                } else {
                    self.refused_held += usize::from(is_held && !request.is_crashing);
                }
                continue;
            }
            let present: Vec<usize> =
                (0..self.size.upstreams).filter(|it| self.away_until[*it] <= self.now).collect();
            if present.is_empty() {
                continue;
            }
            let upstream = match request.is_crashing && self.load_interval.is_some() {
                true => present[0],
                false => present[self.random.random_range(0..present.len())],
            };
            if request.is_crashing {
                self.crashing_sent.push(self.now);
            }
            self.entries[request.entry].quarantine.record_send(work, self.now);
            self.running.push(Request { upstream, sent: self.now, ..request });
        }
        for index in 0..self.entries.len() {
            for claim in self.entries[index].quarantine.take_claims() {
                self.post(index, None, FleetMessage::Claim(claim));
            }
        }
    }

    fn time_to_answer(&self) -> TimeSpan {
        TimeSpan::from_millis(match self.cause {
            CrashCause::Plain => PLAIN_MILLIS,
            _ => PREFILL_MILLIS,
        })
    }

    fn time_to_end(&self) -> TimeSpan {
        TimeSpan::from_millis(match self.cause {
            CrashCause::Plain => PLAIN_MILLIS,
            _ => PREFILL_MILLIS + ANSWER_MILLIS,
        })
    }

    fn run_upstreams(&mut self) {
        let (now, time_to_answer) = (self.now, self.time_to_answer());
        let crashed: Vec<usize> = self
            .running
            .iter()
            .filter(|request| request.is_crashing && now.since(request.sent) >= time_to_answer)
            .map(|request| request.upstream)
            .collect();
        for upstream in crashed {
            if self.away_until[upstream] <= self.now {
                self.crashes.push(self.now);
                self.end_upstream(upstream);
            }
        }
        let time_to_end = self.time_to_end();
        let is_done = |request: &mut Request| now.since(request.sent) >= time_to_end;
        let done: Vec<Request> = self.running.extract_if(.., is_done).collect();
        for request in done {
            let quarantine = &mut self.entries[request.entry].quarantine;
            let works = request.works.iter().copied();
            let Some(notice) = quarantine.record_served(works, now) else { continue };
            let served = notice.works.iter().map(|(work, _)| *work);
            let released: Vec<WorkId> =
                served.filter(|work| quarantine.is_quarantined(*work)).collect();
            for work in released {
                self.entries[request.entry].quarantine.release(work, now);
                let notice = QuarantineNotice { work, is_quarantined: false };
                self.broadcast(request.entry, FleetMessage::Quarantine(notice));
            }
            self.broadcast(request.entry, FleetMessage::Served(notice));
        }
    }

    fn end_upstream(&mut self, upstream: usize) {
        self.away_until[upstream] = self.now + TimeSpan::from_millis(RESTART_MILLIS);
        let id: UpstreamId = format!("i-{upstream}").parse().unwrap();
        let broken: Vec<Request> =
            self.running.extract_if(.., |request| request.upstream == upstream).collect();
        for request in broken {
            let running = self.now.since(request.sent);
            let time_to_answer = self.time_to_answer();
            if running > time_to_answer + TimeSpan::from_millis(250) {
                continue;
            }
            let has_begun = running >= time_to_answer && request.is_crashing;
            let grade = match has_begun && self.cause != CrashCause::Plain {
                true => SuspicionGrade::Strong,
                false => SuspicionGrade::Weak,
            };
            let quarantine = &mut self.entries[request.entry].quarantine;
            let report = SuspectReport {
                vm: format!("vm-{}", request.entry).parse().unwrap(),
                request: RequestId::new(request.number),
                upstream: id.clone(),
                age: TimeSpan::ZERO,
                running,
                grade,
                works: request.works.clone(),
            };
            quarantine.record_crash(&report, self.now);
            let stops =
                request.works.last().is_some_and(|work| quarantine.stops_retries(*work, self.now));
            self.broadcast(request.entry, FleetMessage::Suspect(report));
            let is_repeated = self.cause != CrashCause::Part && request.attempt < ATTEMPTS;
            if is_repeated && grade == SuspicionGrade::Weak && !stops {
                self.admit_request(Request { attempt: request.attempt + 1, ..request });
            }
        }
    }

    fn decide(&mut self) {
        for index in 0..self.entries.len() {
            for work in self.entries[index].quarantine.decide(self.now) {
                let notice = QuarantineNotice { work, is_quarantined: true };
                self.broadcast(index, FleetMessage::Quarantine(notice));
            }
            for message in self.entries[index].repeats.take_due(self.now) {
                self.post(index, None, message);
            }
        }
    }

    fn broadcast(&mut self, from: usize, message: FleetMessage) {
        self.entries[from].repeats.add(message.clone(), self.now);
        self.post(from, None, message);
    }

    fn post(&mut self, from: usize, only: Option<&VmId>, message: FleetMessage) {
        for to in 0..self.entries.len() {
            let is_recipient = only.is_none_or(|vm| *vm == self.entries[to].vm);
            if to == from || !is_recipient || self.random.random_ratio(LOST_PERCENT, 100) {
                continue;
            }
            let delay = TimeSpan::from_millis(self.random.random_range(1..20));
            self.messages.push((self.now + delay, to, message.clone()));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.messages.extract_if(.., |(time, ..)| *time <= now).collect();
        for (_, to, message) in due {
            let quarantine = &mut self.entries[to].quarantine;
            match message {
                FleetMessage::Suspect(report) => {
                    if let Some(notice) = quarantine.handle_report(&report, now) {
                        self.post(to, Some(&report.vm), FleetMessage::Served(notice));
                    }
                }
                FleetMessage::Served(notice) => quarantine.handle_served(&notice, now),
                FleetMessage::Claim(notice) => quarantine.handle_claim(&notice, now),
                FleetMessage::Quarantine(notice) => {
                    quarantine.handle_notice(notice, now);
                }
                _ => {}
            }
        }
    }

    /// Replaces every entry by one that knows only what is stored.
    pub(crate) fn restart_entries(&mut self) {
        let stored: Vec<WorkId> = self.entries[0].quarantine.works().collect();
        let trace = self.entries[0].quarantine.trace(self.now);
        for index in 0..self.entries.len() {
            self.restart_entry(index, &stored, &trace);
        }
        self.running.clear();
        self.waiting.clear();
    }

    /// Replaces a random entry by one that knows what the hub, the first entry, tells it.
    pub(crate) fn restart_random_entry(&mut self) {
        let index = self.random.random_range(1..self.entries.len());
        let stored: Vec<WorkId> = self.entries[0].quarantine.works().collect();
        let trace = self.entries[0].quarantine.trace(self.now);
        self.restart_entry(index, &stored, &trace);
        self.running.retain(|request| request.entry != index);
        self.waiting.retain(|request| request.entry != index);
    }

    fn restart_entry(&mut self, index: usize, stored: &[WorkId], trace: &[SuspectReport]) {
        let entry = &mut self.entries[index];
        entry.quarantine = WorkQuarantine::new(entry.vm.clone());
        entry.repeats = MessageRepeats::new();
        entry.quarantine.restore(stored.iter().copied(), self.now);
        for report in trace {
            entry.quarantine.handle_report(report, self.now);
        }
    }

    /// Returns how many requests that make upstreams end reached some although the cause had to be
    /// known after this many crashes.
    pub(crate) fn later_requests(&self, crashes: usize) -> usize {
        let Some(last) = self.crashes.get(crashes - 1) else { return 0 };
        let limit = *last + CONTACT_TIME;
        self.crashing_sent.iter().filter(|time| **time > limit).count()
    }

    /// Returns what each entry refuses.
    pub(crate) fn quarantined(&self) -> Vec<Vec<WorkId>> {
        let works = |entry: &Entry| {
            let mut works: Vec<WorkId> = entry.quarantine.works().collect();
            works.sort_unstable();
            works
        };
        self.entries.iter().map(works).collect()
    }
}
