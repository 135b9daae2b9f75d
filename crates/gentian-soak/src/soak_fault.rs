//! Random faults of a run, generated from its seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::FaultPlan;
use crate::fleet_layout::zone_name;
use crate::loopback_proxy::{FAULT_MODES, LinkMode};

/// The last replicas, which are plain services.
pub(crate) const PLAIN_REPLICAS: usize = 2;

/// Faults of answers that the stand-in of a replica knows.
const ANSWER_FAULTS: [&str; 24] = [
    "unframed-answer",
    "unframed-cut",
    "endless-head",
    "endless-body",
    "endless-trailer",
    "endless-status-line",
    "endless-field",
    "endless-chunk-size",
    "endless-length",
    "endless-unframed",
    "endless-report",
    "stalled-head",
    "stalled-body",
    "cut-head",
    "zero-status",
    "bad-field",
    "bad-trailer",
    "chunked-event-cut",
    "length-event-cut",
    "early-cut",
    "failed-resume",
    "repeated-refusal",
    "repeated-bare-refusal",
    "turned-away",
];

/// Those of them that go on until the entry closes the connection.
const ENDLESS_FAULTS: [&str; 6] = [
    "endless-head",
    "endless-body",
    "endless-trailer",
    "endless-length",
    "stalled-head",
    "stalled-body",
];

/// Time within which engines that were replaced serve.
const REPLACEMENT_TIME: Duration = Duration::from_secs(6);

/// A fault of a process or a link; the first field is the index of the entry or replica.
#[derive(Clone, Copy, Debug)]
pub(crate) enum SoakFault {
    /// An entry receives SIGTERM and is restarted.
    StopEntry(usize),
    /// An entry is killed and restarted.
    KillEntry(usize),
    /// An entry is suspended with SIGSTOP.
    PauseEntry(usize, Duration),
    /// Every entry is killed at once.
    KillEntries,
    /// An entry receives SIGHUP and reloads its settings.
    ReloadEntry(usize),
    /// A replica is killed and restarted with its initial models.
    KillReplica(usize),
    /// A replica is suspended with SIGSTOP.
    PauseReplica(usize, Duration),
    /// A replica executes calls and orders but does not respond.
    LoseAnswers(usize, u64),
    /// A replica truncates responses.
    CutAnswers(usize, u64),
    /// The framing of a replica's answers is unusual or broken.
    FaultyAnswers(usize, &'static str, u64),
    /// The link to a replica has a fault.
    HarmReplicaLink(usize, LinkMode, Duration),
    /// A replica receives SIGTERM, leaves after a while and is restarted.
    StopReplica(usize),
    /// A replica receives SIGTERM, leaves after a while and is restarted with the next version.
    ReplaceReplica(usize),
    /// A replica is killed and restarted at once under its name with the next version.
    ReturnReplica(usize),
    /// The store is down for the second time span and comes back as it was the first one before.
    RestoreStore(Duration, Duration),
    /// The link to the store has a fault.
    HarmStoreLink(LinkMode, Duration),
    /// The store responds with status 503.
    StoreDown(Duration),
    /// The store applies writes but does not respond.
    LoseStoreAnswers(u64),
    /// A new version of the configuration is published.
    Publish,
    /// A zone is evacuated for a time.
    Evacuate(&'static str, Duration),
}

/// A fault with the pause before it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedFault {
    /// Time since the previous fault.
    pub(crate) pause: Duration,
    /// The fault.
    pub(crate) fault: SoakFault,
}

/// Generates the faults of a run.
pub(crate) fn draw_faults(
    plan: FaultPlan,
    seed: u64,
    span: Duration,
    entries: usize,
    replicas: usize,
) -> Vec<PlannedFault> {
    match plan {
        FaultPlan::Random => draw_random_faults(seed, span, entries, replicas),
        FaultPlan::SilentStore => draw_silences(seed, span),
        FaultPlan::RestoredStore => draw_restorations(seed, span, entries, replicas),
        FaultPlan::StoppedEntries => draw_stops(seed, span, entries),
        FaultPlan::ReplacedEngines => draw_replacements(seed, span, entries, replicas),
        FaultPlan::PausedEntries => draw_pauses(seed, span, entries, replicas),
        FaultPlan::CrashedEngines => draw_engine_crashes(seed, span, replicas),
        FaultPlan::ReturnedEngines => draw_returns(seed, span, entries, replicas),
        FaultPlan::UnframedStreams => draw_unframed_ends(seed, span, entries, replicas),
    }
}

/// Generates times in which the store is silent. Watches are sent in them, since a change of the
/// configuration shortly before ends the earlier ones.
fn draw_silences(seed: u64, span: Duration) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut millis = |range| Duration::from_millis(random.random_range(range));
    let (mut faults, mut at) = (Vec::new(), Duration::ZERO);
    while at < span {
        let silence = millis(2_000..4_000);
        let series = [
            (millis(3_000..5_000), SoakFault::Publish),
            (millis(50..700), SoakFault::HarmStoreLink(LinkMode::Mute, silence)),
            (millis(100..1_500), SoakFault::Publish),
            (silence + millis(0..600), SoakFault::Publish),
        ];
        at += series.iter().map(|(pause, _)| *pause).sum::<Duration>();
        faults.extend(series.map(|(pause, fault)| PlannedFault { pause, fault }));
    }
    faults
}

