//! One process of the model: what the gateway's controllers do for the lease and the duties.

use gentian_core::peer::{HubAnnouncement, UsageCopy, UsageMessage, UsageReply};
use gentian_core::{
    ClockOffset, FenceNumber, InstanceId, MonoTime, OrganisationId, StoreEra, TimeSpan, VmId,
};
use gentian_decide::duties::{
    DutyContext, DutyTask, UsageBackup, UsageCounter, UsageDuty, UsageEvent, UsageLedger,
    UsageRules,
};
use gentian_decide::orders::{HolderLease, LeaseReply, LeaseTask};

/// What a process does in one step.
#[derive(Debug)]
pub(crate) enum NodeAction {
    Lease(LeaseTask),
    Duty(DutyTask),
    Count(VmId, UsageMessage),
    Reply(VmId, UsageReply),
    Copy(VmId, UsageCopy),
    Announce(HubAnnouncement),
    HandOver(FenceNumber),
}

pub(crate) struct EntryNode {
    pub(crate) vm: VmId,
    pub(crate) instance: InstanceId,
    /// Time of the model minus the process's monotonic time, so that the clocks are not comparable.
    base: TimeSpan,
    /// Error of the VM's clock of day, in microseconds.
    pub(crate) clock_error: i64,
    rules: UsageRules,
    pub(crate) lease: HolderLease,
    counter: UsageCounter,
    pub(crate) ledger: Option<UsageLedger>,
    duty: UsageDuty,
    known_hub: Option<(VmId, FenceNumber)>,
    vacant: bool,
    is_stopping: bool,
    backup: UsageBackup,
    era: StoreEra,
    restored: Option<MonoTime>,
    started: MonoTime,
    vms: Vec<VmId>,
    pub(crate) events: Vec<UsageEvent>,
}

/// Start of 1970 in the model's time is this long before its origin.
pub(crate) const EPOCH: i64 = 1_767_000_000_000_000;

