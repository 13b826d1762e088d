//! Byte budget for the membership messages of a node.

/// Capacity of the budget for bursts, in seconds of the configured rate.
const BURST_CAPACITY_S: i64 = 2;

/// Share of the budget to which a message is charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetShare {
    /// Probes and rumours.
    Rumours,
    /// Directory synchronisation.
    Sync,
}

/// Two token buckets, each with half of the rate. Tokens that exceed the capacity of one flow to the other. With a
/// single bucket, rumours consumed the whole budget after many simultaneous changes, and new nodes had to wait for
/// their directory.
#[derive(Clone, Debug)]
pub struct Budget {
    rate_bytes_per_s: i64,
    rumour_bytes: i64,
    sync_bytes: i64,
}

impl Budget {
    /// Returns a full budget.
    pub fn new(rate_bytes_per_s: u64) -> Self {
        let rate_bytes_per_s = i64::try_from(rate_bytes_per_s).unwrap_or(i64::MAX / (2 * BURST_CAPACITY_S));
        let mut budget = Self { rate_bytes_per_s, rumour_bytes: 0, sync_bytes: 0 };
        budget.rumour_bytes = budget.capacity_bytes();
        budget.sync_bytes = budget.capacity_bytes();
        budget
    }

    /// Adds the tokens for `elapsed_us` microseconds.
    pub fn refill(&mut self, elapsed_us: u64) {
        let elapsed_us = i64::try_from(elapsed_us).unwrap_or(i64::MAX);
        let refill_bytes = self.rate_bytes_per_s.saturating_mul(elapsed_us) / 1_000_000;
        let capacity = self.capacity_bytes();
        self.rumour_bytes = self.rumour_bytes.saturating_add(refill_bytes / 2);
        self.sync_bytes = self.sync_bytes.saturating_add(refill_bytes - refill_bytes / 2);
        let rumour_excess = (self.rumour_bytes - capacity).max(0);
        let sync_excess = (self.sync_bytes - capacity).max(0);
        self.rumour_bytes = (self.rumour_bytes + sync_excess).min(capacity);
        self.sync_bytes = (self.sync_bytes + rumour_excess).min(capacity);
    }

    /// Deducts the bytes of a message. Messages that cannot be delayed may overdraw a share.
    pub fn charge(&mut self, share: BudgetShare, size_bytes: usize) {
        let balance = match share {
            BudgetShare::Rumours => &mut self.rumour_bytes,
            BudgetShare::Sync => &mut self.sync_bytes,
        };
        *balance = balance.saturating_sub(i64::try_from(size_bytes).unwrap_or(i64::MAX));
    }

    /// Returns the bytes that remain in a share, or 0 if it is overdrawn.
    pub fn available_bytes(&self, share: BudgetShare) -> usize {
        let balance = match share {
            BudgetShare::Rumours => self.rumour_bytes,
            BudgetShare::Sync => self.sync_bytes,
        };
        usize::try_from(balance).unwrap_or(0)
    }

    fn capacity_bytes(&self) -> i64 {
        self.rate_bytes_per_s * BURST_CAPACITY_S / 2
    }
}
