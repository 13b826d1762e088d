//! Settings of the rate limiter. All nodes of a fleet must run with the same values.

use fulmartrestle_derive::record;

const US_PER_MS: u64 = 1_000;
const PPM: u64 = 1_000_000;

/// Members of a zone per step of the lease time. The owner exchanges two messages with each member
/// per renewal; a longer lease in larger zones keeps that traffic near 800 messages per second, and
/// larger zones lose an owner more rarely.
const MEMBERS_PER_LEASE_STEP: u64 = 400;

/// Durations and margins of the rate limiter.
#[record]
#[derive(Eq)]
pub struct QuotaSettings {
    /// How long a loan lasts on its holder, in milliseconds. Default 1,000.
    pub loan_ms: u64,
    /// How long an owner's lease lasts, in milliseconds. It must exceed the time that membership
    /// takes to drop a crashed member plus one renewal. Default 4,500.
    pub lease_ms: u64,
    /// How often the owner renews its lease, in milliseconds. Default 1,000.
    pub renew_ms: u64,
    /// Within what time membership shows a new member to every node of its zone that runs, in
    /// milliseconds. Default 2,000.
    pub join_spread_ms: u64,
    /// How long a request may wait for a token in all, in milliseconds. Default 50.
    pub max_wait_ms: u64,
    /// Largest difference between a clock's rate and true time that lapses allow for, in parts per
    /// million. Default 10,000.
    pub clock_drift_ppm: u64,
    /// By how much an owner fills its bucket slower than its clock says, in parts per million.
    /// Default 500, the most by which NTP slews a monotonic clock.
    pub refill_margin_ppm: u64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self {
            loan_ms: 1_000,
            lease_ms: 4_500,
            renew_ms: 1_000,
            join_spread_ms: 2_000,
            max_wait_ms: 50,
            clock_drift_ppm: 10_000,
            refill_margin_ppm: 500,
        }
    }
}

impl QuotaSettings {
    /// Returns a duration on this node's clock that ends after `duration_us` on any other node's
    /// clock, when both start together: two drifts apart, and a third for rounding.
    pub fn outlasting_us(&self, duration_us: u64) -> u64 {
        duration_us + duration_us.saturating_mul(3 * self.clock_drift_ppm) / PPM + 1
    }

    /// Returns how long a loan lasts on its holder, in microseconds.
    pub fn loan_us(&self) -> u64 {
        self.loan_ms * US_PER_MS
    }

    /// Returns how long a lease lasts in a zone of `members` members, in microseconds.
    pub fn lease_us(&self, members: usize) -> u64 {
        self.lease_ms * US_PER_MS * lease_steps(members)
    }

    /// Returns how long after its start a node in a zone of `members` members counts as fresh, in
    /// microseconds.
    pub fn fresh_us(&self, members: usize) -> u64 {
        self.outlasting_us(self.lease_us(members) + self.join_spread_ms * US_PER_MS)
    }

    /// Returns how often a lease is renewed in a zone of `members` members, in microseconds.
    pub fn renew_us(&self, members: usize) -> u64 {
        self.renew_ms * US_PER_MS * lease_steps(members)
    }

    /// Returns how long a token request may wait, in microseconds.
    pub fn max_wait_us(&self) -> u64 {
        self.max_wait_ms * US_PER_MS
    }

    /// Returns the tokens, in billionths, that a rate yields in `elapsed_us` microseconds.
    pub fn refill_nano(&self, rate_milli_per_s: u64, elapsed_us: u64) -> u64 {
        let gross = u128::from(rate_milli_per_s) * u128::from(elapsed_us);
        let net = gross * u128::from(PPM - self.refill_margin_ppm) / u128::from(PPM);
        u64::try_from(net).unwrap_or(u64::MAX)
    }
}

fn lease_steps(members: usize) -> u64 {
    1 + members as u64 / MEMBERS_PER_LEASE_STEP
}
