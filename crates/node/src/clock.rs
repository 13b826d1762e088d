//! The only place of the node that reads clocks.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use fulmartrestle_core::TimeUs;

/// Reads the monotonic clock as time since the node started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// Returns the present time.
    pub fn now(&self) -> TimeUs {
        TimeUs(self.started.elapsed().as_micros() as u64)
    }

    /// Returns the runtime's instant for a point in time, for sleeping until it.
    pub fn instant_of(&self, time: TimeUs) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.started + std::time::Duration::from_micros(time.0))
    }
}

/// Returns milliseconds since the Unix epoch, for records that people read.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
