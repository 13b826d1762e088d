//! Recognises crashes of the target and the requests that may have caused them. See `docs/CRASH-REQUESTS.md`.

use std::time::Duration;

use fulmartrestle_core::{CallId, Fingerprint, Reason, Refusal, lock};
use fulmartrestle_policy::CrashVerdict;
use tokio::net::TcpStream;

use super::Gate;
use crate::call_messages::CallRequestHead;
use crate::event_log::LogLine;

/// Time after a confirmed crash within which other lost connections are ascribed to it, in milliseconds. A target needs
/// longer to start again.
const SAME_CRASH_MS: u64 = 200;

/// Time for a connection attempt that tells whether the target still listens, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 250;

/// Lowest status of a response that does not show that the target can run the request.
const FIRST_ERROR_STATUS: u16 = 500;

impl Gate {
    /// Refuses a request that has crashed too many targets.
    pub(super) fn check_crash_marks(&self, fingerprint: Fingerprint) -> Result<(), Refusal> {
        let now = self.clock.now();
        match lock(&self.crashes).check(fingerprint, now) {
            CrashVerdict::Blocked { until } => Err(Refusal::not_run(Reason::Blocked, Some(until.ms_since(now)))),
            CrashVerdict::Clear | CrashVerdict::Marked => Ok(()),
        }
    }

    /// Returns whether the target has ended, after it closed a connection without a response. A target that merely lost
    /// the response still accepts connections.
    pub(super) async fn has_target_crashed(&self) -> bool {
        let is_recent = |now| lock(&self.state).last_crash.is_some_and(|crash| now < crash.plus_ms(SAME_CRASH_MS));
        if is_recent(self.clock.now()) {
            return true;
        }
        let asked_at = self.clock.now();
        let connecting = TcpStream::connect(self.address);
        let connected = tokio::time::timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connecting).await;
        let (refused, answer) = match &connected {
            Ok(Ok(_)) => (false, "accepted".to_owned()),
            Ok(Err(error)) => (true, error.to_string()),
            Err(_) => (false, "no answer".to_owned()),
        };
        let now = self.clock.now();
        let line = LogLine::new("target_probed").text("answer", answer).number("took_us", now.us_since(asked_at));
        self.event_log.write(line, now);
        if refused {
            self.set_cold_state_unknown("crashed");
            lock(&self.state).last_crash = Some(self.clock.now());
        }
        refused
    }

    /// Records that the target ended while it ran a request, unless its current run has answered an equal one.
    pub(super) fn record_crash(&self, head: &CallRequestHead, call: CallId) {
        let now = self.clock.now();
        let suspected = !lock(&self.state).answered_requests.contains(head.fingerprint);
        self.metrics.increment("target_crashed", head.service.as_str());
        let line = LogLine::new("target_crashed")
            .optional_text("request", head.request_id.as_deref())
            .text("fingerprint", head.fingerprint)
            .text("instance", &head.instance)
            .flag("suspected", suspected);
        self.event_log.write(line, now);
        if !suspected {
            return;
        }
        let blocked = {
            let mut crashes = lock(&self.crashes);
            crashes.record_connection_loss(head.fingerprint, self.node_id, call, now);
            crashes.check(head.fingerprint, now).is_blocked()
        };
        if blocked {
            let line = LogLine::new("request_blocked")
                .optional_text("request", head.request_id.as_deref())
                .text("fingerprint", head.fingerprint)
                .text("node", self.node_id);
            self.event_log.write(line, now);
        }
        self.status_due.notify_one();
    }

    /// Records that the target answered a request.
    pub(super) fn record_answer(&self, fingerprint: Fingerprint, status: u16) {
        if status >= FIRST_ERROR_STATUS {
            return;
        }
        lock(&self.state).answered_requests.record(fingerprint);
        lock(&self.crashes).record_response(fingerprint);
    }
}
