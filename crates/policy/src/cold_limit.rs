//! The number of requests that a cold target may receive.

use fulmartrestle_core::RateMilliPerS;
use fulmartrestle_derive::local;

/// Requests by which a window stays below the operator's bound. Starts are counted where the node hands a request to
/// a connection, and a single delayed one can still arrive in the next window.
const MARGIN_REQUESTS: f64 = 2.0;

/// Length of the window in which starts are counted, in microseconds: the second of the operator's bound, and 0.1 s
/// by which a request may take longer to the target than the one after it. Pauses of that length are common on small
/// VMs.
pub(crate) const WINDOW_US: u64 = 1_100_000;

/// Largest number of starts in a window. It bounds the memory for the times of recent starts.
pub(crate) const MAX_STARTS: usize = 1_024;

const US_PER_S: f64 = 1e6;
const MILLI: f64 = 1e3;

/// Limit on the starts of calls at a target while it is cold.
#[local]
#[derive(Copy)]
pub struct ColdLimit {
    /// Rate at which calls may start in the long run.
    pub rate: RateMilliPerS,
    /// Calls that may start in one window of [`WINDOW_US`]; at least one.
    pub max_per_window: usize,
}

impl ColdLimit {
    /// Returns the limit of a target that handles `cold_per_s` while it is cold, of which the operator allows
    /// `overage` times, and `slack` requests more in any second.
    pub fn new(cold_per_s: RateMilliPerS, overage: f64, slack: f64) -> Self {
        let rate_per_s = cold_per_s.0 as f64 / MILLI * overage;
        let max_per_window = max_per_window(rate_per_s + slack);
        Self { rate: RateMilliPerS((rate_per_s * MILLI) as u64), max_per_window }
    }

    /// Returns the limit of a target whose rate while it is cold is not known. Any rate allows the operator's
    /// `slack`, so this never exceeds the bound.
    pub fn for_unknown_rate(slack: f64) -> Self {
        let max_per_window = max_per_window(slack);
        let rate_per_s = max_per_window as f64 * US_PER_S / WINDOW_US as f64;
        Self { rate: RateMilliPerS((rate_per_s * MILLI) as u64), max_per_window }
    }

    /// Returns how many calls may start at once after a pause. Together with what the rate adds in a window they do
    /// not exceed the window's limit.
    pub(crate) fn burst(&self) -> f64 {
        let earned = self.rate.0 as f64 / MILLI * WINDOW_US as f64 / US_PER_S;
        (self.max_per_window as f64 - earned).max(1.0)
    }
}

/// Returns the starts that a bound in requests allows in a window. A bound below one would never let a request reach
/// the target, which then could never warm up.
fn max_per_window(bound: f64) -> usize {
    ((bound - MARGIN_REQUESTS).floor().max(1.0) as usize).min(MAX_STARTS)
}
