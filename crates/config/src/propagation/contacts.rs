//! When this node's view was last known to be current.

use fulmartrestle_core::TimeUs;

use super::Isolation;
use super::timing::CONTACT_LOST_AFTER_MS;

/// The last contacts with the log and with other zones, own or through peers of the zone.
#[derive(Clone, Debug)]
pub(super) struct Contacts {
    started_at: TimeUs,
    log_at: Option<TimeUs>,
    outside_at: Option<TimeUs>,
}

impl Contacts {
    pub(super) fn new(started_at: TimeUs) -> Self {
        Self { started_at, log_at: None, outside_at: None }
    }

    /// Notes that this node's place was the log's end at `at`.
    pub(super) fn note_log_end(&mut self, at: TimeUs) {
        self.log_at = self.log_at.max(Some(at));
    }

    /// Notes that another zone was heard at `at`.
    pub(super) fn note_outside(&mut self, at: TimeUs) {
        self.outside_at = self.outside_at.max(Some(at));
    }

    pub(super) fn log_at(&self) -> Option<TimeUs> {
        self.log_at
    }

    pub(super) fn log_age_ms(&self, now: TimeUs) -> Option<u64> {
        self.log_at.map(|at| age_ms(now, at))
    }

    pub(super) fn outside_age_ms(&self, now: TimeUs) -> Option<u64> {
        self.outside_at.map(|at| age_ms(now, at))
    }

    pub(super) fn isolation(&self, now: TimeUs) -> Isolation {
        let fresh = |at: Option<TimeUs>| now.ms_since(at.unwrap_or(self.started_at)) < CONTACT_LOST_AFTER_MS;
        let log_since = self.log_at.unwrap_or(self.started_at);
        if fresh(self.log_at) {
            return Isolation::Connected;
        }
        if fresh(self.outside_at) {
            return Isolation::LogOnlyLost { since: log_since };
        }
        Isolation::Isolated { since: log_since.max(self.outside_at.unwrap_or(self.started_at)) }
    }
}

/// Returns the milliseconds since `at`, rounded up: an age that passes through several nodes must
/// never come out too young.
fn age_ms(now: TimeUs, at: TimeUs) -> u64 {
    now.ms_since(at) + 1
}

/// Returns the point `age_ms` before `now`, not before the clock's start.
pub(super) fn before(now: TimeUs, age_ms: u64) -> TimeUs {
    TimeUs(now.0.saturating_sub(age_ms.saturating_mul(1_000)))
}
