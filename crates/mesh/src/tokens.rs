//! Takes tokens of the tenants' rates, and moves them between nodes. See `docs/RATES.md`.

use std::time::Duration;

use bytes::Bytes;
use fulmartrestle_core::{Reason, Refusal, Tenant, VmId, lock};
use fulmartrestle_quota::{TokenDecision, TokenNeed, TokenShard};
use fulmartrestle_transport::{PeerError, encode};
use rand::seq::SliceRandom;

use crate::event_log::LogLine;
use crate::node_messages::{TokenGrant, TokenRequest};
use crate::peer_streams::TOKENS_PATH;
use crate::state::MeshState;

/// Number of other issuers that an issuer without tokens asks, one after the other: those of the other zones.
const MAX_ISSUERS_ASKED: usize = 8;

/// Time for a response, in milliseconds. The network delay between zones is about a millisecond.
const TOKEN_REQUEST_TIMEOUT_MS: u64 = 60;

/// Time for the response of an issuer, which may ask others in the meantime, in milliseconds.
const ISSUER_TIMEOUT_MS: u64 = 2 * TOKEN_REQUEST_TIMEOUT_MS;

/// Retry-After when no issuer responds, in milliseconds: the time after which another one is known.
const NO_ISSUER_RETRY_AFTER_MS: u64 = 1_000;

/// Largest response, in bytes.
const MAX_GRANT_BYTES: usize = 64;

const MICRO_PER_TOKEN: f64 = 1e6;

/// Takes a token of the tenant's rate, and requests it from the issuer if this node has none.
///
/// # Errors
///
/// Returns the refusal, whose Retry-After is the time at which a token can be expected.
pub async fn take_token(state: &MeshState, tenant: &Tenant, request_id: Option<&str>) -> Result<(), Refusal> {
    let requested_at = state.now();
    let decision = lock(&state.tokens).take(tenant, requested_at);
    let (retry_after_ms, issuer) = match decision {
        TokenDecision::Granted => return Ok(()),
        TokenDecision::Denied { retry_after_ms } => (retry_after_ms, None),
        TokenDecision::AskIssuer { shard, ahead } => {
            let issuer = lock(&state.issuing_right).issuer(shard).unwrap_or(state.node_id);
            let grant = request_token(state, issuer, shard, tenant, ahead).await;
            let granted = grant.granted_micro as f64 / MICRO_PER_TOKEN;
            let mut tokens = lock(&state.tokens);
            match tokens.take_granted(tenant, granted, grant.retry_after_ms, requested_at, state.now()) {
                TokenDecision::Granted => return Ok(()),
                _ => (grant.retry_after_ms, Some(issuer)),
            }
        }
    };
    let line = LogLine::new("over_rate")
        .optional_text("request", request_id)
        .text("tenant", tenant)
        .optional_text("issuer", issuer)
        .number("sharers", lock(&state.peers).quota_sharers(state.now()) as u64)
        .number("retry_after_ms", retry_after_ms);
    state.log(line);
    Err(Refusal::not_run(Reason::OverRate, Some(retry_after_ms)))
}

/// Answers another node's request for tokens.
pub async fn answer_token_request(state: &MeshState, request: TokenRequest) -> TokenGrant {
    match request {
        TokenRequest::Issue { tenant, ahead } => issue_token(state, &tenant, ahead).await,
        TokenRequest::Yield { tenant, missing_micro, room_micro } => {
            let to_tokens = |micro: u64| micro as f64 / MICRO_PER_TOKEN;
            let need = TokenNeed { missing: to_tokens(missing_micro), room: to_tokens(room_micro) };
            let yielded = lock(&state.tokens).yield_tokens(&tenant, need, state.now());
            grant(yielded, 0)
        }
    }
}

