//! The exchange of an entry with the hub.

use gentian_core::peer::{EntryDigest, FleetTally};
use gentian_core::{FastMap, InstanceId, MonoTime, OrganisationId, SequenceNumber, TimeSpan, VmId};

use super::{CallDesk, FleetPart, UpstreamTable};

/// Time between two digests while requests wait, while requests run, and otherwise.
const WAITING_SPACING: TimeSpan = TimeSpan::from_millis(20);
const RUNNING_SPACING: TimeSpan = TimeSpan::from_millis(100);
const IDLE_SPACING: TimeSpan = TimeSpan::from_millis(250);
/// Time without a tally after which an entry counts alone.
const SILENT_LIMIT: TimeSpan = TimeSpan::from_millis(800);

/// What an entry knows of the hub.
#[derive(Debug)]
pub struct HubLink {
    vm: VmId,
    instance: InstanceId,
    sequence: SequenceNumber,
    sent: MonoTime,
    heard: Option<MonoTime>,
    hub: InstanceId,
    answered: SequenceNumber,
    revision: SequenceNumber,
    spent: FastMap<OrganisationId, u64>,
}

impl HubLink {
    /// Creates the link of an entry that has not heard of a hub.
    pub fn new(vm: VmId, instance: InstanceId) -> Self {
        Self {
            vm,
            instance,
            sequence: SequenceNumber::default(),
            sent: MonoTime::ORIGIN,
            heard: None,
            hub: InstanceId::default(),
            answered: SequenceNumber::default(),
            revision: SequenceNumber::default(),
            spent: FastMap::default(),
        }
    }

    /// Returns when the next digest is due.
    pub fn due(&self, desk: &CallDesk) -> MonoTime {
        let spacing = match (desk.is_waiting(), desk.running()) {
            (true, _) => WAITING_SPACING,
            (false, 0) => IDLE_SPACING,
            (false, _) => RUNNING_SPACING,
        };
        self.sent + spacing
    }

    /// Makes a digest if one is due.
    pub fn make_digest(&mut self, desk: &mut CallDesk, now: MonoTime) -> Option<EntryDigest> {
        if now < self.due(desk) {
            return None;
        }
        self.sent = now;
        self.sequence = self.sequence.next();
        Some(EntryDigest {
            vm: self.vm.clone(),
            instance: self.instance,
            sequence: self.sequence,
            known: (self.hub, self.revision),
            spent: desk.spent(),
            work: desk.work(),
            demands: desk.demands(now),
        })
    }

    /// Takes a tally in; returns whether it was news.
    pub fn take_tally(
        &mut self,
        tally: FleetTally,
        all: u32,
        desk: &mut CallDesk,
        table: &mut UpstreamTable,
        now: MonoTime,
    ) -> bool {
        let is_same_hub = tally.hub == self.hub;
        if is_same_hub && tally.sequence <= self.answered {
            return false;
        }
        if !is_same_hub {
            self.hub = tally.hub;
            self.revision = SequenceNumber::default();
            self.spent.clear();
        }
        self.answered = tally.sequence;
        self.heard = Some(now);
        for (organisation, total) in &tally.spent {
            // The first count of a hub is only a base: what was spent before is covered by the part
            // of the rate that this entry kept to.
            let known = self.spent.insert(organisation.clone(), *total);
            let others = known.map_or(0, |known| total.saturating_sub(known));
            desk.note_others(organisation, others, now);
        }
        desk.note_part(FleetPart { heard: tally.heard, all: all.max(tally.heard) }, now);
        table.take_others(&tally.work);
        table.take_holdings(tally.hub, tally.rows);
        self.revision = tally.revision;
        true
    }

    /// Falls back to this entry's part when the hub is silent; returns whether that is new.
    pub fn check_silence(
        &mut self,
        all: u32,
        desk: &mut CallDesk,
        table: &mut UpstreamTable,
        now: MonoTime,
    ) -> bool {
        let is_silent = self.heard.is_some_and(|heard| now.since(heard) > SILENT_LIMIT);
        if is_silent {
            self.heard = None;
            self.hub = InstanceId::default();
            self.revision = SequenceNumber::default();
            self.spent.clear();
            desk.note_part(FleetPart::alone(all), now);
            table.take_others(&[]);
            table.forget_holdings();
        }
        is_silent
    }

    /// Tells whether a hub answers.
    pub fn is_linked(&self) -> bool {
        self.heard.is_some()
    }
}
