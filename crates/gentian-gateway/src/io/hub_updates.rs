//! What the control thread tells the threads that read records about the hub's messages.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use gentian_core::{MonoTime, StoreRevision};

#[derive(Debug, Default)]
struct UpdateState {
    fresh_until: MonoTime,
    operator_revision: StoreRevision,
    operator_notice_time: MonoTime,
}

/// How recent the hub's summaries are, and the newest records of the operators that it has read.
#[derive(Clone, Debug, Default)]
pub(crate) struct HubUpdates {
    state: Arc<Mutex<UpdateState>>,
}

impl HubUpdates {
    /// Sets until when the summaries are recent enough for this entry to read records less often.
    pub(crate) fn set_fresh_until(&self, until: MonoTime) {
        self.lock().fresh_until = until;
    }

    /// Returns whether the summaries are still recent enough at `now`.
    pub(crate) fn are_fresh(&self, now: MonoTime) -> bool {
        now < self.lock().fresh_until
    }

    /// Records a notice of the hub on the revision of the operators' newest record.
    pub(crate) fn record_operator_notice(&self, revision: StoreRevision, now: MonoTime) {
        let mut state = self.lock();
        if revision > state.operator_revision {
            state.operator_revision = revision;
            state.operator_notice_time = now;
        }
    }

    /// Returns when the hub first announced records of the operators after `revision`.
    pub(crate) fn time_of_newer_operators(&self, revision: StoreRevision) -> Option<MonoTime> {
        let state = self.lock();
        (state.operator_revision > revision).then_some(state.operator_notice_time)
    }

    fn lock(&self) -> MutexGuard<'_, UpdateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
