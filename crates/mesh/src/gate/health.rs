//! Asks the target whether a run serves that may have left before this node started.

use std::time::Duration;

use fulmartrestle_core::lock;
use fulmartrestle_transport::empty_body;
use http::header::HOST;
use http::{HeaderValue, Request, Uri};

use super::Gate;
use crate::event_log::LogLine;
use crate::local_target::TargetRun;
use crate::platform::HealthStatus;

/// Time for the target to respond, in milliseconds. The check waits for a slot like a call.
const HEALTH_TIMEOUT_MS: u64 = 1_000;

impl Gate {
    /// Returns the run that has announced itself and is not used because it may have left before this node started.
    pub fn unverified_run(&self) -> Option<TargetRun> {
        lock(&self.state).target.unverified_run()
    }

    /// Asks the target at `path` whether `run` serves, and uses the run if it does.
    pub async fn verify_run(&self, run: &TargetRun, path: &Uri) -> HealthStatus {
        let started = self.clock.now();
        let (status, answer) = self.ask_health(run, path).await;
        let now = self.clock.now();
        let line = LogLine::new("target_health")
            .text("instance", &run.instance)
            .text("answer", answer)
            .number("took_us", now.us_since(started));
        self.event_log.write(line, now);
        match status {
            HealthStatus::Serving if lock(&self.state).target.set_verified(run) => self.status_due.notify_one(),
            HealthStatus::Unknown => self.use_unverifiable_run(run),
            HealthStatus::Serving | HealthStatus::NotServing => {}
        }
        status
    }

    /// Uses a run that can't be asked whether it serves, if its announcements are not from before the start of this node.
    pub fn use_unverifiable_run(&self, run: &TargetRun) {
        if lock(&self.state).target.set_unverifiable(run) {
            self.status_due.notify_one();
        }
    }

    async fn ask_health(&self, run: &TargetRun, path: &Uri) -> (HealthStatus, String) {
        let mut request = Request::new(empty_body());
        *request.uri_mut() = path.clone();
        if let Ok(host) = HeaderValue::from_str(&self.address.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        let sending = self.pool.send(self.address, request, true, HEALTH_TIMEOUT_MS, self.clock.now(), || true);
        // The connection closes when it is dropped, whatever the body is.
        match tokio::time::timeout(Duration::from_millis(HEALTH_TIMEOUT_MS), sending).await {
            Ok(Ok((_connection, response))) => {
                let (parts, _) = response.into_parts();
                let status = self.wire_protocol.health_status(&run.instance, parts.status, &parts.headers);
                (status, format!("{status}, {}", parts.status.as_u16()))
            }
            Ok(Err(error)) => (HealthStatus::Unknown, error.to_string()),
            Err(_) => (HealthStatus::Unknown, "timed out".to_owned()),
        }
    }
}
