//! Faults that can be injected into the in-memory log.

use std::hash::{DefaultHasher, Hash, Hasher};

use fulmartrestle_derive::record;

/// Denominator of [`LogFaults::lose_answers_per_mille`].
const PER_MILLE: u64 = 1_000;

/// Faults to inject into the in-memory log. The default injects none.
#[record]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Fails every request with [`LogError::Unavailable`](crate::LogError::Unavailable); nothing is written.
    pub down: bool,
    /// Delay of each request, in milliseconds. Half of it passes before the request takes effect and
    /// half after, so that a writer that times out can't tell whether its append took effect.
    pub slow_ms: u64,
    /// Drops the responses of the next appends, this many of them. The appends take effect.
    pub lose_next_answers: u64,
    /// Drops the responses of this many in 1000 appends. The appends take effect.
    pub lose_answers_per_mille: u64,
    /// Refuses the next appends, this many of them; nothing is written.
    pub refuse_next_appends: u64,
    /// Seed that selects the responses to drop for `lose_answers_per_mille`.
    pub seed: u64,
    /// Retention of records, in milliseconds; zero keeps them forever.
    pub retention_ms: u64,
}

impl LogFaults {
    /// Returns whether the current append is refused, and decrements the number of refusals left.
    pub(crate) fn consume_append_refusal(&mut self) -> bool {
        let refused = self.down || self.refuse_next_appends > 0;
        self.refuse_next_appends = self.refuse_next_appends.saturating_sub(1);
        refused
    }

    /// Returns whether the response to the append with this number is dropped, and decrements the number of
    /// responses left to drop.
    pub(crate) fn consume_lost_response(&mut self, append_number: u64) -> bool {
        if self.lose_next_answers > 0 {
            self.lose_next_answers -= 1;
            return true;
        }
        let mut hasher = DefaultHasher::new();
        (self.seed, append_number).hash(&mut hasher);
        hasher.finish() % PER_MILLE < self.lose_answers_per_mille
    }
}
