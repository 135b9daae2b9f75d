//! Controllers of the duties of one VM at a time: counts of every entry, and the reports of the hub.

use gentian_core::peer::{FleetMessage, UsageCopy, UsageMessage};
use gentian_core::{EventCode, InstanceId, MonoTime, StoreEra, StoreRevision, TimeSpan, VmId};
use gentian_decide::duties::{
    DutyContext, DutyTask, UsageBackup, UsageCounter, UsageDuty, UsageEvent, UsageLedger,
    UsageRules,
};

use super::fleet_broadcast::send_to_vm;
use super::{ControlEvent, ControlState};
use crate::io::DutyQueues;

/// Interval between two looks at what is due, since the hub goes through all entries each time.
const ROUND_INTERVAL: TimeSpan = TimeSpan::from_millis(20);

/// State of the duties of a process.
#[derive(Debug)]
pub(crate) struct DutyState {
    rules: UsageRules,
    /// Counts of this entry.
    counter: UsageCounter,
    /// Sums of all entries, while this process is the hub.
    ledger: Option<UsageLedger>,
    /// Decides on the calls of the hub.
    duty: UsageDuty,
    queues: DutyQueues,
    /// Counts of hubs, for their successors.
    backup: UsageBackup,
    /// Era of the key-value service.
    era: StoreEra,
    /// When this process noticed that the key-value service had been restored, or its start if that
    /// may have been before; `None` while the service names no era.
    restored: Option<MonoTime>,
    started: MonoTime,
    /// When the duties were last looked at.
    last_round: MonoTime,
}

impl DutyState {
    /// Creates the state of a process that starts at `now`.
    pub(crate) fn new(
        rules: UsageRules,
        vm: VmId,
        instance: InstanceId,
        queues: DutyQueues,
        now: MonoTime,
    ) -> Self {
        Self {
            rules,
            counter: UsageCounter::new(rules, vm, instance),
            ledger: None,
            duty: UsageDuty::new(rules),
            queues,
            backup: UsageBackup::new(),
            era: StoreEra::default(),
            restored: None,
            started: now,
            last_round: MonoTime::ORIGIN,
        }
    }
}

/// Counts requests, and handles messages and replies that are about duties.
pub(super) fn handle_duties(state: &mut ControlState, event: &ControlEvent, now: MonoTime) {
    let own_offset = state.wall_time.offset_from(now);
    let Some(duties) = &mut state.duties else { return };
    match event {
        ControlEvent::RunBegan(organisation, began) => {
            duties.counter.record_run(organisation, *began, own_offset);
        }
        ControlEvent::Peer(FleetMessage::Usage(message)) => handle_usage(state, message, now),
        ControlEvent::Peer(FleetMessage::UsageReply(reply)) => {
            duties.counter.handle_reply(reply, now);
        }
        ControlEvent::Peer(FleetMessage::UsageCopy(copy)) => handle_copy(state, copy, now),
        ControlEvent::UsageStored(reply) => {
            duties.duty.handle_store_reply(reply.clone(), duties.ledger.as_mut(), now);
        }
        ControlEvent::UsageReported(call, reply) => {
            let ledger = duties.ledger.as_ref();
            duties.duty.handle_call_reply(call, *reply, ledger, now);
        }
        _ => {}
    }
}

/// Sends the counts of this entry that are due, and makes the calls of the hub that are due.
pub(super) fn run_duties(state: &mut ControlState, _event: &ControlEvent, now: MonoTime) {
    let Some(duties) = &mut state.duties else { return };
    if now.since(duties.last_round) < ROUND_INTERVAL {
        return;
    }
    duties.last_round = now;
    follow_hub(state, now);
    send_counts(state, now);
    run_usage(state, now);
}

/// Follows changes of the hub, of the entries and of the era of the key-value service.
fn follow_hub(state: &mut ControlState, now: MonoTime) {
    let Some(duties) = &mut state.duties else { return };
    let fence = state.hub.as_ref().map(|hub| hub.fence);
    // The lease may be of an era of which no record was read yet.
    let lease_era = fence.map_or(StoreEra::default(), |it| StoreRevision::of_fence(it).era());
    let era = state.eras.era().max(lease_era);
    if era > duties.era {
        // A restoration may be as old as this process if it never read an earlier era.
        let is_first = duties.era == StoreEra::default();
        duties.restored = Some(if is_first { duties.started } else { now });
        duties.era = era;
    }
    duties.counter.update_entry_count(state.entries.len());
    duties.backup.drop_before(duties.counter.fixed_before());
    if let Some((_, fence)) = &state.known_hub
        && duties.counter.record_hub(*fence, now)
    {
        duties.backup.record_hub(now);
    }
    if duties.ledger.as_ref().map(UsageLedger::fence) != fence {
        let inherited = duties.counter.fleet_offset();
        duties.ledger = fence.map(|fence| UsageLedger::new(duties.rules, fence, inherited, now));
    }
    if let Some(ledger) = &mut duties.ledger {
        ledger.retain_entries(|vm| state.entries.contains_key(vm));
    }
}

