//! Paces the starts of calls at a target that names a maximum rate.

use fulmartrestle_core::{RateMilliPerS, TimeUs};

/// Time for which unused starts are kept, in seconds. Calls come in bursts of a few.
const BURST_S: f64 = 0.25;

/// Lowest rate, in calls per second. A target that gets no calls could never say that it takes more.
const MIN_RATE_PER_S: f64 = 0.25;

const MILLI: f64 = 1e3;
const US_PER_S: f64 = 1e6;

/// A token bucket that holds one token for each call that may start.
#[derive(Debug)]
pub struct RatePacer {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: TimeUs,
    /// Most tokens that are kept; `None` for those of [`BURST_S`].
    burst: Option<f64>,
}

impl RatePacer {
    /// Returns a pacer that allows one call at once.
    pub fn new(max_rate: RateMilliPerS, now: TimeUs) -> Self {
        Self { rate_per_s: to_rate_per_s(max_rate), tokens: 1.0, refilled_at: now, burst: None }
    }

    /// Returns a pacer that allows one call at once, and up to `burst` after a pause.
    pub fn with_burst(max_rate: RateMilliPerS, burst: f64, now: TimeUs) -> Self {
        Self { burst: Some(burst), ..Self::new(max_rate, now) }
    }

    /// Changes the rate from `now` on.
    pub fn set_rate(&mut self, max_rate: RateMilliPerS, now: TimeUs) {
        self.refill(now);
        self.rate_per_s = to_rate_per_s(max_rate);
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Returns the rate in calls per second.
    pub fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }

    /// Returns whether a call may start.
    pub fn has_token(&mut self, now: TimeUs) -> bool {
        self.refill(now);
        self.tokens >= 1.0
    }

    /// Records that a call starts.
    pub fn take_token(&mut self) {
        self.tokens -= 1.0;
    }

    /// Returns when the next call may start.
    pub fn next_token_at(&self) -> TimeUs {
        let missing_us = (1.0 - self.tokens).max(0.0) / self.rate_per_s * US_PER_S;
        self.refilled_at.plus_us(missing_us.ceil() as u64)
    }

    fn refill(&mut self, now: TimeUs) {
        let earned = now.us_since(self.refilled_at) as f64 / US_PER_S * self.rate_per_s;
        self.tokens = (self.tokens + earned).min(self.capacity());
        // A clock value that was read before the last refill must not earn the same time twice.
        self.refilled_at = self.refilled_at.max(now);
    }

    fn capacity(&self) -> f64 {
        self.burst.unwrap_or(self.rate_per_s * BURST_S).max(1.0)
    }
}

fn to_rate_per_s(max_rate: RateMilliPerS) -> f64 {
    (max_rate.0 as f64 / MILLI).max(MIN_RATE_PER_S)
}
