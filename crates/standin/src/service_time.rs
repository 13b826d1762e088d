//! How long the work of one request takes.

use std::time::Duration;

use fulmartrestle_derive::value;
use rand::{Rng, RngExt};

/// A shifted exponential distribution: a least time, and a tail that most requests see little of.
#[value]
#[serde(default, deny_unknown_fields)]
pub struct ServiceTime {
    /// Least time, in microseconds.
    pub min_us: u64,
    /// Mean of the exponential part, in microseconds.
    pub mean_extra_us: u64,
}

impl Default for ServiceTime {
    /// Two milliseconds and no tail.
    fn default() -> Self {
        Self { min_us: 2_000, mean_extra_us: 0 }
    }
}

impl ServiceTime {
    /// Draws one time, stretched by `factor`.
    pub fn draw(&self, factor: f64, random: &mut impl Rng) -> Duration {
        let uniform: f64 = random.random();
        let extra_us = -(1.0 - uniform).ln() * self.mean_extra_us as f64;
        let time_us = (self.min_us as f64 + extra_us) * factor;
        Duration::from_micros(time_us as u64)
    }
}
