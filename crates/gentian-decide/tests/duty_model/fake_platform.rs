//! The platform's API in the model, with a log of all that arrived.

use std::collections::BTreeMap;

use gentian_core::peer::WindowCounts;
use gentian_core::{FenceNumber, MonoTime, TimeSpan, VmId, WindowNumber};
use gentian_decide::duties::{DutyReply, UsageCall};

#[derive(Debug, Default)]
pub(crate) struct FakePlatform {
    pub(crate) requires_fencing: bool,
    highest_fence: FenceNumber,
    /// Accepted content of each window, and when it was first accepted.
    pub(crate) accepted: BTreeMap<WindowNumber, (WindowCounts, MonoTime)>,
    /// Calls as they were sent: when, by whom, with which token.
    pub(crate) sent: Vec<(MonoTime, VmId, FenceNumber)>,
    /// When a refusal reached its holder.
    pub(crate) refusals: Vec<(MonoTime, VmId, FenceNumber)>,
    /// Windows of which different counts were accepted.
    pub(crate) contradictions: Vec<WindowNumber>,
}

impl FakePlatform {
    pub(crate) fn execute(&mut self, call: &UsageCall, now: MonoTime) -> DutyReply {
        if self.requires_fencing && call.fence < self.highest_fence {
            return DutyReply::Fenced;
        }
        self.highest_fence = self.highest_fence.max(call.fence);
        let window = call.counts.window;
        let accepted = self.accepted.entry(window).or_insert((call.counts.clone(), now));
        if accepted.0 != call.counts {
            self.contradictions.push(window);
        }
        DutyReply::Done
    }

    /// Checks rules 1 to 4 of the duty.
    pub(crate) fn check_rules(&self, lease_time: TimeSpan) {
        assert!(self.contradictions.is_empty(), "rule 1: {:?}", self.contradictions);
        let mut holders: BTreeMap<FenceNumber, &VmId> = BTreeMap::new();
        for (_, vm, fence) in &self.sent {
            assert_eq!(*holders.entry(*fence).or_insert(vm), vm, "rule 2: token {fence}");
        }
        for pair in self.sent.windows(2) {
            assert!(pair[1].2 >= pair[0].2, "rule 3: {pair:?}");
        }
        let mut changes: Vec<&(MonoTime, VmId, FenceNumber)> = Vec::new();
        for (position, call) in self.sent.iter().enumerate() {
            let is_last = self.sent.get(position + 1).is_none_or(|next| next.1 != call.1);
            let is_first = position == 0 || self.sent[position - 1].1 != call.1;
            if is_first || is_last {
                changes.push(call);
            }
        }
        for (position, first) in changes.iter().enumerate() {
            let Some(other) = changes[position..].iter().position(|call| call.1 != first.1) else {
                continue;
            };
            let again = changes[position + other..].iter().find(|call| call.1 == first.1);
            if let Some(again) = again {
                let elapsed = again.0.since(first.0);
                assert!(elapsed > lease_time, "rule 3: {first:?} and {again:?} after {elapsed}");
            }
        }
        for (refused, vm, fence) in &self.refusals {
            let later = self
                .sent
                .iter()
                .filter(|(sent, sender, token)| sender == vm && token == fence && sent > refused);
            assert_eq!(later.count(), 0, "rule 4: token {fence} after its refusal");
        }
    }
}
