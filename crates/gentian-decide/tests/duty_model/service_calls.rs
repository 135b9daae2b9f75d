//! Calls of the model's processes to the key-value service and to the platform.

use gentian_core::{StoreRevision, TimeSpan};
use gentian_decide::duties::{DutyReply, UsageCall, UsageStoreReply, UsageStoreTask, UsageWrite};
use gentian_decide::orders::{LeaseReply, LeaseTask};
use rand::RngExt;

use super::{Arrival, DutyFleet};

/// Wait for a reply of the key-value service, of the platform.
const STORE_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_000);
const API_TIMEOUT: TimeSpan = TimeSpan::from_millis(2_500);
/// As in the gateway's duty worker.
const MAX_CALL_AGE: TimeSpan = TimeSpan::from_millis(250);

/// A call that is carried out although its sender has no response.
pub(super) enum LateCall {
    Write(UsageWrite),
    Report(UsageCall),
}

impl DutyFleet {
    pub(super) fn call_lease(&mut self, number: usize, task: LeaseTask) {
        let (time, instance) = (self.time, self.nodes[number].as_ref().map(|node| node.instance));
        let Some(instance) = instance else { return };
        let is_lost = self.percent(self.faults.lost_store_replies);
        if self.faults.is_store_silent || self.cut.contains(&number) {
            self.arrive(number, STORE_TIMEOUT, Arrival::LeaseReply(LeaseReply::Unknown, time));
            return;
        }
        let reply = match task {
            LeaseTask::Grant(ttl) => LeaseReply::Granted(self.store.grant(ttl, time)),
            LeaseTask::Take(lease) => {
                let taken = self.store.claim(instance, lease, None, time);
                taken.map_or(LeaseReply::Lost, |(revision, had)| LeaseReply::Taken(revision, had))
            }
            LeaseTask::TakeOver(lease, fence) => {
                let earlier = StoreRevision::of_fence(fence);
                let taken = self.store.claim(instance, lease, Some(earlier), time);
                taken.map_or(LeaseReply::Lost, |(revision, _)| LeaseReply::TakenOver(revision))
            }
            LeaseTask::Renew(lease) if self.store.renew(lease, time) => LeaseReply::Renewed,
            LeaseTask::Renew(_) => LeaseReply::Lost,
            LeaseTask::End(lease) => {
                self.store.revoke(lease, time);
                LeaseReply::Renewed
            }
        };
        // A claim whose reply is lost is found by a second read, as in the lease worker.
        let is_claim = matches!(task, LeaseTask::Take(_) | LeaseTask::TakeOver(..));
        let (delay, reply) = match is_lost && !is_claim {
            true => (STORE_TIMEOUT, LeaseReply::Unknown),
            false => (self.delay(2..30), reply),
        };
        self.arrive(number, delay, Arrival::LeaseReply(reply, time));
    }

    pub(super) fn call_store(&mut self, number: usize, task: UsageStoreTask) {
        let is_lost = self.percent(self.faults.lost_store_replies)
            || self.percent(self.faults.lost_usage_replies);
        let fence = match &task {
            UsageStoreTask::Read(fence) => *fence,
            UsageStoreTask::Write(write) => write.fence,
        };
        let unknown = Arrival::Stored(UsageStoreReply::Unknown(fence));
        if self.faults.is_store_silent || self.cut.contains(&number) {
            self.arrive(number, STORE_TIMEOUT, unknown);
            return;
        }
        if is_lost {
            // The write is executed at once or later.
            if let UsageStoreTask::Write(write) = task {
                let is_late = self.random.random_bool(0.5);
                let delay = self.delay(if is_late { 0..6_000 } else { 0..1 });
                self.next_arrival += 1;
                let key = (self.time + delay, self.next_arrival);
                self.late_calls.insert(key, LateCall::Write(write));
            }
            self.arrive(number, STORE_TIMEOUT, unknown);
            return;
        }
        let era = StoreRevision::of_fence(fence).era();
        let reply = match task {
            UsageStoreTask::Read(_) => {
                UsageStoreReply::Records(fence, self.store.usage.values().cloned().collect())
            }
            UsageStoreTask::Write(write) => match self.store.write(&write, self.time) {
                // The client does not trust a reply of a later era.
                _ if era != self.store.era => UsageStoreReply::Unknown(fence),
                Some(()) => UsageStoreReply::Written(write),
                None => UsageStoreReply::Conflict(fence),
            },
        };
        let delay = self.delay(2..30);
        self.arrive(number, delay, Arrival::Stored(reply));
    }

    pub(super) fn execute_late_calls(&mut self) {
        while let Some(entry) = self.late_calls.first_entry()
            && entry.key().0 <= self.time
        {
            match entry.remove() {
                LateCall::Write(write) => drop(self.store.write(&write, self.time)),
                LateCall::Report(call) => drop(self.platform.execute(&call, self.time)),
            }
        }
    }

    pub(super) fn send_report(&mut self, number: usize, call: UsageCall) {
        let Some(node) = &self.nodes[number] else { return };
        let (vm, decided) = (node.vm.clone(), node.model_time(call.decided));
        if self.time > decided + MAX_CALL_AGE {
            self.arrive(number, TimeSpan::ZERO, Arrival::Reported(call, DutyReply::NotSent));
            return;
        }
        self.platform.sent.push((self.time, vm, call.fence));
        if self.faults.is_limited {
            self.arrive(number, self.tick, Arrival::Reported(call, DutyReply::Limited));
            return;
        }
        if self.faults.is_api_down || self.percent(self.faults.lost_reports) {
            // It may be carried out seconds later, or not at all.
            if self.random.random_bool(0.7) {
                let delay = self.delay(0..8_000);
                self.next_arrival += 1;
                let key = (self.time + delay, self.next_arrival);
                self.late_calls.insert(key, LateCall::Report(call.clone()));
            }
            self.arrive(number, API_TIMEOUT, Arrival::Reported(call, DutyReply::Unknown));
            return;
        }
        let reply = self.platform.execute(&call, self.time);
        let delay = self.delay(2..100);
        self.arrive(number, delay, Arrival::Reported(call, reply));
    }
}
