//! Faults of a run, drawn from its seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::fleet_layout::zone_name;
use crate::loopback_proxy::{HARMS, LinkMode};

/// A fault, on processes and links by their number.
#[derive(Clone, Copy, Debug)]
pub(crate) enum SoakFault {
    /// An entry gets SIGTERM and starts again.
    StopEntry(usize),
    /// An entry is killed and starts again.
    KillEntry(usize),
    /// An entry stands still.
    PauseEntry(usize, Duration),
    /// Every entry is killed at once.
    KillEntries,
    /// An entry is told that its settings may have changed.
    ReloadEntry(usize),
    /// A replica is killed and starts again with nothing loaded.
    KillReplica(usize),
    /// A replica stands still.
    PauseReplica(usize, Duration),
    /// A replica runs calls and orders whose answers are lost.
    LoseAnswers(usize, u64),
    /// A replica breaks answers off.
    CutAnswers(usize, u64),
    /// The link to a replica is harmed.
    HarmReplicaLink(usize, LinkMode, Duration),
    /// The link to the store is harmed.
    HarmStoreLink(LinkMode, Duration),
    /// The store answers 503.
    StoreDown(Duration),
    /// The store carries writes out whose answers are lost.
    LoseStoreAnswers(u64),
    /// A new version of the configuration.
    Publish,
    /// A zone is taken out and back.
    Evacuate(&'static str, Duration),
}

/// A fault with the time before it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedFault {
    /// Pause since the fault before.
    pub(crate) pause: Duration,
    /// The fault.
    pub(crate) fault: SoakFault,
}

/// Draws the faults of a run: in series, and overlapping.
pub(crate) fn draw_faults(
    seed: u64,
    span: Duration,
    entries: usize,
    replicas: usize,
) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    while at < span {
        // Every third fault comes right behind the one before.
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
    let mode = HARMS[random.random_range(0..HARMS.len())];
    let count = random.random_range(1..4);
    match random.random_range(0..15) {
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
        _ => SoakFault::Evacuate(zone_name(replica), span),
    }
}
