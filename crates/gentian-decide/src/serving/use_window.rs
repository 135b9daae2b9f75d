//! Tokens used within a sliding window.

use std::collections::VecDeque;

use gentian_core::{MonoTime, TimeSpan};

/// Number of equal slices into which a window is divided where it is sent or stored.
const WINDOW_SLICES: u64 = 8;

/// Uses within a sliding window, and their sum.
#[derive(Clone, Debug, Default)]
pub(super) struct UseWindow {
    /// In order of time. Those that have left the window are removed by [`UseWindow::prune`].
    uses: VecDeque<(MonoTime, f64)>,
    sum: f64,
}

impl UseWindow {
    /// Creates an empty window.
    pub(super) fn new() -> Self {
        Self::default()
    }

    /// Creates the window of these slices, the newest first. Each counts as used at its newest
    /// moment.
    pub(super) fn from_slices(slices: &[u64], window: TimeSpan, now: MonoTime) -> Self {
        let mut uses = Self::new();
        let newest = slices.iter().zip(0_u64..).take(WINDOW_SLICES as usize);
        for (tokens, number) in newest.filter(|(tokens, _)| **tokens > 0) {
            uses.add(*tokens as f64, now - slice_of(window) * number);
        }
        uses
    }

    /// Adds a use; a negative one takes an earlier one back.
    pub(super) fn add(&mut self, tokens: f64, time: MonoTime) {
        let position = self.uses.partition_point(|(other, _)| *other <= time);
        self.uses.insert(position, (time, tokens));
        self.sum += tokens;
    }

    /// Adds use at `rate` during `span`, which ends at `end`.
    pub(super) fn add_rate(&mut self, rate: f64, span: TimeSpan, end: MonoTime) {
        let slice = slice_of(span);
        for number in (0..WINDOW_SLICES).rev() {
            self.add(rate * slice.as_secs_f64(), end - slice * number);
        }
    }

    /// Adds a use that is newer than the others, joined with the last one if that isn't older than
    /// `span`. Both then count as used now.
    pub(super) fn add_joined(&mut self, tokens: f64, span: TimeSpan, now: MonoTime) {
        match self.uses.back_mut().filter(|(time, _)| now.since(*time) < span) {
            Some(last) => {
                *last = (now.max(last.0), last.1 + tokens);
                self.sum += tokens;
            }
            None => self.add(tokens, now),
        }
    }

    /// Adds all uses of another window.
    pub(super) fn merge(&mut self, other: &Self) {
        for (time, tokens) in &other.uses {
            self.add(*tokens, *time);
        }
    }

    /// Multiplies every use by `factor`.
    pub(super) fn scale(&mut self, factor: f64) {
        if factor <= 0.0 {
            *self = Self::new();
            return;
        }
        self.uses.iter_mut().for_each(|(_, tokens)| *tokens *= factor);
        self.sum *= factor;
    }

    /// Removes the uses that have left the window.
    pub(super) fn prune(&mut self, window: TimeSpan, now: MonoTime) {
        while self.uses.front().is_some_and(|(time, _)| now.since(*time) >= window) {
            if let Some((_, tokens)) = self.uses.pop_front() {
                self.sum -= tokens;
            }
        }
        if self.uses.is_empty() {
            self.sum = 0.0;
        }
    }

    /// Returns the tokens in the window.
    pub(super) fn sum(&self) -> f64 {
        self.sum
    }

    /// Returns the tokens used within `window` up to now, if not pruned before.
    pub(super) fn sum_since(&self, window: TimeSpan, now: MonoTime) -> f64 {
        let is_recent = |(time, _): &&(MonoTime, f64)| now.since(*time) < window;
        self.uses.iter().rev().take_while(is_recent).map(|(_, tokens)| tokens).sum()
    }

    /// Returns whether nothing was used.
    pub(super) fn is_empty(&self) -> bool {
        self.uses.is_empty()
    }

    /// Returns the uses in order of time.
    pub(super) fn iter(&self) -> impl Iterator<Item = (MonoTime, f64)> {
        self.uses.iter().copied()
    }

    /// Returns the tokens by slice of the window, the newest first.
    pub(super) fn slices(&self, window: TimeSpan, now: MonoTime) -> Vec<u64> {
        let mut slices = Vec::new();
        self.add_slices(&mut slices, window, now);
        slices
    }

    /// Adds the tokens to the slices of a window, the newest first.
    pub(super) fn add_slices(&self, slices: &mut Vec<u64>, window: TimeSpan, now: MonoTime) {
        let mut own = [0.0; WINDOW_SLICES as usize];
        for (time, tokens) in &self.uses {
            let number = now.since(*time).as_micros() / slice_of(window).as_micros().max(1);
            if let Some(slice) = own.get_mut(number as usize) {
                *slice += tokens;
            }
        }
        slices.resize(own.len(), 0);
        for (slice, tokens) in slices.iter_mut().zip(own) {
            *slice = slice.saturating_add(f64::max(tokens, 0.0).ceil() as u64);
        }
    }
}

fn slice_of(span: TimeSpan) -> TimeSpan {
    TimeSpan::from_micros(span.as_micros() / WINDOW_SLICES)
}
