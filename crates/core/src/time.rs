//! Virtual time. Decision functions take the current time as an argument and don't read a clock.

use std::time::Duration;

use fulmartrestle_derive::value;

const US_PER_MS: u64 = 1_000;
const US_PER_S: u64 = 1_000_000;

/// Time on a node's monotonic clock, in microseconds since the node started. Times of different nodes
/// can't be compared, so messages carry durations instead.
#[value]
#[derive(Default)]
#[serde(transparent)]
pub struct TimeUs(pub u64);

impl TimeUs {
    /// Returns the time `ms` milliseconds after the clock's start.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms * US_PER_MS)
    }

    /// Returns the time `s` seconds after the clock's start.
    pub const fn from_s(s: u64) -> Self {
        Self(s * US_PER_S)
    }

    /// Returns the time `ms` milliseconds later, saturating at the maximum.
    pub const fn plus_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms.saturating_mul(US_PER_MS)))
    }

    /// Returns the time `us` microseconds later, saturating at the maximum.
    pub const fn plus_us(self, us: u64) -> Self {
        Self(self.0.saturating_add(us))
    }

    /// Returns the microseconds from `earlier` to this time, or zero if `earlier` is later.
    pub const fn us_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the whole milliseconds from `earlier` to this time, or zero if `earlier` is later.
    pub const fn ms_since(self, earlier: Self) -> u64 {
        self.us_since(earlier) / US_PER_MS
    }

    /// Returns the duration from `earlier` to this time, or zero if `earlier` is later.
    pub const fn duration_since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.us_since(earlier))
    }
}

impl std::fmt::Display for TimeUs {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}.{:06} s", self.0 / US_PER_S, self.0 % US_PER_S)
    }
}
