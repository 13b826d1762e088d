//! Settings of claims. All nodes of a fleet must run with the same values.

use fulmartrestle_derive::record;

/// Durations and budgets of claims.
#[record]
#[derive(Eq)]
pub struct ClaimSettings {
    /// Appends per second that claims of the whole fleet may take. Default 120.
    pub appends_per_s: u64,
    /// Zones that share the appends. A zone that is cut off sees only itself, and must not take the
    /// others' part. Default 3.
    pub zone_count: u64,
    /// Records per append. Default 1,000, about 34 KB.
    pub max_batch: usize,
    /// How old an idempotency key may be, in milliseconds. Default 900,000.
    pub window_ms: u64,
    /// How long the platform's log keeps records at least, in milliseconds. It must exceed
    /// `window_ms`. Default 3,600,000.
    pub retention_ms: u64,
    /// How long an entry waits for a verdict in all, in milliseconds. Default 2,000.
    pub claim_timeout_ms: u64,
    /// After what silence an entry asks another batcher, in milliseconds. Default 400.
    pub ask_retry_ms: u64,
    /// How often an entry repeats a release until it is on the log, in milliseconds. Default 1,000.
    pub release_retry_ms: u64,
    /// After what silence a batcher takes the log for unavailable, in milliseconds. Default 1,000.
    pub log_timeout_ms: u64,
    /// How often an idle batcher reads on, in milliseconds. Default 500.
    pub idle_read_ms: u64,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            appends_per_s: 120,
            zone_count: 3,
            max_batch: 1_000,
            window_ms: 900_000,
            retention_ms: 3_600_000,
            claim_timeout_ms: 2_000,
            ask_retry_ms: 400,
            release_retry_ms: 1_000,
            log_timeout_ms: 1_000,
            idle_read_ms: 500,
        }
    }
}

impl ClaimSettings {
    /// Allowance for the time that a key's age spends in messages and queues, and for clocks of
    /// different rates, in milliseconds: one per cent of the window and ten seconds.
    pub fn age_margin_ms(&self) -> u64 {
        const QUEUES_MS: u64 = 10_000;
        QUEUES_MS + self.window_ms / 100
    }
}
