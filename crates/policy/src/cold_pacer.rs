//! Paces the starts of calls at a target that is cold.
//!
//! Load pattern: a target has just started and handles a tenth of its usual rate, while callers send as much as before.
//! Slightly above that rate it crashes, starts again cold, and crashes again. A token bucket alone does not prevent this
//! at the moment at which a target turns cold: calls that started just before count too.

use std::collections::VecDeque;

use fulmartrestle_core::TimeUs;

use crate::cold_limit::{ColdLimit, MAX_STARTS, WINDOW_US};
use crate::rate_pacer::RatePacer;

/// Longest time from the start of a call to the moment at which it is sent, in microseconds. A call that took longer, for
/// example because its node was paused, would arrive together with the calls that started later.
const MAX_SEND_DELAY_US: u64 = 50_000;

/// Starts of calls at one target, which are limited while the target is cold.
#[derive(Debug)]
pub struct ColdPacer {
    limit: ColdLimit,
    /// Since when the target is treated as cold; `None` while it is warm.
    cold_since: Option<TimeUs>,
    pacer: RatePacer,
    /// Times of the latest starts, also while the target is warm: it may turn cold at any moment.
    starts: VecDeque<TimeUs>,
}

impl ColdPacer {
    /// Returns the pacer of a target that is warm.
    pub fn new(limit: ColdLimit, now: TimeUs) -> Self {
        let pacer = RatePacer::with_burst(limit.rate, limit.burst(), now);
        Self { limit, cold_since: None, pacer, starts: VecDeque::new() }
    }

    /// Changes the limit, and whether the target is cold. A target that turns cold starts with one token.
    pub fn set(&mut self, limit: ColdLimit, is_cold: bool, now: TimeUs) {
        let turns_cold = is_cold && self.cold_since.is_none();
        if turns_cold || limit != self.limit {
            self.pacer = RatePacer::with_burst(limit.rate, limit.burst(), now);
        }
        self.limit = limit;
        self.cold_since = if is_cold { self.cold_since.or(Some(now)) } else { None };
    }

    /// Returns whether the target is treated as cold.
    pub fn is_cold(&self) -> bool {
        self.cold_since.is_some()
    }

    /// Returns the rate in calls per second that is in force, or `None` while the target is warm.
    pub fn rate_per_s(&self) -> Option<f64> {
        self.cold_since.map(|_| self.pacer.rate_per_s())
    }

    /// Returns whether a call may start.
    pub fn may_start(&mut self, now: TimeUs) -> bool {
        !self.is_cold() || (self.window_opens_at() <= now && self.pacer.has_token(now))
    }

    /// Records that a call starts.
    pub fn record_start(&mut self, now: TimeUs) {
        if self.is_cold() {
            self.pacer.take_token();
        }
        if self.starts.len() >= MAX_STARTS {
            self.starts.pop_front();
        }
        // The caller may have read its clock before a start that was recorded already.
        let last = self.starts.back().copied().unwrap_or_default();
        self.starts.push_back(now.max(last));
    }

    /// Returns whether a call that started at `started_at` may be sent without starting anew.
    pub fn is_current(&self, started_at: TimeUs, now: TimeUs) -> bool {
        self.cold_since.is_none_or(|since| started_at > since && now.us_since(started_at) <= MAX_SEND_DELAY_US)
    }

    /// Returns when the next call may start, or `None` while the target is warm.
    pub fn next_start_at(&self) -> Option<TimeUs> {
        self.cold_since.map(|_| self.pacer.next_token_at().max(self.window_opens_at()))
    }

    /// Returns when the window has room for one more start.
    fn window_opens_at(&self) -> TimeUs {
        let oldest = self.starts.len().checked_sub(self.limit.max_per_window).and_then(|index| self.starts.get(index));
        oldest.map_or(TimeUs::default(), |start| start.plus_us(WINDOW_US))
    }
}
