//! Checks a sequence of admissions against the bound burst + rate * t over all intervals.

use fulmartrestle_core::TimeUs;

const MICRO_PER_REQUEST: u64 = 1_000_000;

/// An exact leaky bucket. Its level after an admission is the largest excess of admissions over
/// rate * t among all intervals that end at that admission.
#[derive(Clone, Debug)]
pub struct RateMeter {
    rate_per_s: u64,
    burst: u64,
    level_micro: u64,
    last_admission_at: TimeUs,
}

impl RateMeter {
    pub fn new(rate_per_s: u64, burst: u64, now: TimeUs) -> Self {
        Self { rate_per_s, burst, level_micro: 0, last_admission_at: now }
    }

    /// Records an admission unless it would exceed the bound, as a central token bucket would.
    pub fn try_admit(&mut self, now: TimeUs) -> bool {
        let within_bound = self.record(now);
        if !within_bound {
            self.level_micro -= MICRO_PER_REQUEST;
        }
        within_bound
    }

    /// Records an admission and returns whether every interval that ends now is within the bound.
    pub fn record(&mut self, now: TimeUs) -> bool {
        let drained = now.us_since(self.last_admission_at) * self.rate_per_s;
        self.level_micro = self.level_micro.saturating_sub(drained) + MICRO_PER_REQUEST;
        self.last_admission_at = now;
        self.level_micro <= self.burst * MICRO_PER_REQUEST
    }
}
