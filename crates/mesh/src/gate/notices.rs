//! What the target says about itself in its responses.

use fulmartrestle_core::lock;
use http::HeaderMap;

use super::Gate;
use super::admission::AdmittedCall;
use crate::call_messages::CallRequestHead;
use crate::event_log::LogLine;

impl Gate {
    /// Records what a response says about the target, unless another run has announced itself since the call began.
    pub(super) fn record_notices(&self, head: &CallRequestHead, admitted: &AdmittedCall, headers: &HeaderMap) {
        let notices = match self.wire_protocol.parse_target_notices(headers) {
            Ok(notices) => notices,
            Err(detail) => return self.log_target_event(head, "target_notice_unreadable", &detail),
        };
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if !state.is_current_run(admitted) || state.notices == Some(notices) {
            return;
        }
        let before = state.notices.unwrap_or_default();
        state.set_notices(Some(notices), now);
        if notices.leaving {
            state.target.apply_left_run(&admitted.instance, admitted.started_unix_ms);
        }
        if notices == before {
            return;
        }
        let line = LogLine::new("target_notice")
            .optional_text("request", head.request_id.as_deref())
            .text("instance", &admitted.instance)
            .optional_text("max_rate_milli", notices.max_rate)
            .optional_text("max_rate_milli_before", before.max_rate)
            .flag("leaving", notices.leaving);
        self.event_log.write(line, now);
        self.status_due.notify_one();
    }
}
