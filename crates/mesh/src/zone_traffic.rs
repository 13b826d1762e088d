//! Traffic between zones: applies the settings, logs the shares and measures the bytes of calls.

use std::sync::Arc;

use fulmartrestle_core::{RouteId, Service, VmId, lock};
use fulmartrestle_transport::{BodyWatcher, WatchedBody};
use http_body_util::BodyExt;

use crate::caller_handler::{AdmittedRequest, TargetResponse};
use crate::event_log::LogLine;
use crate::state::MeshState;

const MILLI: f64 = 1e3;

/// Counts the bytes of one call and records them when the response body ends or is dropped.
struct TransferWatcher {
    state: Arc<MeshState>,
    route: RouteId,
    service: Service,
    bytes: u64,
}

impl BodyWatcher for TransferWatcher {
    fn on_frame(&mut self, data_bytes: usize) {
        self.bytes += data_bytes as u64;
    }

    fn on_end(&mut self, _complete: bool) {}
}

impl Drop for TransferWatcher {
    fn drop(&mut self) {
        lock(&self.state.load_balancer).record_transfer(&self.route, &self.service, self.bytes);
    }
}

/// Recalculates the shares of calls that leave this node's zone, and logs those that have changed.
pub fn update_zone_traffic(state: &MeshState) {
    let settings = state.settings();
    let zone = &settings.availability_zone;
    let changed = {
        let mut load_balancer = lock(&state.load_balancer);
        load_balancer.set_zone_traffic(settings.zone_traffic);
        load_balancer.update_zone_traffic(zone, state.now())
    };
    for (service, share) in changed {
        let line = LogLine::new("zone_traffic")
            .text("service", &service)
            .text("from", zone)
            .text("to", &share.zone)
            .text("reason", share.reason.as_str())
            .number("share_milli", (share.share * MILLI) as u64)
            .number("occupancy_milli", (share.own_occupancy * MILLI) as u64)
            .number("other_occupancy_milli", (share.other_occupancy * MILLI) as u64)
            .number("cost_us", share.cost_us as u64);
        state.log(line);
    }
}

/// Counts a call that is sent to `node`, if it leaves this node's zone.
pub fn count_zone_call(state: &MeshState, node: VmId) {
    let settings = state.settings();
    if settings.zone_traffic.is_none() {
        return;
    }
    let own_zone = &settings.availability_zone;
    let zone = lock(&state.load_balancer).zone(node).filter(|zone| *zone != own_zone).cloned();
    if let Some(zone) = zone {
        state.metrics.increment("zone_calls", &format!("{own_zone}>{zone}"));
    }
}

/// Measures the bytes of a call, if the settings ask for their price. `request_bytes` is the size of the request body.
pub fn watch_transfer(
    state: &Arc<MeshState>,
    request: &AdmittedRequest,
    request_bytes: u64,
    response: TargetResponse,
) -> TargetResponse {
    if state.settings().zone_traffic.is_none() {
        return response;
    }
    let watcher = TransferWatcher {
        state: Arc::clone(state),
        route: request.route.clone(),
        service: request.service.clone(),
        bytes: request_bytes,
    };
    TargetResponse { body: WatchedBody::new(response.body, watcher).boxed_unsync(), ..response }
}
