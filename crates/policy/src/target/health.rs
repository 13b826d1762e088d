//! Health of a target, from this node's own connections and calls.

use fulmartrestle_core::TimeUs;

use super::TargetSettings;

/// Maximum number of doublings of the backoff; more would overflow before the maximum backoff is applied.
const MAX_DOUBLINGS: u32 = 16;

/// Circuit breaker: closed, open until the backoff ends, then half-open with one probe at a time.
#[derive(Debug, Default)]
pub(super) struct Health {
    /// End of the backoff; `None` while the target is not suspected.
    open_until: Option<TimeUs>,
    /// Start of the running probe.
    probe_started_at: Option<TimeUs>,
    failure_count: u32,
    lost_calls: u32,
    has_silent_connection: bool,
}

impl Health {
    /// Returns whether a connection is being replaced because it stopped responding.
    pub fn is_replacing_silent_connection(&self) -> bool {
        self.has_silent_connection
    }

    pub fn is_suspected(&self, now: TimeUs) -> bool {
        self.open_until.is_some_and(|until| now < until) || self.probe_started_at.is_some()
    }

    /// Returns whether a call may be sent to the target, either as a normal call or as a probe.
    pub fn is_available(&self, now: TimeUs) -> bool {
        self.open_until.is_none_or(|until| now >= until)
    }

    /// Starts a probe if the target is suspected: the call that is being sent is the probe, and no other
    /// call follows until it ends or its timeout expires.
    pub fn start_probe_if_suspected(&mut self, settings: &TargetSettings, now: TimeUs) {
        if self.open_until.is_some() {
            self.probe_started_at = Some(now);
            self.open_until = Some(now.plus_ms(settings.probe_timeout_ms));
        }
    }

    pub fn record_response(&mut self) {
        *self = Self::default();
    }

    /// Ends a probe without a result, so that the next call is a probe.
    pub fn record_inconclusive_probe(&mut self, now: TimeUs) {
        if self.probe_started_at.take().is_some() {
            self.open_until = Some(now);
        }
    }

    /// Records a call that was lost with its connection.
    pub fn record_lost_call(&mut self, settings: &TargetSettings, now: TimeUs) {
        self.lost_calls += 1;
        if self.probe_started_at.is_some() || self.lost_calls >= settings.losses_to_suspect {
            self.start_backoff(settings, now);
        }
    }

    /// Suspects a target at which many calls timed out while other targets answered.
    pub fn record_unresponsive(&mut self, settings: &TargetSettings, now: TimeUs) {
        self.start_backoff(settings, now);
    }

    pub fn record_silent_connection(&mut self) {
        self.has_silent_connection = true;
    }

    pub fn record_connection_failure(&mut self, settings: &TargetSettings, now: TimeUs) {
        let in_backoff = self.open_until.is_some_and(|until| now < until) && self.probe_started_at.is_none();
        if !in_backoff {
            self.start_backoff(settings, now);
        }
    }

    pub fn record_working_connection(&mut self, now: TimeUs) {
        self.has_silent_connection = false;
        if self.open_until.is_some() && self.probe_started_at.is_none() {
            self.open_until = Some(now);
        }
    }

    fn start_backoff(&mut self, settings: &TargetSettings, now: TimeUs) {
        let doublings = self.failure_count.min(MAX_DOUBLINGS);
        let backoff_ms = (settings.min_backoff_ms << doublings).min(settings.max_backoff_ms);
        self.failure_count += 1;
        self.lost_calls = 0;
        self.probe_started_at = None;
        self.open_until = Some(now.plus_ms(backoff_ms));
    }
}
