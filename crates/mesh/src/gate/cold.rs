//! Limits what the target receives while it is cold. See `docs/design/cold-targets.md`.

use fulmartrestle_core::{CallId, Reason, Refusal, TimeUs, lock};
use fulmartrestle_policy::ColdLimit;

use super::admission::{GateState, REFUSAL_MARGIN_US};
use super::{Gate, TARGET_REFUSED_RETRY_AFTER_MS};
use crate::event_log::LogLine;
use crate::local_target::ColdState;

/// Time for which a running node always looks at its target's state, in milliseconds. A node that was paused for longer
/// has missed a heartbeat, and the target may have started again meanwhile.
const PAUSE_MS: u64 = 1_500;

impl GateState {
    /// Updates the limit after a change of the target's state, or after time has passed. A node that was paused does not
    /// know whether its target is still warm.
    pub fn update_cold_limit(&mut self, now: TimeUs) {
        let last_update = std::mem::replace(&mut self.cold_limit_updated, now);
        let paused = last_update > TimeUs::default() && now.ms_since(last_update) > PAUSE_MS;
        if paused && self.cold_limit.is_some() {
            self.target.mark_cold_state_unknown();
        }
        self.slots.set_cold_limit(self.cold_limit, self.target.is_cold(now), now);
        self.notify_waiters(now);
    }

    /// Returns whether the target is reported as cold. An unknown state matters only if there is a limit.
    pub fn reports_cold(&self, now: TimeUs) -> bool {
        match self.target.cold_state(now) {
            ColdState::Warm => false,
            ColdState::Cold(_) => true,
            ColdState::Unknown => self.cold_limit.is_some(),
        }
    }
}

impl Gate {
    /// Sets the limit that holds while the target is cold; `None` means that there is none.
    pub fn set_cold_limit(&self, limit: Option<ColdLimit>) {
        {
            let mut state = lock(&self.state);
            state.cold_limit = limit;
            let now = self.clock.now();
            state.update_cold_limit(now);
        }
        self.log_cold_state("configuration");
    }

    /// Treats the target as cold until its next announcement.
    pub fn mark_cold_state_unknown(&self) {
        self.set_cold_state_unknown("marked");
    }

    /// Treats the target as cold until its next announcement, for the given cause.
    pub(super) fn set_cold_state_unknown(&self, cause: &'static str) {
        {
            let mut state = lock(&self.state);
            state.target.mark_cold_state_unknown();
            let now = self.clock.now();
            state.update_cold_limit(now);
        }
        self.log_cold_state(cause);
    }

    /// Logs the state of the target and notifies the senders, if the state or the limit has changed since the last time.
    pub(super) fn log_cold_state(&self, cause: &'static str) {
        let now = self.clock.now();
        let line = {
            let mut state = lock(&self.state);
            if state.target.last_announcement().is_none() {
                return;
            }
            let cold = state.target.cold_state(now);
            // A later end of the cold phase alone is no change.
            let summary = (cold.to_string(), state.cold_limit);
            if state.logged_cold.as_ref() == Some(&summary) {
                return;
            }
            state.logged_cold = Some(summary);
            let instance = state.target.last_announcement().map(|target| target.instance.clone());
            let cold_left_ms = match cold {
                ColdState::Cold(until) => Some(until.ms_since(now)),
                ColdState::Warm | ColdState::Unknown => None,
            };
            LogLine::new("target_cold_state")
                .text("state", cold)
                .text("cause", cause)
                .optional_text("instance", instance)
                .optional_text("cold_left_ms", cold_left_ms)
                .optional_text("cold_rate_milli", state.cold_limit.map(|limit| limit.rate))
                .optional_text("cold_max_starts", state.cold_limit.map(|limit| limit.max_per_window))
        };
        self.event_log.write(line, now);
        self.status_due.notify_one();
    }

    /// Returns whether an announced target is treated as cold.
    pub fn has_cold_target(&self) -> bool {
        let now = self.clock.now();
        let state = lock(&self.state);
        state.target.last_announcement().is_some() && state.target.is_cold(now)
    }

    /// Returns whether a started call may be sent to the target now.
    pub(super) fn confirm_start(&self, call: CallId) -> bool {
        let mut state = lock(&self.state);
        let now = self.clock.now();
        state.update_cold_limit(now);
        state.slots.confirm_start(call, now)
    }

    /// Waits until a started call may be sent to the target. It waits only if it was held up since its start, or if the
    /// target has turned cold.
    pub(super) async fn wait_until_sendable(&self, call: CallId, deadline: TimeUs) -> Result<(), Refusal> {
        let refusal_time = TimeUs(deadline.0.saturating_sub(REFUSAL_MARGIN_US));
        while !self.confirm_start(call) {
            let next_start = lock(&self.state).slots.next_cold_start_at().unwrap_or_default();
            if next_start >= refusal_time || self.clock.now() >= refusal_time {
                return Err(Refusal::not_run(Reason::Shed, Some(TARGET_REFUSED_RETRY_AFTER_MS)));
            }
            tokio::time::sleep(self.clock.duration_until(next_start)).await;
        }
        Ok(())
    }
}
