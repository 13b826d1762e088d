//! Routes and authentication of the admin API.

use std::sync::{Arc, Mutex};

use fulmartrestle_config::fleet::OperatorName;
use fulmartrestle_config::plan::TimeZones;
use poem::http::StatusCode;
use poem::listener::TcpAcceptor;
use poem::web::{Data, Path, RemoteAddr};
use poem::{EndpointExt, Request, Route, Server, get, handler, post};
use serde::Serialize;
use tokio::net::TcpListener;

use super::burn::burn_report;
use super::error::ApiError;
use super::pending_plans::PendingPlans;
use super::plans::{confirm_document, confirm_pending, make_plan};
use super::status::status;
use super::targets::announce_target;
use crate::state::NodeState;
use fulmartrestle_core::lock;

/// Operator name of local requests while no operator is configured.
const BOOTSTRAP_OPERATOR: &str = "bootstrap";

/// Maximum number of decided plans in a history response.
const MAX_HISTORY_ENTRIES: usize = 100;

/// Maximum number of decisions in a response to a request without a request id.
const MAX_LATEST_DECISIONS: usize = 100;

/// Shared state of the API handlers.
pub struct AdminState {
    /// Shared state of the node.
    pub node: Arc<NodeState>,
    /// Plans created by this node that wait for confirmation.
    pub pending_plans: Mutex<PendingPlans>,
    /// Time zone database, for planned stops with a local time.
    pub time_zones: TimeZones,
}

/// Serves the API until the task is aborted.
///
/// # Errors
///
/// Returns an error when the listener can't be used.
pub async fn serve_admin(listener: TcpListener, state: Arc<AdminState>) -> std::io::Result<()> {
    let routes = Route::new()
        .at("/v1/target", post(announce_target))
        .at("/v1/plans", post(make_plan))
        .at("/v1/plans/confirm", post(confirm_document))
        .at("/v1/plans/:id/confirm", post(confirm_pending))
        .at("/v1/report/burn", get(burn_report))
        .at("/v1/history", get(history))
        .at("/v1/status", get(status))
        .at("/v1/explain", get(explain_latest))
        .at("/v1/explain/:request_id", get(explain));
    Server::new_with_acceptor(TcpAcceptor::from_tokio(listener)?).run(routes.data(state)).await
}

/// Returns the operator who sent a request.
///
/// While no operator is configured, requests from the same VM are accepted as the bootstrap operator, so that the
/// first operator can be configured.
///
/// # Errors
///
/// Returns status 401 when the key is missing or unknown.
pub fn authenticate_operator(state: &AdminState, request: &Request) -> Result<OperatorName, ApiError> {
    let config = state.node.config.get();
    let presented_key = request.header("authorization").and_then(|value| value.strip_prefix("Bearer "));
    let operator = presented_key.and_then(|key| config.operator_for_key(key).cloned());
    if let Some(name) = operator {
        return Ok(name);
    }
    let is_local = |remote: &RemoteAddr| remote.as_socket_addr().is_some_and(|address| address.ip().is_loopback());
    if config.operators().is_empty() && is_local(request.remote_addr()) {
        return BOOTSTRAP_OPERATOR.parse().map_err(|error| ApiError::new(StatusCode::INTERNAL_SERVER_ERROR, error));
    }
    Err(ApiError::new(StatusCode::UNAUTHORIZED, "operator key missing or unknown"))
}

/// Returns a JSON response.
///
/// # Errors
///
/// Returns status 500 when the value can't be serialized, which is a bug.
pub fn json_response(value: &impl Serialize) -> Result<poem::Response, ApiError> {
    let body = serde_json::to_string(value).map_err(|error| ApiError::new(StatusCode::INTERNAL_SERVER_ERROR, error))?;
    Ok(poem::Response::builder().content_type("application/json").body(body))
}

#[handler]
fn history(state: Data<&Arc<AdminState>>, request: &Request) -> Result<poem::Response, ApiError> {
    authenticate_operator(&state, request)?;
    json_response(&state.node.config_io.history(MAX_HISTORY_ENTRIES))
}

#[handler]
fn explain_latest(state: Data<&Arc<AdminState>>, request: &Request) -> Result<poem::Response, ApiError> {
    authenticate_operator(&state, request)?;
    require_explain_setting(&state)?;
    json_response(&lock(&state.node.decisions).latest(MAX_LATEST_DECISIONS))
}

#[handler]
fn explain(
    state: Data<&Arc<AdminState>>,
    request: &Request,
    Path(request_id): Path<String>,
) -> Result<poem::Response, ApiError> {
    authenticate_operator(&state, request)?;
    require_explain_setting(&state)?;
    json_response(&lock(&state.node.decisions).for_request(&request_id))
}

fn require_explain_setting(state: &AdminState) -> Result<(), ApiError> {
    if state.node.settings.explain {
        return Ok(());
    }
    Err(ApiError::new(StatusCode::CONFLICT, "this node's setting `explain` is off"))
}