impl EntryNode {
    pub(crate) fn new(
        number: u64,
        instance: u64,
        vms: &[VmId],
        rules: UsageRules,
        has_predecessor: bool,
        time: MonoTime,
    ) -> Self {
        let base = TimeSpan::from_millis(instance * 37 % 50_000);
        let vm = vms[number as usize].clone();
        let instance = InstanceId::new(instance.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut counter = UsageCounter::new(rules, vm.clone(), instance);
        counter.update_entry_count(vms.len());
        Self {
            counter,
            vm,
            instance,
            base,
            clock_error: 0,
            rules,
            lease: HolderLease::new(rules.takeover_delay).with_predecessor(has_predecessor),
            ledger: None,
            duty: UsageDuty::new(rules),
            known_hub: None,
            vacant: false,
            is_stopping: false,
            backup: UsageBackup::new(),
            era: StoreEra::default(),
            restored: None,
            started: time - base,
            vms: vms.to_vec(),
            events: Vec::new(),
        }
    }

    pub(crate) fn clock(&self, time: MonoTime) -> MonoTime {
        time - self.base
    }

    /// Returns the time of the model at which the process's clock shows `now`.
    pub(crate) fn model_time(&self, now: MonoTime) -> MonoTime {
        now + self.base
    }

    fn own_offset(&self) -> ClockOffset {
        let base = i64::try_from(self.base.as_micros()).unwrap();
        ClockOffset::from_micros(EPOCH + base + self.clock_error)
    }

    pub(crate) fn count(&mut self, organisation: &OrganisationId, time: MonoTime) {
        let (now, offset) = (self.clock(time), self.own_offset());
        self.counter.record_run(organisation, now, offset);
    }

    pub(crate) fn acts(&self, time: MonoTime) -> bool {
        self.lease.acting_fence(self.clock(time)).is_some()
    }

    pub(crate) fn stop(&mut self, time: MonoTime) -> Vec<NodeAction> {
        self.is_stopping = true;
        let fence = self.lease.acting_fence(self.clock(time));
        let end = self.lease.release().map(NodeAction::Lease);
        fence.map(NodeAction::HandOver).into_iter().chain(end).collect()
    }

    pub(crate) fn handle_handover(&mut self, fence: FenceNumber, time: MonoTime) {
        let known = self.known_hub.as_ref().map(|(_, fence)| *fence).unwrap_or_default();
        if fence >= known && !self.is_stopping {
            self.lease.handle_handover(fence, self.clock(time));
        }
    }

    pub(crate) fn update_hub(&mut self, vm: VmId, fence: FenceNumber, time: MonoTime) {
        if self.known_hub.as_ref().is_some_and(|(_, known)| *known >= fence) {
            return;
        }
        if vm != self.vm {
            self.ledger = None;
        }
        self.lease.handle_holder_change(fence);
        self.known_hub = Some((vm, fence));
        self.vacant = false;
        let now = self.clock(time);
        if self.counter.record_hub(fence, now) {
            self.backup.record_hub(now);
        }
    }

    fn record_era(&mut self, era: StoreEra, now: MonoTime) {
        if era > self.era {
            let is_first = self.era == StoreEra::default();
            self.restored = Some(if is_first { self.started } else { now });
            self.era = era;
        }
    }

    pub(crate) fn handle_copy(&mut self, copy: &UsageCopy, time: MonoTime) {
        let now = self.clock(time);
        match &mut self.ledger {
            Some(ledger) => ledger.handle_copy(copy, now),
            None => self.backup.store(copy),
        }
    }

    /// Handles a read of the records.
    pub(crate) fn handle_records(
        &mut self,
        holder: Option<(VmId, FenceNumber)>,
        era: StoreEra,
        time: MonoTime,
    ) {
        self.record_era(era, self.clock(time));
        self.vacant = holder.is_none();
        if let Some((vm, fence)) = holder {
            self.update_hub(vm, fence, time);
        }
    }

    pub(crate) fn handle_lease_reply(
        &mut self,
        reply: LeaseReply,
        sent: MonoTime,
        time: MonoTime,
    ) -> Vec<NodeAction> {
        if reply == LeaseReply::Lost {
            self.vacant = false;
        }
        let sent = self.clock(sent);
        if !self.lease.handle_reply(reply, sent) {
            return Vec::new();
        }
        let fence = self.lease.fence().unwrap();
        let now = self.clock(time);
        self.record_era(gentian_core::StoreRevision::of_fence(fence).era(), now);
        let inherited = self.counter.fleet_offset();
        self.ledger = Some(UsageLedger::new(self.rules, fence, inherited, now));
        self.known_hub = Some((self.vm.clone(), fence));
        if self.counter.record_hub(fence, now) {
            self.backup.record_hub(now);
        }
        vec![NodeAction::Announce(HubAnnouncement { vm: self.vm.clone(), fence })]
    }

    pub(crate) fn handle_usage(
        &mut self,
        message: &UsageMessage,
        time: MonoTime,
    ) -> Option<NodeAction> {
        let now = self.clock(time);
        let reply = self.ledger.as_mut()?.handle_message(message, self.vms.len(), now)?;
        if message.vm == self.vm {
            self.counter.handle_reply(&reply, now);
            return None;
        }
        Some(NodeAction::Reply(message.vm.clone(), reply))
    }

    pub(crate) fn handle_reply(&mut self, reply: &UsageReply, time: MonoTime) {
        let now = self.clock(time);
        self.counter.handle_reply(reply, now);
    }

    pub(crate) fn duty(&mut self) -> (&mut UsageDuty, Option<&mut UsageLedger>) {
        (&mut self.duty, self.ledger.as_mut())
    }

    /// Runs the controllers once.
    pub(crate) fn step(&mut self, time: MonoTime) -> Vec<NodeAction> {
        let now = self.clock(time);
        let mut actions = Vec::new();
        if !self.is_stopping {
            if let Some(fence) = self.lease.give_up_if_expiring(now) {
                actions.push(NodeAction::HandOver(fence));
            }
            actions.extend(self.lease.next_task(self.vacant, now).map(NodeAction::Lease));
        }
        let wall_time = self.own_offset().wall_time(now);
        self.backup.drop_before(self.counter.fixed_before());
        if let Some((hub, _)) = self.known_hub.clone() {
            for copy in self.backup.next_copies(now) {
                match hub == self.vm {
                    true => self.handle_copy(&copy, time),
                    false => actions.push(NodeAction::Copy(hub.clone(), copy)),
                }
            }
        }
        if let Some((hub, _)) = self.known_hub.clone()
            && let Some(message) = self.counter.next_message(wall_time, now)
        {
            match hub == self.vm {
                true => {
                    self.handle_usage(&message, time);
                    let copy = UsageCopy { instance: message.instance, windows: message.windows };
                    let ledger = self.ledger.as_ref();
                    let vms = ledger.map(|it| it.backup_vms(&self.vm, now)).unwrap_or_default();
                    let copies = vms.into_iter().map(|vm| NodeAction::Copy(vm, copy.clone()));
                    actions.extend(copies);
                }
                false => actions.push(NodeAction::Count(hub, message)),
            }
        }
        let acting_fence = self.lease.acting_fence(now).filter(|_| !self.is_stopping);
        if let Some(ledger) = &mut self.ledger {
            let context = DutyContext { acting_fence, vms: &self.vms, restored: self.restored };
            let tasks = self.duty.next_tasks(ledger, &context, now);
            actions.extend(tasks.into_iter().map(NodeAction::Duty));
        }
        for event in self.duty.take_events() {
            if let UsageEvent::Refused(fence) = event {
                self.lease.retire(fence);
            }
            self.events.push(event);
        }
        actions
    }
}
