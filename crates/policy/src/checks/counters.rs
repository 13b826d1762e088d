//! Counters of violated invariants.

use fulmartrestle_derive::record;

use super::Invariant;

/// Counts the violations of each [`Invariant`].
#[record]
#[derive(Default, Eq)]
pub struct InvariantCounters {
    counts: [u64; Invariant::ALL.len()],
}

impl InvariantCounters {
    /// Counts one violation of an invariant.
    pub fn record(&mut self, invariant: Invariant) {
        self.counts[invariant.index()] += 1;
    }

    /// Counts a violation unless the invariant holds, and returns `holds`.
    pub fn check(&mut self, invariant: Invariant, holds: bool) -> bool {
        if !holds {
            self.record(invariant);
        }
        holds
    }

    /// Returns the number of violations of one invariant.
    pub fn count(&self, invariant: Invariant) -> u64 {
        self.counts[invariant.index()]
    }

    /// Returns the number of violations of all invariants.
    pub fn total(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// Adds the counts of another component of the node.
    pub fn add(&mut self, other: &Self) {
        for (count, other_count) in self.counts.iter_mut().zip(other.counts) {
            *count += other_count;
        }
    }
}

impl std::fmt::Display for InvariantCounters {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let violated = Invariant::ALL.into_iter().filter(|invariant| self.count(*invariant) > 0);
        let entries: Vec<String> = violated.map(|invariant| format!("{invariant}={}", self.count(invariant))).collect();
        formatter.write_str(if entries.is_empty() { "none" } else { "" })?;
        formatter.write_str(&entries.join(" "))
    }
}
