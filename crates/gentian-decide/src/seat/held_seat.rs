//! What a holder knows of its own right to act.

use gentian_core::peer::{SeatElector, SeatReply};
use gentian_core::{FastMap, FenceNumber, InstanceId, MonoTime, TimeSpan};

use super::{SeatRules, SeatTimes};

/// The newest answer of an elector.
#[derive(Clone, Copy, Debug)]
struct ElectorWord {
    counted_from: MonoTime,
    allows: bool,
}

/// State of a holder.
#[derive(Clone, Debug)]
pub(super) struct HeldSeat {
    pub(super) fence: FenceNumber,
    /// When the last confirmed write was sent.
    pub(super) confirmed: Option<MonoTime>,
    /// Whether a grace must pass before the holder acts at all.
    pub(super) needs_grace: bool,
    words: FastMap<InstanceId, ElectorWord>,
    pub(super) asked: MonoTime,
}

impl HeldSeat {
    pub(super) fn new(fence: FenceNumber, confirmed: Option<MonoTime>, needs_grace: bool) -> Self {
        let words = FastMap::default();
        let asked = MonoTime::ORIGIN;
        Self { fence, confirmed, needs_grace, words, asked }
    }

    pub(super) fn confirm(&mut self, sent: MonoTime) {
        self.confirmed = Some(sent);
    }

    pub(super) fn note_answer(&mut self, answer: &SeatReply, counted_from: MonoTime) {
        let allows = !answer.has_contact && answer.fence <= self.fence;
        self.words.insert(answer.elector, ElectorWord { counted_from, allows });
    }

    /// Tells whether the holder may act.
    pub(super) fn may_act(
        &self,
        others: &[SeatElector],
        times: &SeatTimes,
        rules: &SeatRules,
        now: MonoTime,
    ) -> bool {
        if self.needs_grace {
            return false;
        }
        if self.confirmed.is_some_and(|sent| now < sent + times.lease) {
            return true;
        }
        rules.acts_through_outage
            && self.confirmed.is_some()
            && others.iter().all(|elector| self.is_allowed_by(elector, times, now))
    }

    /// Tells whether the last confirmation is old enough for questions to the electors.
    pub(super) fn wants_answers(&self, times: &SeatTimes, now: MonoTime) -> bool {
        let half_lease = TimeSpan::from_micros(times.lease.as_micros() / 2);
        self.confirmed.is_none_or(|sent| now >= sent + half_lease)
    }

    fn is_allowed_by(&self, elector: &SeatElector, times: &SeatTimes, now: MonoTime) -> bool {
        let word = self.words.get(&elector.instance);
        word.is_some_and(|word| word.allows && now < word.counted_from + times.answer_life)
    }
}
