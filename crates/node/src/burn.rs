//! Recording of request outcomes, and the fleet's burn report: how fast routes use up the error budgets of their
//! objectives.

use std::sync::Arc;

use fulmartrestle_burn::{
    BurnReport, BurnSettings, BurnSummary, CallOutcome, CallSample, MissingNode, Objective, ShareMillionths,
};
use fulmartrestle_config::FleetConfig;
use fulmartrestle_core::{Reason, Refusal, RouteId, Tenant, TimeUs, lock};
use hyper::body::Body;

use crate::body::{BodyWatcher, ByteBody, WatchedBody};
use crate::clock::wall_ms;
use crate::fleet_query::query_all_nodes;
use crate::state::NodeState;

/// A request whose outcome is not recorded yet.
#[derive(Clone, Debug)]
pub struct PendingBurnSample {
    /// Route of the request.
    pub route: RouteId,
    /// Tenant of the request; absent on routes open to all.
    pub tenant: Option<Tenant>,
    /// Time of arrival, from which the latency is measured.
    pub arrived_at: TimeUs,
}

/// Records the outcome of a refused request.
///
/// Caller errors and cancelled requests are not recorded; they count towards no objective.
pub fn record_refusal(state: &NodeState, sample: &PendingBurnSample, refusal: &Refusal) {
    let outcome = match refusal.reason {
        Reason::BadRequest
        | Reason::TooLarge
        | Reason::Unauthorized
        | Reason::Forbidden
        | Reason::NoRoute
        | Reason::Cancelled => return,
        Reason::OverRate => CallOutcome::OverRate,
        Reason::Shed => CallOutcome::Shed,
        Reason::Deadline => CallOutcome::Late,
        Reason::TargetFailed | Reason::BadAnswer | Reason::Blocked => CallOutcome::Failed,
        Reason::NoTarget | Reason::Draining | Reason::Claimed | Reason::LogUnavailable | Reason::NotReady => {
            CallOutcome::NotRun
        }
    };
    record(state, sample, outcome);
}

fn record(state: &NodeState, sample: &PendingBurnSample, outcome: CallOutcome) {
    lock(&state.traffic).count(&sample.route, sample.tenant.as_ref(), state.clock.now());
    let call_sample = CallSample { route: sample.route.clone(), tenant: sample.tenant.clone(), outcome };
    lock(&state.burn).record(&call_sample, wall_ms());
}

/// Records the outcome of a request when its response body ends.
pub struct BurnRecorder {
    state: Arc<NodeState>,
    sample: PendingBurnSample,
    /// Whether the target's status code indicates success.
    is_success: bool,
    /// Bytes left until the `Content-Length`, if the response has one. The HTTP server stops polling the body once
    /// the length is reached, so the end of the body may never be observed.
    remaining_bytes: Option<u64>,
    is_recorded: bool,
}

/// Wraps a response body so that the request's outcome is recorded when the body ends.
///
/// The outcome of a response without a body is recorded at once.
pub fn with_burn_recorder(
    inner: ByteBody,
    state: Arc<NodeState>,
    sample: PendingBurnSample,
    is_success: bool,
    length_bytes: Option<u64>,
) -> WatchedBody<BurnRecorder> {
    let mut recorder = BurnRecorder { state, sample, is_success, remaining_bytes: length_bytes, is_recorded: false };
    if inner.is_end_stream() || length_bytes == Some(0) {
        recorder.on_end(true);
    }
    WatchedBody::new(inner, recorder)
}

impl BodyWatcher for BurnRecorder {
    fn on_frame(&mut self, data_bytes: usize) {
        self.remaining_bytes = self.remaining_bytes.map(|remaining| remaining.saturating_sub(data_bytes as u64));
        if self.remaining_bytes == Some(0) {
            self.on_end(true);
        }
    }

    fn on_end(&mut self, complete: bool) {
        if self.is_recorded {
            return;
        }
        self.is_recorded = true;
        let latency_us = self.state.clock.now().us_since(self.sample.arrived_at);
        let outcome =
            if complete && self.is_success { CallOutcome::Complete { latency_us } } else { CallOutcome::Failed };
        record(&self.state, &self.sample, outcome);
    }
}

/// Returns the service-level objectives of a configuration.
pub fn configured_objectives(config: &FleetConfig) -> Vec<Objective> {
    let rows = config.objectives().rows().iter().map(|row| Objective {
        route: row.route.clone(),
        share: ShareMillionths(row.share_per_million.0),
        within_ms: row.within_ms,
    });
    rows.collect()
}

/// Returns the outcome counts of the requests that entered at this node.
pub fn local_burn_summary(state: &NodeState) -> BurnSummary {
    lock(&state.burn).summary(state.local_vm, wall_ms())
}

/// Collects the fleet's burn report from all reachable nodes. The report lists the nodes that did not respond.
pub async fn fleet_burn_report(state: &NodeState) -> BurnReport {
    let peer_responses = query_all_nodes(state, |peer| async move { peer.burn_summary().await }).await;
    let mut summary = local_burn_summary(state);
    for peer_summary in &peer_responses.responses {
        summary.merge(peer_summary);
    }
    let missing_nodes = peer_responses.missing_nodes.into_iter().map(|row| MissingNode { vm: row.vm, zone: row.zone });
    BurnReport::new(&summary, missing_nodes.collect(), &BurnSettings::default())
}
