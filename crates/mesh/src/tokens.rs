//! Takes tokens of the tenants' rates and moves them between nodes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use fulmartrestle_core::{Reason, Refusal, Tenant, lock};
use fulmartrestle_quota::TokenDecision;
use fulmartrestle_transport::encode;
use futures_util::future::join_all;
use rand::RngExt;

use crate::event_log::LogLine;
use crate::node_messages::{TokenGrant, TokenRequest};
use crate::peer_streams::TOKENS_PATH;
use crate::state::MeshState;

/// Number of nodes that are asked for tokens at the same time.
const TOKEN_PEERS: usize = 3;

/// Tokens that are requested in total, so that the next requests do not need other nodes.
const REQUESTED_TOKENS: f64 = 3.0;

/// Time for the responses, in milliseconds. The network delay between zones is about a millisecond.
const TOKEN_REQUEST_TIMEOUT_MS: u64 = 60;

/// Largest response, in bytes.
const MAX_GRANT_BYTES: usize = 64;

const MICROTOKENS_PER_TOKEN: f64 = 1e6;

/// Takes a token of the tenant's rate, and requests tokens from other nodes if this node has none.
///
/// # Errors
///
/// Returns the refusal, whose Retry-After is the time until this node has a token of its own.
pub async fn take_token(state: &MeshState, tenant: &Tenant, request_id: Option<&str>) -> Result<(), Refusal> {
    let TokenDecision::Insufficient { .. } = lock(&state.tokens).take(tenant, state.now()) else { return Ok(()) };
    request_tokens_from_peers(state, tenant).await;
    let now = state.now();
    let TokenDecision::Insufficient { retry_after_ms } = lock(&state.tokens).take(tenant, now) else { return Ok(()) };
    let line = LogLine::new("over_rate")
        .optional_text("request", request_id)
        .text("tenant", tenant)
        .number("sharers", lock(&state.peers).quota_sharers(now) as u64)
        .number("retry_after_ms", retry_after_ms);
    state.log(line);
    Err(Refusal::not_run(Reason::OverRate, Some(retry_after_ms)))
}

/// Grants tokens to another node, as far as this node has any.
pub fn grant_tokens(state: &MeshState, request: &TokenRequest) -> TokenGrant {
    let requested = request.requested_micro as f64 / MICROTOKENS_PER_TOKEN;
    let granted = lock(&state.tokens).transfer_out(&request.tenant, requested, state.now());
    // Rounded down, so that a transfer never creates tokens.
    TokenGrant { granted_micro: (granted * MICROTOKENS_PER_TOKEN) as u64 }
}

async fn request_tokens_from_peers(state: &MeshState, tenant: &Tenant) {
    let mut live = lock(&state.peers).live_addresses(state.now());
    let peer_count = TOKEN_PEERS.min(live.len());
    for index in 0..peer_count {
        let other = lock(&state.rng).random_range(index..live.len());
        live.swap(index, other);
    }
    let requested_micro = (REQUESTED_TOKENS * MICROTOKENS_PER_TOKEN / peer_count.max(1) as f64) as u64;
    let request = TokenRequest { tenant: tenant.clone(), requested_micro };
    let Ok(payload) = encode(&request).map(Bytes::from) else { return };
    let requests = live.into_iter().take(peer_count).map(|address| request_tokens(state, address, payload.clone()));
    let granted_micro: u64 = join_all(requests).await.into_iter().sum();
    lock(&state.tokens).transfer_in(tenant, granted_micro as f64 / MICROTOKENS_PER_TOKEN, state.now());
}

async fn request_tokens(state: &MeshState, address: SocketAddr, payload: Bytes) -> u64 {
    let response = async {
        state.peer_connections.connection(address).await?.request(TOKENS_PATH, payload, MAX_GRANT_BYTES).await
    };
    match tokio::time::timeout(Duration::from_millis(TOKEN_REQUEST_TIMEOUT_MS), response).await {
        Ok(Ok(TokenGrant { granted_micro })) => granted_micro,
        Ok(Err(error)) => {
            state.log(LogLine::new("tokens_not_asked").text("peer", address).text("detail", error));
            0
        }
        Err(_) => {
            state.log(
                LogLine::new("tokens_not_asked")
                    .text("peer", address)
                    .text("detail", "timed out waiting for a response"),
            );
            0
        }
    }
}
