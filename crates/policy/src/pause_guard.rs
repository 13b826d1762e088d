//! Notices that the process was paused, and holds back work until it has heard what changed meanwhile.
//!
//! Load pattern: a VM is suspended for seconds and then goes on with the calls that have waited in its sockets, although
//! its zone was evacuated in the meantime. The messages that say so wait in another socket.

use fulmartrestle_core::TimeUs;

/// Time between two observations from which on the process was paused, in milliseconds. Observations are made at least
/// every few hundred ms, and a node reacts to an evacuation seconds before its bound.
const MIN_PAUSE_MS: u64 = 2_000;

/// Time to receive the messages of other nodes after a pause, in milliseconds. Together they send dozens a second.
const HOLD_MS: u64 = 100;

/// Whether this process was paused recently.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseGuard {
    last_observed: Option<TimeUs>,
    hold_until: TimeUs,
}

impl PauseGuard {
    /// Observes that the process runs. Returns until when calls have to wait, if they have to.
    pub fn observe(&mut self, now: TimeUs) -> Option<TimeUs> {
        if self.last_observed.is_some_and(|last| now.ms_since(last) >= MIN_PAUSE_MS) {
            self.hold_until = now.plus_ms(HOLD_MS);
        }
        self.last_observed = self.last_observed.max(Some(now));
        Some(self.hold_until).filter(|hold_until| now < *hold_until)
    }
}
