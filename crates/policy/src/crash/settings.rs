//! Settings of the crash table.

/// Settings of a [`super::CrashTable`].
#[derive(Clone, Debug, PartialEq)]
pub struct CrashSettings {
    pub(super) mark_ms: u64,
    pub(super) block_ms: u64,
    pub(super) trial_ms: u64,
    pub(super) max_records: usize,
}

impl Default for CrashSettings {
    fn default() -> Self {
        Self { mark_ms: 60_000, block_ms: 300_000, trial_ms: 10_000, max_records: 4_096 }
    }
}

impl CrashSettings {
    /// Sets how long a first crash mark is kept, in milliseconds; 60,000 by default.
    #[must_use]
    pub fn mark_ms(mut self, mark_ms: u64) -> Self {
        self.mark_ms = mark_ms;
        self
    }

    /// Sets how long a request is blocked after its second crash, in milliseconds; 300,000 by
    /// default.
    #[must_use]
    pub fn block_ms(mut self, block_ms: u64) -> Self {
        self.block_ms = block_ms;
        self
    }

    /// Sets how long a suspected request that runs alone is kept from other targets while its outcome is not known, in
    /// milliseconds; 10,000 by default. A target that ends may announce its next run seconds later.
    #[must_use]
    pub fn trial_ms(mut self, trial_ms: u64) -> Self {
        self.trial_ms = trial_ms;
        self
    }

    /// Sets the maximum number of recorded requests, 4,096 by default.
    #[must_use]
    pub fn max_records(mut self, max_records: usize) -> Self {
        self.max_records = max_records.max(1);
        self
    }
}
