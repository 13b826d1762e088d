//! Endpoints that create plans from intents and confirm plans.

use std::sync::Arc;

use fulmartrestle_api::{ConfirmAnswer, GrantedKeyAnswer, PlanAnswer};
use fulmartrestle_config::fleet::OperatorName;
use fulmartrestle_config::plan::{
    CreatedPlan, Intent, ObservedFleet, ObservedTarget, Plan, PlanId, PlanRequest, create_plan, diff_plan,
};
use fulmartrestle_config::propagation::ConfirmOutcome;
use poem::http::StatusCode;
use poem::web::{Data, Path};
use poem::{Request, Response, handler};

use super::api::{AdminState, authenticate_operator, json_response};
use super::error::ApiError;
use crate::clock::wall_ms;
use crate::fleet_query::query_all_nodes;
use crate::state::NodeState;
use fulmartrestle_core::lock;

/// Creates a plan from the intent in the request body.
#[handler]
pub async fn make_plan(state: Data<&Arc<AdminState>>, request: &Request, body: String) -> Result<Response, ApiError> {
    let operator_name = authenticate_operator(&state, request)?;
    let bad_request = |error: &dyn std::fmt::Display| ApiError::new(StatusCode::BAD_REQUEST, error);
    let intent = Intent::parse("intent", &body).map_err(|error| bad_request(&error))?;
    let observed_fleet = observe_fleet(&state.node).await;
    let created = plan_intent(&state, &operator_name, &intent, &observed_fleet)?;
    let response = PlanAnswer {
        diff: diff_plan(&state.node.config.get(), &created.plan),
        granted: granted_keys(&created),
        plan: created.plan,
    };
    lock(&state.pending_plans).push(response.plan.clone());
    json_response(&response)
}

/// Confirms a plan that this node created.
#[handler]
pub async fn confirm_pending(
    state: Data<&Arc<AdminState>>,
    request: &Request,
    Path(id): Path<String>,
) -> Result<Response, ApiError> {
    authenticate_operator(&state, request)?;
    let id: PlanId = id.parse().map_err(|error| ApiError::new(StatusCode::BAD_REQUEST, error))?;
    let plan = lock(&state.pending_plans).get(id).cloned();
    let not_found = || {
        let text = format!("this node has no pending plan {id}; send the plan document to /v1/plans/confirm");
        ApiError::new(StatusCode::NOT_FOUND, text)
    };
    confirm_plan(&state, plan.ok_or_else(not_found)?).await
}

/// Confirms the plan whose document is the request body. This works on any node.
#[handler]
pub async fn confirm_document(
    state: Data<&Arc<AdminState>>,
    request: &Request,
    body: Vec<u8>,
) -> Result<Response, ApiError> {
    authenticate_operator(&state, request)?;
    let plan: Plan = serde_json::from_slice(&body)
        .map_err(|error| ApiError::new(StatusCode::BAD_REQUEST, format!("plan: {error}")))?;
    plan.validate().map_err(|error| ApiError::new(StatusCode::BAD_REQUEST, error))?;
    confirm_plan(&state, plan).await
}

async fn confirm_plan(state: &AdminState, plan: Plan) -> Result<Response, ApiError> {
    let id = plan.id;
    let unavailable = |text: &str| ApiError::new(StatusCode::SERVICE_UNAVAILABLE, text);
    let result = match state.node.config_io.confirm(plan).await {
        ConfirmOutcome::Decided(result) => result,
        ConfirmOutcome::NotAppended => {
            return Err(unavailable("cannot reach the platform log; nothing was confirmed"));
        }
        ConfirmOutcome::Unknown => return Err(unavailable("the result is not known yet; confirm the plan again")),
    };
    log::info!("config: plan {id} {result}");
    json_response(&ConfirmAnswer { plan: id, result })
}

fn plan_intent(
    state: &AdminState,
    operator_name: &OperatorName,
    intent: &Intent,
    observed_fleet: &ObservedFleet,
) -> Result<CreatedPlan, ApiError> {
    let mut random = [0; 32];
    rand::Rng::fill_bytes(&mut rand::rng(), &mut random);
    let request = PlanRequest {
        operator: operator_name,
        observed: observed_fleet,
        time_zones: &state.time_zones,
        now_unix_ms: wall_ms() as i64,
        random_bytes: random,
    };
    let created = create_plan(&state.node.config.get(), intent, &request);
    created.map_err(|error| ApiError::new(StatusCode::BAD_REQUEST, error))
}

fn granted_keys(created: &CreatedPlan) -> Vec<GrantedKeyAnswer> {
    let keys = created.granted_keys.iter().map(|key| GrantedKeyAnswer {
        key_id: key.key_id.to_string(),
        tenant: key.tenant.to_string(),
        secret: key.secret.expose_secret().to_owned(),
    });
    keys.collect()
}

/// Returns the active targets in this node's membership view, and the traffic observed by all reachable nodes.
async fn observe_fleet(node: &NodeState) -> ObservedFleet {
    let peer_responses = query_all_nodes(node, |peer| async move { peer.traffic().await }).await;
    let now = node.clock.now();
    let mut traffic = lock(&node.traffic).observed_rates(&node.zone, now);
    traffic.extend(peer_responses.responses.into_iter().flatten());
    ObservedFleet { targets: observed_targets(node), traffic }
}

fn observed_targets(node: &NodeState) -> Vec<ObservedTarget> {
    let now = node.clock.now();
    let membership = lock(&node.membership);
    let targets = membership.members(now).filter(|row| row.state.accepts_new_work()).filter_map(|row| {
        let target = row.target?;
        Some(ObservedTarget {
            vm: row.vm,
            address: row.peer_address,
            service: target.service,
            zone: row.zone,
            capacity_per_s: None,
        })
    });
    targets.collect()
}
