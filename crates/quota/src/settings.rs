//! Settings of the rate limiter. All nodes of a fleet must use the same values.

use fulmartrestle_derive::record;

const US_PER_MS: u64 = 1_000;
const PARTS_PER_MILLION: u64 = 1_000_000;

/// Number of zone members after which the lease time grows by another base lease. The owner exchanges
/// two messages with each member per renewal, and longer leases in larger zones keep that traffic near
/// 800 messages per second. They cost little, because larger zones lose an owner less often.
const MEMBERS_PER_LEASE_STEP: u64 = 400;

/// Durations and margins of the rate limiter.
#[record]
#[derive(Eq)]
pub struct QuotaSettings {
    /// Lifetime of a loan at its holder, in milliseconds. Default 1,000.
    pub loan_duration_ms: u64,
    /// Lifetime of an owner's lease, in milliseconds. It must exceed the time that membership takes
    /// to drop a crashed member plus one renewal interval. Default 4,500.
    pub lease_duration_ms: u64,
    /// Interval at which the owner renews its lease, in milliseconds. Default 1,000.
    pub renew_interval_ms: u64,
    /// Time within which membership announces a new member to every running node of its zone, in
    /// milliseconds. Default 2,000.
    pub join_propagation_ms: u64,
    /// Maximum total time that a request waits for a token, in milliseconds. Default 50.
    pub max_wait_ms: u64,
    /// Largest clock drift relative to true time that expiry times allow for, in parts per million.
    /// Default 10,000.
    pub clock_drift_ppm: u64,
    /// Reduction of the refill rate of an owner's buckets relative to its clock, in parts per million.
    /// Default 500, the largest rate at which NTP slews a monotonic clock.
    pub refill_margin_ppm: u64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self {
            loan_duration_ms: 1_000,
            lease_duration_ms: 4_500,
            renew_interval_ms: 1_000,
            join_propagation_ms: 2_000,
            max_wait_ms: 50,
            clock_drift_ppm: 10_000,
            refill_margin_ppm: 500,
        }
    }
}

impl QuotaSettings {
    /// Returns a duration on this node's clock that ends no earlier than `duration_us` on any other
    /// node's clock when both start at the same time. The margin is three times the drift: two for
    /// clocks that drift in opposite directions, and one for rounding.
    pub fn with_drift_margin_us(&self, duration_us: u64) -> u64 {
        duration_us + duration_us.saturating_mul(3 * self.clock_drift_ppm) / PARTS_PER_MILLION + 1
    }

    /// Returns the lifetime of a loan at its holder, in microseconds.
    pub fn loan_duration_us(&self) -> u64 {
        self.loan_duration_ms * US_PER_MS
    }

    /// Returns the lifetime of a lease in a zone of `members` members, in microseconds.
    pub fn lease_duration_us(&self, members: usize) -> u64 {
        self.lease_duration_ms * US_PER_MS * lease_multiplier(members)
    }

    /// Returns the time after its start for which a node in a zone of `members` members counts as
    /// recently started, in microseconds.
    pub fn recent_start_us(&self, members: usize) -> u64 {
        self.with_drift_margin_us(self.lease_duration_us(members) + self.join_propagation_ms * US_PER_MS)
    }

    /// Returns the interval between renewals of a lease in a zone of `members` members, in
    /// microseconds.
    pub fn renew_interval_us(&self, members: usize) -> u64 {
        self.renew_interval_ms * US_PER_MS * lease_multiplier(members)
    }

    /// Returns the maximum total time that a request waits for a token, in microseconds.
    pub fn max_wait_us(&self) -> u64 {
        self.max_wait_ms * US_PER_MS
    }

    /// Returns the tokens that a rate earns in `elapsed_us` microseconds, in billionths of a token.
    /// The refill margin is deducted.
    pub fn refill_nano(&self, rate_milli_per_s: u64, elapsed_us: u64) -> u64 {
        let gross = u128::from(rate_milli_per_s) * u128::from(elapsed_us);
        let net = gross * u128::from(PARTS_PER_MILLION - self.refill_margin_ppm) / u128::from(PARTS_PER_MILLION);
        u64::try_from(net).unwrap_or(u64::MAX)
    }
}

fn lease_multiplier(members: usize) -> u64 {
    1 + members as u64 / MEMBERS_PER_LEASE_STEP
}
