//! What the target says about its load in its responses.

use fulmartrestle_core::lock;
use http::HeaderMap;

use super::Gate;
use super::admission::AdmittedCall;
use crate::call_messages::CallRequestHead;

impl Gate {
    /// Records the pace that a response states, unless another run of the target has announced itself since the call
    /// began. `answered` is whether the call counts for the mean hold time.
    pub(super) fn record_load_metrics(
        &self,
        head: &CallRequestHead,
        admitted: &AdmittedCall,
        headers: &HeaderMap,
        answered: bool,
    ) {
        let metrics = match self.wire_protocol.parse_load_metrics(headers) {
            Ok(metrics) => metrics,
            Err(detail) => return self.log_target_event(head, "target_load_unreadable", &detail),
        };
        let Some(pace_percent) = metrics.and_then(|metrics| metrics.pace_percent) else { return };
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if !state.is_current_run(admitted) {
            return;
        }
        state.pace.record_figure(pace_percent, now);
        let present_percent = state.pace.present_percent(now).unwrap_or(pace_percent);
        self.metrics.set_gauge("target_pace_percent", u64::from(present_percent));
        if answered {
            state.pace.record_answered_call(admitted.pace_percent, now);
        }
    }
}
