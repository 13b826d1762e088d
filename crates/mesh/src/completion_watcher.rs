//! Learns how long responses take that are forwarded while they arrive. See `docs/DRAIN.md`.

use std::sync::{Arc, Mutex};

use fulmartrestle_core::{RouteId, Service, TimeUs, lock};
use fulmartrestle_policy::StopAdmission;
use fulmartrestle_transport::{BodyWatcher, ByteBody, REPLAY_LIMIT_BYTES, WatchedBody, content_length};
use http_body_util::BodyExt;

use crate::caller_handler::{AdmittedRequest, TargetResponse};
use crate::clock::BootClock;
use crate::state::MeshState;

/// Records the time of one response when its body ends.
struct CompletionWatcher {
    stop_admission: Arc<Mutex<StopAdmission>>,
    clock: BootClock,
    route: RouteId,
    service: Service,
    work_started: TimeUs,
    is_recorded: bool,
}

impl BodyWatcher for CompletionWatcher {
    fn on_end(&mut self, _complete: bool) {
        if !std::mem::replace(&mut self.is_recorded, true) {
            let now = self.clock.now();
            let took_us = now.us_since(self.work_started);
            lock(&self.stop_admission).record_streamed(&self.route, &self.service, took_us, now);
        }
    }
}

/// Records the completion of a request whose work began at `work_started`: now if the response is short, otherwise when the
/// body ends.
pub fn watch_completion(
    state: &MeshState,
    request: &AdmittedRequest,
    work_started: TimeUs,
    response: TargetResponse,
) -> TargetResponse {
    let is_short = content_length(&response.headers).is_some_and(|bytes| bytes <= REPLAY_LIMIT_BYTES as u64);
    if is_short {
        let now = state.now();
        let took_us = now.us_since(work_started);
        lock(&state.stop_admission).record_completion(&request.route, &request.service, took_us, now);
        return response;
    }
    let watcher = CompletionWatcher {
        stop_admission: Arc::clone(&state.stop_admission),
        clock: state.clock,
        route: request.route.clone(),
        service: request.service.clone(),
        work_started,
        is_recorded: false,
    };
    let body: ByteBody = WatchedBody::new(response.body, watcher).boxed_unsync();
    TargetResponse { body, ..response }
}
