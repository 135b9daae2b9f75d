//! Key-value service of the model: leases, the holder's record and the records of windows.

use std::collections::BTreeMap;

use gentian_core::peer::UsageRecord;
use gentian_core::{
    InstanceId, LeaseId, MonoTime, StoreEra, StoreRevision, TimeSpan, WindowNumber,
};
use gentian_decide::duties::UsageWrite;

#[derive(Clone, Debug)]
pub(crate) struct FakeStore {
    number: u64,
    pub(crate) era: StoreEra,
    /// Revision of the holder's record, its process and its lease.
    pub(crate) holder: Option<(StoreRevision, InstanceId, LeaseId)>,
    had_holder: bool,
    leases: BTreeMap<u64, (TimeSpan, MonoTime)>,
    pub(crate) usage: BTreeMap<WindowNumber, UsageRecord>,
}

impl FakeStore {
    pub(crate) fn new() -> Self {
        Self {
            number: 1,
            era: StoreEra::new(1),
            holder: None,
            had_holder: false,
            leases: BTreeMap::new(),
            usage: BTreeMap::new(),
        }
    }

    /// Replaces all records by those of a copy; numbers are given out again.
    pub(crate) fn restore(&mut self, copy: Self, now: MonoTime) {
        let era = self.era.next();
        *self = copy;
        self.era = era;
        for (ttl, renewed) in self.leases.values_mut() {
            let _ = (ttl, std::mem::replace(renewed, now));
        }
    }

    pub(crate) fn expire(&mut self, now: MonoTime) {
        self.leases.retain(|_, (ttl, renewed)| now.since(*renewed) <= *ttl);
        let leases = &self.leases;
        self.holder.take_if(|(_, _, lease)| !leases.contains_key(&lease.number()));
    }

    pub(crate) fn grant(&mut self, ttl: TimeSpan, now: MonoTime) -> LeaseId {
        self.number += 1;
        self.leases.insert(self.number, (ttl, now));
        LeaseId::new(self.number).with_era(self.era)
    }

    pub(crate) fn renew(&mut self, lease: LeaseId, now: MonoTime) -> bool {
        self.expire(now);
        match self.leases.get_mut(&lease.number()) {
            Some((_, renewed)) if lease.era() == self.era => {
                *renewed = now;
                true
            }
            _ => false,
        }
    }

    pub(crate) fn revoke(&mut self, lease: LeaseId, now: MonoTime) {
        if lease.era() == self.era {
            self.leases.remove(&lease.number());
        }
        self.expire(now);
    }

    /// Returns the revision of the new holder's record, and whether there was a holder before.
    pub(crate) fn claim(
        &mut self,
        instance: InstanceId,
        lease: LeaseId,
        predecessor: Option<StoreRevision>,
        now: MonoTime,
    ) -> Option<(StoreRevision, bool)> {
        self.expire(now);
        let is_known = lease.era() == self.era && self.leases.contains_key(&lease.number());
        let is_free = match &self.holder {
            None => true,
            Some((revision, _, _)) => {
                predecessor.is_some_and(|earlier| revision.is_same_record(earlier))
            }
        };
        if !is_known || !is_free {
            return None;
        }
        self.number += 1;
        let revision = StoreRevision::new(self.number).with_era(self.era);
        self.holder = Some((revision, instance, lease));
        Some((revision, std::mem::replace(&mut self.had_holder, true)))
    }

    /// Executes a write; `None` if a condition is not met.
    pub(crate) fn write(&mut self, write: &UsageWrite, now: MonoTime) -> Option<()> {
        self.expire(now);
        let expected = StoreRevision::of_fence(write.fence).number();
        let window = write.record.counts.window;
        let is_holder = self.holder.is_some_and(|(revision, _, _)| revision.number() == expected);
        if !is_holder || self.usage.contains_key(&window) {
            return None;
        }
        self.number += 1;
        self.usage.insert(window, write.record.clone());
        write.removed.iter().for_each(|window| {
            self.usage.remove(window);
        });
        Some(())
    }
}
