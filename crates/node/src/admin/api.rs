//! Routes of the operators' API.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use fulmartrestle_config::fleet::OperatorName;
use fulmartrestle_config::plan::{FleetFacts, Intent, Plan, PlanId, PlanRequest, TargetFacts, TimeZones, plan};
use fulmartrestle_config::replica::CertificationResult;
use fulmartrestle_config::spread::{ConfigStatus, ConfirmOutcome};
use fulmartrestle_core::Version;
use poem::http::StatusCode;
use poem::listener::TcpAcceptor;
use poem::web::{Data, Json, Path, RemoteAddr};
use poem::{EndpointExt, Request, Route, Server, get, handler, post};
use serde::Serialize;
use tokio::net::TcpListener;

use super::error::ApiError;
use super::pending_plans::PendingPlans;
use super::targets::announce;
use crate::clock::wall_ms;
use crate::lock::lock;
use crate::state::NodeState;

/// Operator that local requests run as while no operator is configured.
const BOOTSTRAP_OPERATOR: &str = "bootstrap";

/// Decided plans that a history answer lists.
const HISTORY_ROWS: usize = 100;

/// What the API's handlers work on.
pub struct AdminState {
    /// The node.
    pub node: Arc<NodeState>,
    /// Plans that wait for confirmation.
    pub pending: Mutex<PendingPlans>,
    /// Rules of named time zones.
    pub time_zones: TimeZones,
}

/// A plan with the secrets that are shown once.
#[derive(Serialize)]
struct PlanAnswer {
    plan: Plan,
    granted: Vec<GrantedAnswer>,
}

/// A granted key.
#[derive(Serialize)]
struct GrantedAnswer {
    key_id: String,
    tenant: String,
    secret: String,
}

/// The result of a confirmation.
#[derive(Serialize)]
struct ConfirmAnswer {
    plan: PlanId,
    result: CertificationResult,
}

/// One node's status.
#[derive(Serialize)]
struct StatusAnswer {
    vm: String,
    zone: String,
    version: Version,
    config: ConfigStatus,
    in_flight: usize,
    members: HashMap<String, usize>,
    targets: usize,
    counters: HashMap<String, u64>,
}

/// Serves the API until the task is aborted.
///
/// # Errors
///
/// Returns the error of the listener.
pub async fn serve_admin(listener: TcpListener, state: Arc<AdminState>) -> std::io::Result<()> {
    let routes = Route::new()
        .at("/v1/target", post(announce))
        .at("/v1/plans", post(make_plan))
        .at("/v1/plans/confirm", post(confirm_document))
        .at("/v1/plans/:id/confirm", post(confirm_pending))
        .at("/v1/history", get(history))
        .at("/v1/status", get(status))
        .at("/v1/explain/:request_id", get(explain));
    Server::new_with_acceptor(TcpAcceptor::from_tokio(listener)?).run(routes.data(state)).await
}

/// Returns the operator who sent a request. While no operator is configured, requests from the own
/// VM are taken as the first operator's.
fn operator(state: &AdminState, request: &Request) -> Result<OperatorName, ApiError> {
    let config = state.node.config.get();
    let presented = request.header("authorization").and_then(|value| value.strip_prefix("Bearer "));
    let known = presented.and_then(|key| config.operator_for_key(key).cloned());
    if let Some(name) = known {
        return Ok(name);
    }
    let is_local = |remote: &RemoteAddr| remote.as_socket_addr().is_some_and(|address| address.ip().is_loopback());
    if config.operators().is_empty() && is_local(request.remote_addr()) {
        return BOOTSTRAP_OPERATOR.parse().map_err(|error| ApiError::new(StatusCode::INTERNAL_SERVER_ERROR, error));
    }
    Err(ApiError::new(StatusCode::UNAUTHORIZED, "operator key missing or unknown"))
}

#[handler]
async fn make_plan(
    state: Data<&Arc<AdminState>>,
    request: &Request,
    body: String,
) -> Result<Json<PlanAnswer>, ApiError> {
    let who = operator(&state, request)?;
    let bad_request = |error: &dyn std::fmt::Display| ApiError::new(StatusCode::BAD_REQUEST, error);
    let intent = Intent::parse("intent", &body).map_err(|error| bad_request(&error))?;
    let mut random = [0; 32];
    rand::Rng::fill_bytes(&mut rand::rng(), &mut random);
    let facts = facts(&state.node);
    let config = state.node.config.get();
    let plan_request =
        PlanRequest { who: &who, facts: &facts, time_zones: &state.time_zones, now_unix_ms: wall_ms() as i64, random };
    let planned = plan(&config, &intent, &plan_request).map_err(|error| bad_request(&error))?;
    lock(&state.pending).push(planned.plan.clone());
    let granted = planned.granted.iter().map(|key| GrantedAnswer {
        key_id: key.key_id.to_string(),
        tenant: key.tenant.to_string(),
        secret: key.secret.reveal().to_owned(),
    });
    Ok(Json(PlanAnswer { granted: granted.collect(), plan: planned.plan }))
}

