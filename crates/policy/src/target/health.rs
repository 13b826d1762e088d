//! What this node's own connections and calls tell of a target's health.

use fulmartrestle_core::TimeUs;

use super::TargetSettings;

/// Largest number of doublings of the backoff; more would overflow before the longest backoff ends it.
const MAX_DOUBLINGS: u32 = 16;

/// A circuit breaker: closed, open until the backoff ends, then half-open with one probe at a time.
#[derive(Debug, Default)]
pub(super) struct Health {
    /// End of the backoff; `None` while the target is not suspected.
    open_until: Option<TimeUs>,
    /// Start of the probe that is under way.
    probe: Option<TimeUs>,
    failures: u32,
    losses: u32,
    silent: bool,
}

impl Health {
    /// Returns whether a connection is being replaced because it went silent.
    pub fn is_silent(&self) -> bool {
        self.silent
    }

    pub fn is_suspected(&self, now: TimeUs) -> bool {
        self.open_until.is_some_and(|until| now < until) || self.probe.is_some()
    }

    /// Returns whether a call may go to the target, either freely or as a probe.
    pub fn is_available(&self, now: TimeUs) -> bool {
        self.open_until.is_none_or(|until| now >= until)
    }

    /// Notes that a call goes to the target. If it is suspected, this call is the probe and no other
    /// follows until it ended or took too long.
    pub fn chosen(&mut self, settings: &TargetSettings, now: TimeUs) {
        if self.open_until.is_some() {
            self.probe = Some(now);
            self.open_until = Some(now.plus_ms(settings.probe_timeout_ms));
        }
    }

    pub fn answered(&mut self) {
        *self = Self::default();
    }

    /// A probe that ended without telling anything makes room for the next one.
    pub fn undecided(&mut self, now: TimeUs) {
        if self.probe.take().is_some() {
            self.open_until = Some(now);
        }
    }

    /// Counts a call that was lost with its connection.
    pub fn lost(&mut self, settings: &TargetSettings, now: TimeUs) {
        self.losses += 1;
        if self.probe.is_some() || self.losses >= settings.losses_to_suspect {
            self.open(settings, now);
        }
    }

    /// Suspects a target that let many calls time out while others answered.
    pub fn unresponsive(&mut self, settings: &TargetSettings, now: TimeUs) {
        self.open(settings, now);
    }

    pub fn connection_silent(&mut self) {
        self.silent = true;
    }

    pub fn connection_failed(&mut self, settings: &TargetSettings, now: TimeUs) {
        let already_open = self.open_until.is_some_and(|until| now < until) && self.probe.is_none();
        if !already_open {
            self.open(settings, now);
        }
    }

    pub fn connection_ok(&mut self, now: TimeUs) {
        self.silent = false;
        if self.open_until.is_some() && self.probe.is_none() {
            self.open_until = Some(now);
        }
    }

    fn open(&mut self, settings: &TargetSettings, now: TimeUs) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let backoff_ms = (settings.min_backoff_ms << doublings).min(settings.max_backoff_ms);
        self.failures += 1;
        self.losses = 0;
        self.probe = None;
        self.open_until = Some(now.plus_ms(backoff_ms));
    }
}
