//! The last contacts of this node's zone with the log and with other zones.

use fulmartrestle_core::TimeUs;

use super::Isolation;
use super::timing::CONTACT_LOST_AFTER_MS;

/// Times of the last contacts with the log and with other zones, direct or through peers of the zone.
#[derive(Clone, Debug)]
pub(super) struct Contacts {
    started_at: TimeUs,
    log_end_seen_at: Option<TimeUs>,
    other_zone_seen_at: Option<TimeUs>,
}

impl Contacts {
    pub(super) fn new(started_at: TimeUs) -> Self {
        Self { started_at, log_end_seen_at: None, other_zone_seen_at: None }
    }

    /// Records that this node was at the end of the log at `at`.
    pub(super) fn record_log_end(&mut self, at: TimeUs) {
        self.log_end_seen_at = self.log_end_seen_at.max(Some(at));
    }

    /// Records that a message from another zone was received at `at`.
    pub(super) fn record_other_zone(&mut self, at: TimeUs) {
        self.other_zone_seen_at = self.other_zone_seen_at.max(Some(at));
    }

    pub(super) fn log_end_seen_at(&self) -> Option<TimeUs> {
        self.log_end_seen_at
    }

    pub(super) fn log_age_ms(&self, now: TimeUs) -> Option<u64> {
        self.log_end_seen_at.map(|at| age_ms(now, at))
    }

    pub(super) fn other_zone_age_ms(&self, now: TimeUs) -> Option<u64> {
        self.other_zone_seen_at.map(|at| age_ms(now, at))
    }

    /// Returns what this node's zone has lost contact with. Before the first contact, time counts from the
    /// node's start.
    pub(super) fn isolation(&self, now: TimeUs) -> Isolation {
        let is_fresh = |at: Option<TimeUs>| now.ms_since(at.unwrap_or(self.started_at)) < CONTACT_LOST_AFTER_MS;
        let log_lost_since = self.log_end_seen_at.unwrap_or(self.started_at);
        if is_fresh(self.log_end_seen_at) {
            return Isolation::Connected;
        }
        if is_fresh(self.other_zone_seen_at) {
            return Isolation::LogOnlyLost { since: log_lost_since };
        }
        Isolation::Isolated { since: log_lost_since.max(self.other_zone_seen_at.unwrap_or(self.started_at)) }
    }
}

/// Returns the milliseconds since `at`, rounded up, because an age that is relayed by several nodes must
/// never come out too low.
fn age_ms(now: TimeUs, at: TimeUs) -> u64 {
    now.ms_since(at) + 1
}

/// Returns the time `age_ms` before `now`, but not before the start of the clock.
pub(super) fn time_before(now: TimeUs, age_ms: u64) -> TimeUs {
    TimeUs(now.0.saturating_sub(age_ms.saturating_mul(1_000)))
}