/// Generates restorations of the store. A replica leaves before revisions have caught up.
fn draw_restorations(
    seed: u64,
    span: Duration,
    entries: usize,
    replicas: usize,
) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let (mut faults, mut at) = (Vec::new(), Duration::ZERO);
    while at < span {
        let mut millis = |range| Duration::from_millis(random.random_range(range));
        let (age, down) = (millis(6_000..10_000), millis(300..2_000));
        let mut series = vec![
            (millis(3_000..4_000), SoakFault::Publish),
            (millis(200..1_000), SoakFault::Publish),
            (millis(300..1_500), SoakFault::RestoreStore(age, down)),
        ];
        let pause = down + millis(3_000..3_500);
        if random.random_range(0..2) == 0 {
            let entry = random.random_range(0..entries);
            series.push((down, SoakFault::KillEntry(entry)));
        }
        series.push((pause, SoakFault::StopReplica(random.random_range(0..replicas))));
        series.push((Duration::from_millis(100), SoakFault::Publish));
        at += series.iter().map(|(pause, _)| *pause).sum::<Duration>();
        faults.extend(series.into_iter().map(|(pause, fault)| PlannedFault { pause, fault }));
    }
    faults
}

/// Generates stops of the entries, one after the other.
fn draw_stops(seed: u64, span: Duration, entries: usize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let (mut faults, mut at) = (Vec::new(), Duration::ZERO);
    while at < span {
        let pause = Duration::from_millis(random.random_range(3_000..4_500));
        let fault = SoakFault::StopEntry(faults.len() % entries);
        faults.push(PlannedFault { pause, fault });
        at += pause;
    }
    faults
}

/// Generates replacements of the engines, the first replicas, one after the other. Meanwhile entries and
/// engines end, single ones and all entries at once, and the store is silent at times.
fn draw_replacements(
    seed: u64,
    span: Duration,
    entries: usize,
    replicas: usize,
) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let engines = replicas - PLAIN_REPLICAS;
    let (mut faults, mut at, mut next) = (Vec::new(), Duration::ZERO, 0);
    while at < span {
        let mut millis = |range| Duration::from_millis(random.random_range(range));
        let mut series = vec![(millis(300..1_500), SoakFault::ReplaceReplica(next % engines))];
        let pauses = [millis(300..2_500), millis(200..2_500), millis(200..2_000)];
        let silence = millis(500..2_500);
        next += 1;
        for pause in pauses {
            let fault = match random.random_range(0..6) {
                0 | 1 => SoakFault::KillEntries,
                2 | 3 => SoakFault::KillEntry(random.random_range(0..entries)),
                4 => SoakFault::KillReplica(random.random_range(0..engines)),
                _ => SoakFault::HarmStoreLink(LinkMode::Mute, silence),
            };
            series.push((pause, fault));
        }
        at += series.iter().map(|(pause, _)| *pause).sum::<Duration>();
        faults.extend(series.into_iter().map(|(pause, fault)| PlannedFault { pause, fault }));
    }
    faults
}

