//! Share of the attempts at one target that fail there. See `docs/TARGET-CHOICE.md`.
//!
//! Load pattern: a few targets of a service fail a part of what they run, or lose their responses, for several seconds,
//! while their health checks succeed. Failed calls hold their slots briefly, so that such a target looks fast and empty and
//! draws more calls than the others.

use fulmartrestle_core::TimeUs;

/// Time constant with which attempts are forgotten, in microseconds. A target that recovers gets its calls back within a
/// few of them, also if it gets none meanwhile.
const MEMORY_US: f64 = 1_500_000.0;

/// Successful attempts that are assumed beside the measured ones, so that a single failure counts little.
const ASSUMED_SUCCESSES: f64 = 4.0;

const FULL_PERCENT: f64 = 100.0;

/// Measures the share of the attempts at one target that fail.
#[derive(Debug, Default)]
pub struct FailureMeter {
    attempts: f64,
    failures: f64,
    updated_at: TimeUs,
}

impl FailureMeter {
    /// Counts an attempt that reached the target. `failed` states that the target did not answer it, or answered with a
    /// failure.
    pub fn record_attempt(&mut self, failed: bool, now: TimeUs) {
        let kept = self.kept(now);
        self.attempts = self.attempts * kept + 1.0;
        self.failures = self.failures * kept + f64::from(u8::from(failed));
        self.updated_at = now;
    }

    /// Returns the share of recent attempts that failed, in percent.
    pub fn failed_percent(&self, now: TimeUs) -> u32 {
        let kept = self.kept(now);
        (FULL_PERCENT * self.failures * kept / (self.attempts * kept + ASSUMED_SUCCESSES)) as u32
    }

    /// Forgets all attempts, because another run of the target has begun.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    fn kept(&self, now: TimeUs) -> f64 {
        (-(now.us_since(self.updated_at) as f64) / MEMORY_US).exp()
    }
}
