//! Counts of calls by how they ended.

use fulmartrestle_derive::value;

use crate::Cause;

/// Counts of calls by how they ended, in 24 bytes. The counts saturate.
#[value]
#[derive(Default)]
pub struct CallCounts {
    /// Calls with a complete response within the time of the objective.
    pub good: u32,
    /// Calls that consumed error budget, indexed by [`Cause::index`].
    pub bad: [u32; Cause::ALL.len()],
    /// Calls refused because their tenant exceeded its rate and burst. They don't consume error budget.
    pub over_rate: u32,
}

impl CallCounts {
    /// Adds `other` to these counts.
    pub fn add(&mut self, other: &Self) {
        self.good = self.good.saturating_add(other.good);
        self.over_rate = self.over_rate.saturating_add(other.over_rate);
        for (bad, other) in self.bad.iter_mut().zip(other.bad) {
            *bad = bad.saturating_add(other);
        }
    }

    /// Returns the number of calls that consumed error budget.
    pub fn bad_total(&self) -> u64 {
        self.bad.iter().map(|count| u64::from(*count)).sum()
    }

    /// Returns the number of calls that the objective covers: good and bad ones.
    pub fn total(&self) -> u64 {
        u64::from(self.good) + self.bad_total()
    }

    /// Returns the share of bad calls, from 0 to 1; zero if there are no calls.
    pub fn bad_share(&self) -> f64 {
        if self.total() == 0 { 0.0 } else { self.bad_total() as f64 / self.total() as f64 }
    }

    /// Halves all counts, so that older calls weigh less.
    pub fn halve(&mut self) {
        self.good /= 2;
        self.over_rate /= 2;
        self.bad.iter_mut().for_each(|count| *count /= 2);
    }
}