#[handler]
async fn confirm_pending(
    state: Data<&Arc<AdminState>>,
    request: &Request,
    Path(id): Path<String>,
) -> Result<Json<ConfirmAnswer>, ApiError> {
    operator(&state, request)?;
    let id: PlanId = id.parse().map_err(|error| ApiError::new(StatusCode::BAD_REQUEST, error))?;
    let plan = lock(&state.pending).get(id).cloned();
    let unknown = || ApiError::new(StatusCode::NOT_FOUND, format!("plan {id} was not made by this node or is too old"));
    confirm(&state, plan.ok_or_else(unknown)?).await
}

#[handler]
async fn confirm_document(
    state: Data<&Arc<AdminState>>,
    request: &Request,
    body: Vec<u8>,
) -> Result<Json<ConfirmAnswer>, ApiError> {
    operator(&state, request)?;
    let plan: Plan = serde_json::from_slice(&body)
        .map_err(|error| ApiError::new(StatusCode::BAD_REQUEST, format!("plan: {error}")))?;
    plan.validate().map_err(|error| ApiError::new(StatusCode::BAD_REQUEST, error))?;
    confirm(&state, plan).await
}

async fn confirm(state: &AdminState, plan: Plan) -> Result<Json<ConfirmAnswer>, ApiError> {
    let id = plan.id;
    let unavailable = |text: &str| ApiError::new(StatusCode::SERVICE_UNAVAILABLE, text);
    let result = match state.node.config_io.confirm(plan).await {
        ConfirmOutcome::Decided(result) => result,
        ConfirmOutcome::NotAppended => {
            return Err(unavailable("the platform's log is out of reach; nothing was confirmed"));
        }
        ConfirmOutcome::Unknown => return Err(unavailable("no result yet; confirm the same plan again to learn it")),
    };
    log::info!("config: plan {id} {result}");
    Ok(Json(ConfirmAnswer { plan: id, result }))
}

#[handler]
fn history(state: Data<&Arc<AdminState>>, request: &Request) -> Result<poem::Response, ApiError> {
    operator(&state, request)?;
    let rows = state.node.config_io.history(HISTORY_ROWS);
    json(&rows)
}

#[handler]
fn explain(
    state: Data<&Arc<AdminState>>,
    request: &Request,
    Path(request_id): Path<String>,
) -> Result<poem::Response, ApiError> {
    operator(&state, request)?;
    let rows = lock(&state.node.decisions).of(&request_id);
    json(&rows)
}

#[handler]
fn status(state: Data<&Arc<AdminState>>, request: &Request) -> Result<Json<StatusAnswer>, ApiError> {
    operator(&state, request)?;
    let node = &state.node;
    let mut members: HashMap<String, usize> = HashMap::new();
    let now = node.clock.now();
    for row in lock(&node.membership).members(now).filter(|row| row.state.is_reachable()) {
        *members.entry(row.zone.to_string()).or_default() += 1;
    }
    let counted = node.counters.named();
    Ok(Json(StatusAnswer {
        vm: node.own.to_string(),
        zone: node.zone.to_string(),
        version: node.config.get().version(),
        config: node.config_io.status(),
        in_flight: node.gate.in_flight(),
        members,
        targets: lock(&node.targets).len(),
        counters: counted.iter().map(|named| (named.name.to_owned(), named.counter.get())).collect(),
    }))
}

/// Returns what this node knows of the targets in use.
fn facts(node: &NodeState) -> FleetFacts {
    let now = node.clock.now();
    let membership = lock(&node.membership);
    let targets = membership.members(now).filter(|row| row.state.takes_work()).filter_map(|row| {
        let target = row.target?;
        Some(TargetFacts {
            vm: row.vm,
            address: row.peer_address,
            service: target.service,
            zone: row.zone,
            capacity_per_s: None,
        })
    });
    FleetFacts { targets: targets.collect(), traffic: Vec::new() }
}

fn json(rows: &impl Serialize) -> Result<poem::Response, ApiError> {
    let body = serde_json::to_string(rows).map_err(|error| ApiError::new(StatusCode::INTERNAL_SERVER_ERROR, error))?;
    Ok(poem::Response::builder().content_type("application/json").body(body))
}
