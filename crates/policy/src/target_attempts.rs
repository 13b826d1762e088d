//! Attempts that reached a target, and those among them that it refused or failed.

use fulmartrestle_derive::record;

/// Rates of the attempts at one target. Repetitions of a call count, because the target may refuse each of them.
#[record]
#[derive(Copy, Default)]
pub struct TargetAttempts {
    /// Attempts per second that reached the target, in thousandths.
    pub reached_milli: u32,
    /// Attempts per second that the target refused without running them, or failed to answer, in thousandths.
    pub refused_milli: u32,
}

impl TargetAttempts {
    /// Returns the share of the attempts that the target refused or failed.
    pub fn refused_share(&self) -> f64 {
        f64::from(self.refused_milli) / f64::from(self.reached_milli.max(1))
    }
}