/// Generates releases during which one entry stands still: engines are replaced by ones of the next
/// version, and the other entries end as it goes on, so that callers take up their streams there.
fn draw_pauses(seed: u64, span: Duration, entries: usize, replicas: usize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let engines = replicas - PLAIN_REPLICAS;
    let (mut faults, mut at, mut next) = (Vec::new(), Duration::ZERO, 0);
    while at < span {
        let mut millis = |range| Duration::from_millis(random.random_range(range));
        let pause = millis(3_500..6_000);
        let mut series = vec![(millis(500..2_500), SoakFault::Publish)];
        let replaced = [millis(20..400), millis(20..400)];
        let (end, count) = (pause.saturating_sub(millis(0..300)), 2);
        let stopped = random.random_range(0..entries);
        series.push((Duration::ZERO, SoakFault::PauseEntry(stopped, pause)));
        for wait in replaced {
            series.push((wait, SoakFault::ReplaceReplica(next % engines)));
            next += 1;
        }
        let waited: Duration = replaced.iter().sum();
        let endless = ENDLESS_FAULTS[random.random_range(0..ENDLESS_FAULTS.len())];
        let engine = random.random_range(0..engines);
        series.push((Duration::ZERO, SoakFault::FaultyAnswers(engine, endless, count)));
        if random.random_range(0..2) == 0 {
            let engine = random.random_range(0..engines);
            series.push((end / 2, SoakFault::KillReplica(engine)));
        }
        let rest = end.saturating_sub(waited + end / 2);
        let others = (0..entries).filter(|entry| *entry != stopped);
        let kills = others.map(|entry| (Duration::ZERO, SoakFault::KillEntry(entry)));
        series.push((rest, SoakFault::ReloadEntry((stopped + 1) % entries)));
        series.extend(kills);
        at += series.iter().map(|(pause, _)| *pause).sum::<Duration>();
        faults.extend(series.into_iter().map(|(pause, fault)| PlannedFault { pause, fault }));
    }
    faults
}

/// Generates crashes of single engines, after half of them were replaced by ones of the next version.
fn draw_engine_crashes(seed: u64, span: Duration, replicas: usize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let engines = replicas - PLAIN_REPLICAS;
    let replaced = (0..engines / 2).map(|engine| PlannedFault {
        pause: Duration::from_millis(300),
        fault: SoakFault::ReplaceReplica(engine),
    });
    let mut faults: Vec<PlannedFault> = replaced.collect();
    let mut at = REPLACEMENT_TIME;
    while at < span {
        let pause = Duration::from_millis(random.random_range(1_500..2_500));
        let fault = SoakFault::KillReplica(random.random_range(0..engines));
        let is_first = at == REPLACEMENT_TIME;
        faults.push(PlannedFault { pause: if is_first { at } else { pause }, fault });
        at += pause;
    }
    faults
}

