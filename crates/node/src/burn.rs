//! Recording how requests end, and gathering the fleet's report on service-level burn.

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

/// A request whose end is still to be recorded.
#[derive(Clone, Debug)]
pub struct PendingBurnSample {
    /// The route.
    pub route: RouteId,
    /// Whose request it is.
    pub tenant: Option<Tenant>,
    /// When it arrived.
    pub arrived: TimeUs,
}

/// Records a request that was refused. Requests that the caller got wrong count for nobody.
pub fn record_refusal(state: &NodeState, entry: &PendingBurnSample, refusal: &Refusal) {
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
    record(state, entry, outcome);
}

fn record(state: &NodeState, entry: &PendingBurnSample, outcome: CallOutcome) {
    lock(&state.traffic).count(&entry.route, entry.tenant.as_ref(), state.clock.now());
    let sample = CallSample { route: entry.route.clone(), tenant: entry.tenant.clone(), outcome };
    lock(&state.burn).record(&sample, wall_ms());
}

/// Records how a request ended once its answer's body has.
pub struct BurnRecorder {
    state: Arc<NodeState>,
    entry: PendingBurnSample,
    /// Whether the target's status says that the answer is good.
    good: bool,
    /// Bytes that the announced length still leaves, where one was announced. The server stops asking
    /// for more once it is reached, so that the body's own end may never be seen.
    left_bytes: Option<u64>,
    recorded: bool,
}

/// Returns `inner`, which records the request's end. An answer without a body ends at once.
pub fn with_burn_recorder(
    inner: ByteBody,
    state: Arc<NodeState>,
    entry: PendingBurnSample,
    good: bool,
    length_bytes: Option<u64>,
) -> WatchedBody<BurnRecorder> {
    let mut recorder = BurnRecorder { state, entry, good, left_bytes: length_bytes, recorded: false };
    if inner.is_end_stream() || length_bytes == Some(0) {
        recorder.on_end(true);
    }
    WatchedBody::new(inner, recorder)
}

impl BodyWatcher for BurnRecorder {
    fn on_frame(&mut self, data_bytes: usize) {
        self.left_bytes = self.left_bytes.map(|left| left.saturating_sub(data_bytes as u64));
        if self.left_bytes == Some(0) {
            self.on_end(true);
        }
    }

    fn on_end(&mut self, whole: bool) {
        if self.recorded {
            return;
        }
        self.recorded = true;
        let latency_us = self.state.clock.now().us_since(self.entry.arrived);
        let outcome = if whole && self.good { CallOutcome::Complete { latency_us } } else { CallOutcome::Failed };
        record(&self.state, &self.entry, outcome);
    }
}

/// Returns the objectives of a configuration.
pub fn objectives(config: &FleetConfig) -> Vec<Objective> {
    let rows = config.objectives().rows().iter().map(|row| Objective {
        route: row.route.clone(),
        share: ShareMillionths(row.share_per_million.0),
        within_ms: row.within_ms,
    });
    rows.collect()
}

/// Returns what this node knows.
pub fn local_summary(state: &NodeState) -> BurnSummary {
    lock(&state.burn).summary(state.own, wall_ms())
}

/// Gathers the fleet's report from all nodes that can be reached, and names those that can't.
pub async fn fleet_report(state: &NodeState) -> BurnReport {
    let gathered = query_all_nodes(state, |link| async move { link.burn_summary().await }).await;
    let mut summary = local_summary(state);
    for other in &gathered.answers {
        summary.merge(other);
    }
    let missing = gathered.missing.into_iter().map(|row| MissingNode { vm: row.vm, zone: row.zone });
    BurnReport::new(&summary, missing.collect(), &BurnSettings::default())
}
