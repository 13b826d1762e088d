//! Access to the monotonic clock and the system clock. No other module reads a clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use fulmartrestle_core::TimeUs;

/// Monotonic clock that counts from the start of the node.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts the clock at zero.
    pub fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// Returns the time since the start of the clock.
    pub fn now(&self) -> TimeUs {
        TimeUs(self.started.elapsed().as_micros() as u64)
    }

    /// Converts a time to an instant of the runtime, for timers.
    pub fn runtime_instant(&self, time: TimeUs) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.started + std::time::Duration::from_micros(time.0))
    }
}

/// Returns the system time in milliseconds since the Unix epoch.
///
/// It is for times that people or other systems read. The system time may jump, so deadlines and timers use [`Clock`].
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
