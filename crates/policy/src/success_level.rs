//! Admitted share of a route whose requests often fail. See `docs/design/failing-service-admission.md`.
//!
//! Load pattern: the refusals that a share is calculated from depend on the share itself, and are known half a second
//! later. A share that followed them at once would swing between none and all.

/// Expected share of successful requests from which on a route is admitted as a whole.
const FULL_SUCCESS_SHARE: f64 = 0.5;

/// Expected share of successful requests below which only probing requests are admitted.
const MIN_SUCCESS_SHARE: f64 = 0.15;

/// Lowest level, whose requests show whether the service still fails.
pub const PROBING_LEVEL: f64 = 0.02;

/// Unit of time of the changes below, in milliseconds.
const STEP_MS: f64 = 100.0;

/// Factor of a fall in each step. Three steps refuse nine tenths of the requests.
const FALL_FACTOR: f64 = 0.45;

/// Factor of a rise in each step, up to [`FAST_RISE_SHARE`] of the level at which requests last began to fail.
const RISE_FACTOR: f64 = 1.5;
const FAST_RISE_SHARE: f64 = 0.5;

/// Rise in each step above that.
const SLOW_RISE: f64 = 0.08;

/// Admitted share of one route, as far as its expected success limits it.
#[derive(Debug)]
pub struct SuccessLevel {
    level: f64,
    is_falling: bool,
    /// Level at which the last fall began.
    failed_at: f64,
}

impl Default for SuccessLevel {
    fn default() -> Self {
        Self { level: 1.0, is_falling: false, failed_at: 1.0 }
    }
}

impl SuccessLevel {
    /// Moves the level toward the one for `success_share`, the share of requests that are expected to succeed.
    pub fn update(&mut self, success_share: f64, elapsed_ms: u64) {
        let aim = (success_share - MIN_SUCCESS_SHARE) / (FULL_SUCCESS_SHARE - MIN_SUCCESS_SHARE);
        let aim = aim.clamp(PROBING_LEVEL, 1.0);
        let steps = elapsed_ms as f64 / STEP_MS;
        let falls = aim < self.level;
        if falls && !self.is_falling {
            self.failed_at = self.level;
        }
        self.is_falling = falls;
        self.level = if falls {
            aim.max(self.level * FALL_FACTOR.powf(steps))
        } else if self.level < self.failed_at * FAST_RISE_SHARE {
            aim.min(self.level * RISE_FACTOR.powf(steps))
        } else {
            aim.min(self.level + SLOW_RISE * steps)
        };
    }

    /// Returns the admitted share, from the probing share to 1.
    pub fn level(&self) -> f64 {
        self.level
    }
}
