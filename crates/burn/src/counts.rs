//! Counts of calls.

use fulmartrestle_derive::value;

use crate::Cause;

/// Calls by how they ended. 24 bytes; counts stop at their largest value.
#[value]
#[derive(Default)]
pub struct Counts {
    /// Whole answers in time.
    pub good: u32,
    /// Calls that used up the budget, by [`Cause`].
    pub bad: [u32; Cause::ALL.len()],
    /// Calls over their tenant's rate; they are outside the budget.
    pub over_rate: u32,
}

impl Counts {
    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        self.good = self.good.saturating_add(other.good);
        self.over_rate = self.over_rate.saturating_add(other.over_rate);
        for (bad, other) in self.bad.iter_mut().zip(other.bad) {
            *bad = bad.saturating_add(other);
        }
    }

    /// Returns the calls that used up the budget.
    pub fn bad_total(&self) -> u64 {
        self.bad.iter().map(|count| u64::from(*count)).sum()
    }

    /// Returns the calls that the objective speaks of.
    pub fn total(&self) -> u64 {
        u64::from(self.good) + self.bad_total()
    }

    /// Returns the share of bad calls from 0 to 1, zero without calls.
    pub fn bad_share(&self) -> f64 {
        if self.total() == 0 { 0.0 } else { self.bad_total() as f64 / self.total() as f64 }
    }

    /// Halves all counts, so that old calls lose weight.
    pub fn halve(&mut self) {
        self.good /= 2;
        self.over_rate /= 2;
        self.bad.iter_mut().for_each(|count| *count /= 2);
    }
}
