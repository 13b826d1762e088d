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

/// How an attempt that reached a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target answered.
    Answered,
    /// The target answered that it failed. A call that it made may be the cause.
    Error,
    /// The target refused the attempt, or its response was lost or is invalid.
    Failed,
    /// The deadline passed. An overload, here or further downstream, is the most likely cause.
    Late,
}

/// Measures the share of the attempts at one target that fail by its own fault.
#[derive(Debug, Default)]
pub struct FailureMeter {
    attempts: f64,
    failures: f64,
    /// Failed calls that the target made and that have not explained an error yet.
    failed_calls: f64,
    updated_at: TimeUs,
}

impl FailureMeter {
    /// Counts an attempt that reached the target. Errors that a failed call explains and late attempts say nothing about
    /// the target: in an overload they differ by chance, and avoiding the targets that had more of them moves the load
    /// to the others.
    pub fn record_attempt(&mut self, end: AttemptEnd, now: TimeUs) {
        self.forget(now);
        let failed = match end {
            AttemptEnd::Answered => false,
            AttemptEnd::Failed => true,
            AttemptEnd::Late => return,
            AttemptEnd::Error if self.failed_calls >= 0.5 => {
                self.failed_calls = (self.failed_calls - 1.0).max(0.0);
                return;
            }
            AttemptEnd::Error => true,
        };
        self.attempts += 1.0;
        self.failures += f64::from(u8::from(failed));
    }

    /// Counts a call of the target that was not served.
    pub fn record_failed_call(&mut self, now: TimeUs) {
        self.forget(now);
        self.failed_calls += 1.0;
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

    fn forget(&mut self, now: TimeUs) {
        let kept = self.kept(now);
        self.attempts *= kept;
        self.failures *= kept;
        self.failed_calls *= kept;
        self.updated_at = now;
    }

    fn kept(&self, now: TimeUs) -> f64 {
        (-(now.us_since(self.updated_at) as f64) / MEMORY_US).exp()
    }
}
