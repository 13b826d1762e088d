//! Load of a target between reports. See `docs/design/load-metrics.md`.
//!
//! Load pattern: reports are up to a second old, and a status message reaches all senders at once. If each sender took
//! the last report for the present load, all would send to the same target and overfill it before the next reports.

use fulmartrestle_core::TimeUs;

/// Time constant of the mean load, in milliseconds. With 1,000 ms, the load of four targets at two thirds of their
/// capacity swings between empty and overfull; with 10,000 ms, calls are late when the rate doubles.
const MEAN_MS: f64 = 3_000.0;

/// Age at which a report counts no more than the mean, in milliseconds. Until then it can correct the mean, for example
/// when a full target has refused a call.
const REPORT_VALID_MS: f64 = 100.0;

const US_PER_MS: f64 = 1e3;

/// Mean and latest load of one target, in calls.
#[derive(Debug)]
pub struct ReportedLoad {
    mean_calls: f64,
    latest_calls: f64,
    reported_at: TimeUs,
}

impl ReportedLoad {
    /// Returns the load after the first report of a target.
    pub fn new(calls: u32, now: TimeUs) -> Self {
        let calls = f64::from(calls);
        Self { mean_calls: calls, latest_calls: calls, reported_at: now }
    }

    /// Records a later report.
    pub fn record_report(&mut self, calls: u32, now: TimeUs) {
        self.latest_calls = f64::from(calls);
        let weight = 1.0 - (-self.age_ms(now) / MEAN_MS).exp();
        self.mean_calls += (self.latest_calls - self.mean_calls) * weight;
        self.reported_at = now;
    }

    /// Returns the calls that are expected to run and to wait at the target at present.
    pub fn expected_calls(&self, now: TimeUs) -> f64 {
        let latest_weight = (1.0 - self.age_ms(now) / REPORT_VALID_MS).max(0.0);
        self.mean_calls + (self.latest_calls - self.mean_calls) * latest_weight
    }

    /// Returns the age of the latest report in milliseconds.
    pub fn age_ms(&self, now: TimeUs) -> f64 {
        now.us_since(self.reported_at) as f64 / US_PER_MS
    }
}
