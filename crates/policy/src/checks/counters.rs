//! Counters of violated properties.

use fulmartrestle_derive::record;

use super::Invariant;

/// Counts the violations of each [`Invariant`].
#[record]
#[derive(Default, Eq)]
pub struct InvariantCounters {
    counts: [u64; Invariant::ALL.len()],
}

impl InvariantCounters {
    /// Counts a violation.
    pub fn record(&mut self, invariant: Invariant) {
        self.counts[invariant.index()] += 1;
    }

    /// Counts a violation unless the property holds, and returns whether it does.
    pub fn check(&mut self, invariant: Invariant, holds: bool) -> bool {
        if !holds {
            self.record(invariant);
        }
        holds
    }

    /// Returns the violations of one property.
    pub fn count(&self, invariant: Invariant) -> u64 {
        self.counts[invariant.index()]
    }

    /// Returns the violations of all properties.
    pub fn total(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// Adds the counts of another part of the node.
    pub fn add(&mut self, other: &Self) {
        for (count, more) in self.counts.iter_mut().zip(other.counts) {
            *count += more;
        }
    }
}

impl std::fmt::Display for InvariantCounters {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let violated = Invariant::ALL.into_iter().filter(|invariant| self.count(*invariant) > 0);
        let texts: Vec<String> = violated.map(|invariant| format!("{invariant}={}", self.count(invariant))).collect();
        formatter.write_str(if texts.is_empty() { "none" } else { "" })?;
        formatter.write_str(&texts.join(" "))
    }
}
