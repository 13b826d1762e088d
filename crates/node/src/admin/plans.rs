//! Plans: made of intents, confirmed by operators.

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

use super::api::{AdminState, json, operator};
use super::error::ApiError;
use crate::clock::wall_ms;
use crate::fleet_query::query_all_nodes;
use crate::state::NodeState;
use fulmartrestle_core::lock;

/// Makes a plan of the intent in the body.
#[handler]
pub async fn make_plan(state: Data<&Arc<AdminState>>, request: &Request, body: String) -> Result<Response, ApiError> {
    let who = operator(&state, request)?;
    let bad_request = |error: &dyn std::fmt::Display| ApiError::new(StatusCode::BAD_REQUEST, error);
    let intent = Intent::parse("intent", &body).map_err(|error| bad_request(&error))?;
    let facts = facts(&state.node).await;
    let planned = planned(&state, &who, &intent, &facts)?;
    let answer = PlanAnswer {
        diff: diff_plan(&state.node.config.get(), &planned.plan),
        granted: granted(&planned),
        plan: planned.plan,
    };
    lock(&state.pending).push(answer.plan.clone());
    json(&answer)
}

/// Confirms a plan that this node made.
#[handler]
pub async fn confirm_pending(
    state: Data<&Arc<AdminState>>,
    request: &Request,
    Path(id): Path<String>,
) -> Result<Response, ApiError> {
    operator(&state, request)?;
    let id: PlanId = id.parse().map_err(|error| ApiError::new(StatusCode::BAD_REQUEST, error))?;
    let plan = lock(&state.pending).get(id).cloned();
    let unknown = || {
        let text = format!("plan {id} was not made by this node or is too old; send its document to /v1/plans/confirm");
        ApiError::new(StatusCode::NOT_FOUND, text)
    };
    confirm(&state, plan.ok_or_else(unknown)?).await
}

/// Confirms the plan whose document is the body, at any node.
#[handler]
pub async fn confirm_document(
    state: Data<&Arc<AdminState>>,
    request: &Request,
    body: Vec<u8>,
) -> Result<Response, ApiError> {
    operator(&state, request)?;
    let plan: Plan = serde_json::from_slice(&body)
        .map_err(|error| ApiError::new(StatusCode::BAD_REQUEST, format!("plan: {error}")))?;
    plan.validate().map_err(|error| ApiError::new(StatusCode::BAD_REQUEST, error))?;
    confirm(&state, plan).await
}

async fn confirm(state: &AdminState, plan: Plan) -> Result<Response, ApiError> {
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
    json(&ConfirmAnswer { plan: id, result })
}

fn planned(
    state: &AdminState,
    who: &OperatorName,
    intent: &Intent,
    facts: &ObservedFleet,
) -> Result<CreatedPlan, ApiError> {
    let mut random = [0; 32];
    rand::Rng::fill_bytes(&mut rand::rng(), &mut random);
    let request = PlanRequest {
        operator: who,
        observed: facts,
        time_zones: &state.time_zones,
        now_unix_ms: wall_ms() as i64,
        random_bytes: random,
    };
    let planned = create_plan(&state.node.config.get(), intent, &request);
    planned.map_err(|error| ApiError::new(StatusCode::BAD_REQUEST, error))
}

fn granted(planned: &CreatedPlan) -> Vec<GrantedKeyAnswer> {
    let keys = planned.granted_keys.iter().map(|key| GrantedKeyAnswer {
        key_id: key.key_id.to_string(),
        tenant: key.tenant.to_string(),
        secret: key.secret.expose_secret().to_owned(),
    });
    keys.collect()
}

/// Returns the targets in use as this node knows them, and the traffic as the reachable nodes count it.
async fn facts(node: &NodeState) -> ObservedFleet {
    let gathered = query_all_nodes(node, |link| async move { link.traffic().await }).await;
    let now = node.clock.now();
    let mut traffic = lock(&node.traffic).facts(&node.zone, now);
    traffic.extend(gathered.answers.into_iter().flatten());
    ObservedFleet { targets: targets(node), traffic }
}

fn targets(node: &NodeState) -> Vec<ObservedTarget> {
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
