//! The faults that the stand-in can be told to show.

use std::hash::{DefaultHasher, Hash, Hasher};

use fulmartrestle_derive::record;

const PER_MILLE: u64 = 1_000;

/// The stand-in's faults. The default is a log without faults.
#[record]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Refuses every request; nothing is written.
    pub down: bool,
    /// Delay of each request, in milliseconds. Half of it passes before the request takes effect and
    /// half after, so that a writer that gives up can't tell which.
    pub slow_ms: u64,
    /// Loses the answers of this many coming appends, after they took effect.
    pub lose_next_answers: u64,
    /// Loses this many of 1000 append answers, after the appends took effect.
    pub lose_answers_per_mille: u64,
    /// Refuses this many coming appends; nothing is written.
    pub refuse_next_appends: u64,
    /// Seed of the choice of answers that are lost.
    pub seed: u64,
    /// How long records are kept, in milliseconds; zero keeps them for good.
    pub retention_ms: u64,
}

impl LogFaults {
    /// Decides whether the append with this number is refused, and counts it.
    pub(crate) fn take_refusal(&mut self) -> bool {
        let refused = self.down || self.refuse_next_appends > 0;
        self.refuse_next_appends = self.refuse_next_appends.saturating_sub(1);
        refused
    }

    /// Decides whether the answer to the append with this number is lost, and counts it.
    pub(crate) fn take_lost_answer(&mut self, append_number: u64) -> bool {
        if self.lose_next_answers > 0 {
            self.lose_next_answers -= 1;
            return true;
        }
        let mut hasher = DefaultHasher::new();
        (self.seed, append_number).hash(&mut hasher);
        hasher.finish() % PER_MILLE < self.lose_answers_per_mille
    }
}