fn send_counts(state: &mut ControlState, now: MonoTime) {
    let Some((vm, _)) = state.known_hub.clone() else { return };
    let Some(duties) = &mut state.duties else { return };
    let copies = duties.backup.next_copies(now);
    let message = duties.counter.next_message(state.wall_time, now);
    for copy in copies {
        match vm == state.vm {
            true => handle_copy(state, &copy, now),
            false => send_to_vm(state, &FleetMessage::UsageCopy(copy), &vm),
        }
    }
    let Some(message) = message else { return };
    if vm == state.vm {
        handle_usage(state, &message, now);
        send_copies(state, message, now);
    } else {
        send_to_vm(state, &FleetMessage::Usage(message), &vm);
    }
}

/// Sends what the hub counted itself to the entries that keep a copy.
fn send_copies(state: &ControlState, message: UsageMessage, now: MonoTime) {
    let ledger = state.duties.as_ref().and_then(|duties| duties.ledger.as_ref());
    let vms = ledger.map(|ledger| ledger.backup_vms(&state.vm, now)).unwrap_or_default();
    let copy = UsageCopy { instance: message.instance, windows: message.windows };
    let copy = FleetMessage::UsageCopy(copy);
    vms.iter().for_each(|vm| send_to_vm(state, &copy, vm));
}

/// Stores what a hub counted itself, and adds it if this process is the hub.
fn handle_copy(state: &mut ControlState, copy: &UsageCopy, now: MonoTime) {
    let Some(duties) = &mut state.duties else { return };
    match &mut duties.ledger {
        Some(ledger) => ledger.handle_copy(copy, now),
        None => duties.backup.store(copy),
    }
}

/// Adds the counts of an entry and replies to it.
fn handle_usage(state: &mut ControlState, message: &UsageMessage, now: MonoTime) {
    let entry_count = state.entries.len();
    let Some(duties) = &mut state.duties else { return };
    let Some(ledger) = &mut duties.ledger else { return };
    let Some(reply) = ledger.handle_message(message, entry_count, now) else { return };
    if message.vm == state.vm {
        duties.counter.handle_reply(&reply, now);
    } else {
        send_to_vm(state, &FleetMessage::UsageReply(reply), &message.vm);
    }
}

fn run_usage(state: &mut ControlState, now: MonoTime) {
    let acting_fence = state.lease.acting_fence(now).filter(|_| !state.is_stopping);
    let Some(duties) = &mut state.duties else { return };
    if let Some(ledger) = &mut duties.ledger {
        let vms: Vec<VmId> = state.entries.keys().cloned().collect();
        let context = DutyContext { acting_fence, vms: &vms, restored: duties.restored };
        for task in duties.duty.next_tasks(ledger, &context, now) {
            let is_sent = match task {
                DutyTask::Store(task) => duties.queues.store_tasks.send(task).is_ok(),
                DutyTask::Report(call) => duties.queues.calls.send(call).is_ok(),
            };
            if !is_sent {
                log::error!("a thread for duties ended before the control thread");
            }
        }
    }
    for event in duties.duty.take_events() {
        if let UsageEvent::Refused(fence) = event {
            state.lease.retire(fence);
        }
        log_event(&event);
        if let Some((result, count)) = window_result(&event) {
            state.metrics.usage_windows.with_label_values(&[result]).inc_by(count);
        }
    }
}

/// Returns the result of windows by which the metrics count them, and their number.
fn window_result(event: &UsageEvent) -> Option<(&'static str, u64)> {
    match event {
        UsageEvent::Fixed(_) => Some(("fixed", 1)),
        UsageEvent::Reported(..) => Some(("reported", 1)),
        UsageEvent::Missed(first, end) | UsageEvent::LeftOut(first, end) => {
            Some(("missed", end.get().saturating_sub(first.get())))
        }
        UsageEvent::Unconfirmed(_) => Some(("unconfirmed", 1)),
        UsageEvent::Adopted(_) | UsageEvent::Refused(_) | UsageEvent::Failed(..) => None,
    }
}

fn log_event(event: &UsageEvent) {
    match event {
        UsageEvent::Fixed(counts) => {
            let sum: u64 = counts.counts.iter().map(|(_, count)| count).sum();
            let organisations = counts.counts.len();
            log::info!(
                "{} window={} requests={sum} organisations={organisations}",
                EventCode::USAGE_FIXED,
                counts.window
            );
        }
        UsageEvent::Reported(window, elapsed) => {
            log::info!("{} window={window} after={elapsed}", EventCode::USAGE_REPORTED);
        }
        UsageEvent::Unconfirmed(window) => {
            log::warn!("{} window={window} cause=unconfirmed", EventCode::USAGE_MISSED);
        }
        UsageEvent::Missed(first, end) => {
            log::warn!("{} windows={first}..{end} cause=not-fixed", EventCode::USAGE_MISSED);
        }
        UsageEvent::LeftOut(first, end) => {
            log::warn!("{} windows={first}..{end} cause=restored", EventCode::USAGE_MISSED);
        }
        UsageEvent::Adopted(open) => log::info!("{} open={open}", EventCode::USAGE_ADOPTED),
        UsageEvent::Refused(fence) => {
            log::warn!("{} duty=usage fence={fence}", EventCode::DUTY_REFUSED);
        }
        UsageEvent::Failed(window, reply) => {
            log::warn!("{} duty=usage window={window} reply={reply}", EventCode::DUTY_FAILED);
        }
    }
}