/// Requests a token from the issuer, or from the issuer of another zone if that one does not respond.
async fn request_token(state: &MeshState, issuer: VmId, shard: TokenShard, tenant: &Tenant, ahead: u32) -> TokenGrant {
    if issuer == state.node_id {
        return issue_token(state, tenant, ahead).await;
    }
    let request = TokenRequest::Issue { tenant: tenant.clone(), ahead };
    if let Some(grant) = send_token_request(state, issuer, &request, ISSUER_TIMEOUT_MS).await {
        return grant;
    }
    for other in other_issuers(state, shard, issuer).into_iter().take(1) {
        if let Some(grant) = send_token_request(state, other, &request, ISSUER_TIMEOUT_MS).await {
            return grant;
        }
    }
    grant(0.0, NO_ISSUER_RETRY_AFTER_MS)
}

/// Issues a token from this node's stock, and requests what is missing from the other issuers of the shard.
async fn issue_token(state: &MeshState, tenant: &Tenant, ahead: u32) -> TokenGrant {
    let issued = lock(&state.tokens).issue(tenant, ahead, state.now());
    if issued >= 1.0 {
        return grant(issued, 0);
    }
    collect_missing(state, tenant).await;
    let mut tokens = lock(&state.tokens);
    let now = state.now();
    let issued = tokens.issue(tenant, ahead, now);
    let retry_after_ms = if issued < 1.0 { tokens.next_return_ms(tenant, now) } else { 0 };
    grant(issued, retry_after_ms)
}

/// Requests the tokens that are missing for one request from the other issuers of the tenant's shard.
async fn collect_missing(state: &MeshState, tenant: &Tenant) {
    let Some(shard) = lock(&state.tokens).shard(tenant) else { return };
    for other in other_issuers(state, shard, state.node_id).into_iter().take(MAX_ISSUERS_ASKED) {
        let requested_at = state.now();
        let Some(need) = lock(&state.tokens).need(tenant, requested_at) else { return };
        let request = TokenRequest::Yield {
            tenant: tenant.clone(),
            // One more than needed, because the grant is rounded down.
            missing_micro: (need.missing * MICRO_PER_TOKEN).ceil() as u64 + 1,
            room_micro: (need.room * MICRO_PER_TOKEN) as u64,
        };
        // An issuer that does not respond is probably partitioned, and so are others.
        let Some(grant) = send_token_request(state, other, &request, TOKEN_REQUEST_TIMEOUT_MS).await else { break };
        let yielded = grant.granted_micro as f64 / MICRO_PER_TOKEN;
        lock(&state.tokens).receive_yielded(tenant, yielded, requested_at, state.now());
    }
    let now = state.now();
    let mut tokens = lock(&state.tokens);
    if tokens.need(tenant, now).is_some() {
        tokens.record_denial(tenant, now);
    }
}

/// Returns the other issuers of a shard in random order.
fn other_issuers(state: &MeshState, shard: TokenShard, excluded: VmId) -> Vec<VmId> {
    let mut issuers = lock(&state.peers).issuers(shard, state.now());
    issuers.retain(|issuer| *issuer != excluded && *issuer != state.node_id);
    issuers.shuffle(&mut *lock(&state.rng));
    issuers
}

async fn send_token_request(
    state: &MeshState,
    node: VmId,
    request: &TokenRequest,
    timeout_ms: u64,
) -> Option<TokenGrant> {
    let exchange = async {
        let address = lock(&state.peers).address_of(node);
        let address = address.ok_or_else(|| PeerError::NotSent("the node is no longer known".to_owned()))?;
        let payload = Bytes::from(encode(request)?);
        state.peer_connections.connection(address).await?.request(TOKENS_PATH, payload, MAX_GRANT_BYTES).await
    };
    let detail = match tokio::time::timeout(Duration::from_millis(timeout_ms), exchange).await {
        Ok(Ok(grant)) => return Some(grant),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "timed out waiting for a response".to_owned(),
    };
    state.log(LogLine::new("tokens_not_asked").text("node", node).text("detail", detail));
    None
}

/// Returns a grant, rounded down so that a transfer never creates tokens.
fn grant(tokens: f64, retry_after_ms: u64) -> TokenGrant {
    TokenGrant { granted_micro: (tokens * MICRO_PER_TOKEN) as u64, retry_after_ms }
}
