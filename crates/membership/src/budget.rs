//! The byte budget of a node's membership messages.

/// Seconds of unused budget that are kept for bursts.
const BURST_S: i64 = 2;

/// What a message's bytes are charged to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetShare {
    /// Probes and rumours.
    Rumours,
    /// Exchange of parts of the directory.
    Sync,
}

/// Two token buckets of half the rate each. What one doesn't need, the other gets. With a single
/// bucket, rumours took all of it after many changes at once, and new nodes waited for their directory.
#[derive(Clone, Debug)]
pub struct Budget {
    rate_bytes_per_s: i64,
    rumour_bytes: i64,
    sync_bytes: i64,
}

impl Budget {
    /// Returns a full budget.
    pub fn new(rate_bytes_per_s: u64) -> Self {
        let rate_bytes_per_s = i64::try_from(rate_bytes_per_s).unwrap_or(i64::MAX / (2 * BURST_S));
        let mut budget = Self { rate_bytes_per_s, rumour_bytes: 0, sync_bytes: 0 };
        budget.rumour_bytes = budget.ceiling_bytes();
        budget.sync_bytes = budget.ceiling_bytes();
        budget
    }

    /// Adds what was earned in `elapsed_us` microseconds.
    pub fn refill(&mut self, elapsed_us: u64) {
        let elapsed_us = i64::try_from(elapsed_us).unwrap_or(i64::MAX);
        let earned_bytes = self.rate_bytes_per_s.saturating_mul(elapsed_us) / 1_000_000;
        let ceiling = self.ceiling_bytes();
        self.rumour_bytes = self.rumour_bytes.saturating_add(earned_bytes / 2);
        self.sync_bytes = self.sync_bytes.saturating_add(earned_bytes - earned_bytes / 2);
        let rumour_excess = (self.rumour_bytes - ceiling).max(0);
        let sync_excess = (self.sync_bytes - ceiling).max(0);
        self.rumour_bytes = (self.rumour_bytes + sync_excess).min(ceiling);
        self.sync_bytes = (self.sync_bytes + rumour_excess).min(ceiling);
    }

    /// Takes the bytes of a message; a share may be overdrawn by messages that can't wait.
    pub fn charge(&mut self, share: BudgetShare, size_bytes: usize) {
        let left = match share {
            BudgetShare::Rumours => &mut self.rumour_bytes,
            BudgetShare::Sync => &mut self.sync_bytes,
        };
        *left = left.saturating_sub(i64::try_from(size_bytes).unwrap_or(i64::MAX));
    }

    /// Returns the bytes that a share has left.
    pub fn left_bytes(&self, share: BudgetShare) -> usize {
        let left = match share {
            BudgetShare::Rumours => self.rumour_bytes,
            BudgetShare::Sync => self.sync_bytes,
        };
        usize::try_from(left).unwrap_or(0)
    }

    fn ceiling_bytes(&self) -> i64 {
        self.rate_bytes_per_s * BURST_S / 2
    }
}
