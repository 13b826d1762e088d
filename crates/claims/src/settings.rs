//! Settings of claims. All nodes of a fleet must use the same values.

use fulmartrestle_derive::record;

/// Timeouts, intervals and budgets of claims.
#[record]
#[derive(Eq)]
pub struct ClaimSettings {
    /// Append budget of the whole fleet for claims, in appends per second. Default 120.
    pub appends_per_s: u64,
    /// Number of zones among which the append budget is split. A partitioned zone sees only its own
    /// members and must not use the budget of the others. Default 3.
    pub zone_count: u64,
    /// Maximum number of records per append. Default 1,000, about 34 KB.
    pub max_batch_records: usize,
    /// Maximum age of an idempotency key, in milliseconds. Default 900,000.
    pub window_ms: u64,
    /// Minimum time for which the platform's log retains records, in milliseconds. It must exceed
    /// `window_ms`. Default 3,600,000.
    pub retention_ms: u64,
    /// Maximum total time that an entry node waits for the decision on a claim, in milliseconds. Default
    /// 2,000.
    pub claim_timeout_ms: u64,
    /// Time without a response after which an entry node asks another batcher, in milliseconds. Default
    /// 400.
    pub claim_retry_ms: u64,
    /// Interval at which an entry node repeats a release until it is on the log, in milliseconds.
    /// Default 1,000.
    pub release_retry_ms: u64,
    /// Time without a response after which a batcher treats the log as unavailable, in milliseconds.
    /// Default 1,000.
    pub log_timeout_ms: u64,
    /// Interval between reads of an idle batcher, in milliseconds. Default 500.
    pub idle_read_interval_ms: u64,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            appends_per_s: 120,
            zone_count: 3,
            max_batch_records: 1_000,
            window_ms: 900_000,
            retention_ms: 3_600_000,
            claim_timeout_ms: 2_000,
            claim_retry_ms: 400,
            release_retry_ms: 1_000,
            log_timeout_ms: 1_000,
            idle_read_interval_ms: 500,
        }
    }
}

impl ClaimSettings {
    /// Returns the margin added to key ages for delays in messages and queues and for clock drift, in
    /// milliseconds: ten seconds plus one per cent of the window.
    pub fn age_margin_ms(&self) -> u64 {
        const QUEUEING_MARGIN_MS: u64 = 10_000;
        QUEUEING_MARGIN_MS + self.window_ms / 100
    }
}
