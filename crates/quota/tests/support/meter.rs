//! Checks a sequence of admissions against burst + rate * t over all intervals.

use fulmartrestle_core::TimeUs;

const MICRO: u64 = 1_000_000;

/// A leaky bucket that counts exactly: its level after an admission is the largest excess of
/// admissions over rate * t among all intervals that end there.
#[derive(Clone, Debug)]
pub struct RateMeter {
    rate_per_s: u64,
    burst: u64,
    level_micro: u64,
    last_at: TimeUs,
}

impl RateMeter {
    pub fn new(rate_per_s: u64, burst: u64, now: TimeUs) -> Self {
        Self { rate_per_s, burst, level_micro: 0, last_at: now }
    }

    /// Counts one admission if it keeps the bound, as a central token bucket would.
    pub fn try_admit(&mut self, now: TimeUs) -> bool {
        let kept = self.admit(now);
        if !kept {
            self.level_micro -= MICRO;
        }
        kept
    }

    /// Counts one admission and returns whether every interval that ends now keeps the bound.
    pub fn admit(&mut self, now: TimeUs) -> bool {
        let drained = now.us_since(self.last_at) * self.rate_per_s;
        self.level_micro = self.level_micro.saturating_sub(drained) + MICRO;
        self.last_at = now;
        self.level_micro <= self.burst * MICRO
    }
}
