//! The clock of the node. No other module reads the system's clocks.

use std::time::Duration;

use fulmartrestle_core::TimeUs;
use rustix::time::{ClockId, clock_gettime};

const US_PER_S: u64 = 1_000_000;
const NS_PER_US: u64 = 1_000;
const MS_PER_S: i64 = 1_000;
const NS_PER_MS: i64 = 1_000_000;

/// Reads the system clock that also advances while the VM is suspended. Leases and the age of the configuration
/// must not stand still while the rest of the fleet continues.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the current time.
    pub fn now(self) -> TimeUs {
        let time = clock_gettime(ClockId::Boottime);
        TimeUs(time.tv_sec as u64 * US_PER_S + time.tv_nsec as u64 / NS_PER_US)
    }

    /// Returns the time of day in milliseconds since the Unix epoch, which other VMs and the starts of targets are compared
    /// with. It may be stepped.
    pub fn unix_ms(self) -> i64 {
        let time = clock_gettime(ClockId::Realtime);
        time.tv_sec * MS_PER_S + time.tv_nsec / NS_PER_MS
    }

    /// Returns the time left until `time`, or zero if it has passed.
    pub fn duration_until(self, time: TimeUs) -> Duration {
        time.duration_since(self.now())
    }
}
