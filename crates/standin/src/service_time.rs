//! Distribution of the service time of a request.

use std::time::Duration;

use fulmartrestle_derive::value;
use rand::{Rng, RngExt};

/// A shifted exponential distribution: a minimum time plus an exponentially distributed extra time.
#[value]
#[serde(default, deny_unknown_fields)]
pub struct ServiceTime {
    /// Minimum time, in microseconds.
    pub min_us: u64,
    /// Mean of the extra time, in microseconds.
    pub mean_extra_us: u64,
}

impl Default for ServiceTime {
    /// Returns a constant time of two milliseconds.
    fn default() -> Self {
        Self { min_us: 2_000, mean_extra_us: 0 }
    }
}

impl ServiceTime {
    /// Samples a time and multiplies it by `factor`.
    pub fn sample(&self, factor: f64, random: &mut impl Rng) -> Duration {
        let uniform: f64 = random.random();
        let extra_us = -(1.0 - uniform).ln() * self.mean_extra_us as f64;
        let time_us = (self.min_us as f64 + extra_us) * factor;
        Duration::from_micros(time_us as u64)
    }
}
