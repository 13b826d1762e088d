//! Share of the calls that a target itself refuses. See `docs/design/failing-service-admission.md`.
//!
//! Load pattern: all targets of a service refuse about half of what they get, with slots free, for several seconds. The
//! slots in use and the queue show nothing of it.

use crate::TargetAttempts;

/// Time constant of the measured share, in microseconds, while few calls come.
const SHARE_TIME_CONSTANT_US: f64 = 500_000.0;

/// Maximum number of attempts that the share is measured on. At more than a few calls in a window, the share follows a
/// change within one or two windows.
const MAX_MEASURED_ATTEMPTS: f64 = 10.0;

const US_PER_S: f64 = 1e6;
const MILLI: f64 = 1e3;

/// Measures the attempts that reach one target, and the share that it refuses.
#[derive(Debug, Default)]
pub struct RefusalMeter {
    window_reached: f64,
    window_refused: f64,
    reached: f64,
    refused: f64,
    reached_per_s: f64,
}

impl RefusalMeter {
    /// Counts an attempt that reached the target.
    pub fn record_attempt(&mut self, refused: bool) {
        self.window_reached += 1.0;
        self.window_refused += f64::from(u8::from(refused));
    }

    /// Closes a window of `elapsed_us` microseconds. `rate_weight` is its weight in the smoothed rate.
    pub fn close_window(&mut self, elapsed_us: f64, rate_weight: f64) {
        let per_s = self.window_reached * US_PER_S / elapsed_us;
        self.reached_per_s += (per_s - self.reached_per_s) * rate_weight;
        // A window with many attempts replaces the earlier ones; one with few adds to them.
        let kept = (-elapsed_us / SHARE_TIME_CONSTANT_US)
            .exp()
            .min((MAX_MEASURED_ATTEMPTS - self.window_reached).max(0.0) / self.reached.max(1.0));
        self.reached = self.reached * kept + self.window_reached;
        self.refused = self.refused * kept + self.window_refused;
        (self.window_reached, self.window_refused) = (0.0, 0.0);
    }

    /// Returns the rates of the attempts.
    pub fn report(&self) -> TargetAttempts {
        let share = if self.reached > 0.0 { self.refused / self.reached } else { 0.0 };
        TargetAttempts {
            reached_milli: (self.reached_per_s * MILLI) as u32,
            refused_milli: (self.reached_per_s * share * MILLI) as u32,
        }
    }
}