/// Generates crashes of all engines or half of them, which are back at once as the next version. The
/// store is silent meanwhile, so that entries list the earlier one for longer; at times an entry ends
/// as well, so that callers take up their streams elsewhere.
fn draw_returns(seed: u64, span: Duration, entries: usize, replicas: usize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let engines = replicas - PLAIN_REPLICAS;
    let (mut faults, mut at) = (Vec::new(), Duration::ZERO);
    while at < span {
        let mut millis = |range| Duration::from_millis(random.random_range(range));
        let (pause, silence) = (millis(3_500..5_000), millis(800..1_600));
        let mut series = vec![(pause, SoakFault::HarmStoreLink(LinkMode::Mute, silence))];
        let first = if random.random_range(0..2) == 0 { 0 } else { engines / 2 };
        let returned = (first..engines).map(SoakFault::ReturnReplica);
        series.extend(returned.map(|fault| (Duration::ZERO, fault)));
        if random.random_range(0..2) == 0 {
            let entry = random.random_range(0..entries);
            series.push((Duration::from_millis(100), SoakFault::KillEntry(entry)));
        }
        at += series.iter().map(|(pause, _)| *pause).sum::<Duration>();
        faults.extend(series.into_iter().map(|(pause, fault)| PlannedFault { pause, fault }));
    }
    faults
}

/// Generates ends of engines while an entry stands still, which are back before it goes on.
fn draw_unframed_ends(
    seed: u64,
    span: Duration,
    entries: usize,
    replicas: usize,
) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let engines = replicas - PLAIN_REPLICAS;
    let (mut faults, mut at) = (Vec::new(), Duration::ZERO);
    while at < span {
        let mut millis = |range| Duration::from_millis(random.random_range(range));
        let (pause, standstill) = (millis(2_500..3_500), millis(700..1_200));
        let waited = millis(50..250);
        let entry = random.random_range(0..entries);
        let ended = random.random_range(0..engines);
        faults.extend([
            PlannedFault { pause, fault: SoakFault::PauseEntry(entry, standstill) },
            PlannedFault { pause: waited, fault: SoakFault::KillReplica(ended) },
            PlannedFault {
                pause: Duration::ZERO,
                fault: SoakFault::KillReplica((ended + 1) % engines),
            },
        ]);
        at += pause + waited;
    }
    faults
}

/// Generates random faults. Some follow each other closely, and they may overlap.
fn draw_random_faults(
    seed: u64,
    span: Duration,
    entries: usize,
    replicas: usize,
) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    while at < span {
        // On average every third fault follows the previous one within 80 ms.
        let is_series = random.random_range(0..3) == 0;
        let pause = random.random_range(if is_series { 10..80 } else { 200..1_200 });
        let pause = Duration::from_millis(pause);
        at += pause;
        faults.push(PlannedFault { pause, fault: draw_fault(&mut random, entries, replicas) });
    }
    faults
}

fn draw_fault(random: &mut StdRng, entries: usize, replicas: usize) -> SoakFault {
    let entry = random.random_range(0..entries);
    let replica = random.random_range(0..replicas);
    let span = Duration::from_millis(random.random_range(200..3_000));
    let mode = FAULT_MODES[random.random_range(0..FAULT_MODES.len())];
    let count = random.random_range(1..4);
    let answer_fault = ANSWER_FAULTS[random.random_range(0..ANSWER_FAULTS.len())];
    match random.random_range(0..19) {
        0 => SoakFault::StopEntry(entry),
        1 => SoakFault::KillEntry(entry),
        2 => SoakFault::PauseEntry(entry, span),
        3 => SoakFault::KillEntries,
        4 => SoakFault::ReloadEntry(entry),
        5 => SoakFault::KillReplica(replica),
        6 => SoakFault::PauseReplica(replica, span),
        7 => SoakFault::LoseAnswers(replica, count),
        8 => SoakFault::CutAnswers(replica, count),
        9 => SoakFault::HarmReplicaLink(replica, mode, span),
        10 => SoakFault::HarmStoreLink(mode, span),
        11 => SoakFault::StoreDown(span),
        12 => SoakFault::LoseStoreAnswers(count),
        13 => SoakFault::Publish,
        14 => SoakFault::FaultyAnswers(replica, answer_fault, count),
        15 => SoakFault::StopReplica(replica),
        16 => SoakFault::RestoreStore(span * 3, span / 2),
        17 => SoakFault::ReplaceReplica(replica),
        _ => SoakFault::Evacuate(zone_name(replica), span),
    }
}
