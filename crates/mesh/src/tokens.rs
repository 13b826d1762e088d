//! Tokens of tenants' rates, and moving them between nodes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use fulmartrestle_core::{Reason, Refusal, Tenant, lock};
use fulmartrestle_quota::TokenDecision;
use fulmartrestle_transport::encode;
use futures_util::future::join_all;
use rand::RngExt;

use crate::journal::Line;
use crate::peer::TOKENS_PATH;
use crate::state::MeshState;
use crate::status::{TokenGrant, TokenRequest};

/// Nodes that are asked for tokens at a time.
const ASKED_NODES: usize = 3;

/// Tokens that are asked for, so that the next requests need no other node.
const WANTED_TOKENS: f64 = 3.0;

/// Time for the answers, in milliseconds. Zones are a millisecond apart.
const ASK_TIMEOUT_MS: u64 = 60;

/// Longest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64;

const MICRO: f64 = 1e6;

/// Takes a token of the tenant's rate, if need be from other nodes.
///
/// # Errors
///
/// Returns the refusal with when this node will have a token of its own.
pub async fn take_token(state: &MeshState, tenant: &Tenant, request_id: Option<&str>) -> Result<(), Refusal> {
    let TokenDecision::Insufficient { .. } = lock(&state.tokens).take(tenant, state.now()) else { return Ok(()) };
    ask_others(state, tenant).await;
    let now = state.now();
    let TokenDecision::Insufficient { retry_after_ms } = lock(&state.tokens).take(tenant, now) else { return Ok(()) };
    let line = Line::new("over_rate")
        .maybe("request", request_id)
        .text("tenant", tenant)
        .number("sharers", lock(&state.peers).sharers(now) as u64)
        .number("retry_after_ms", retry_after_ms);
    state.log(line);
    Err(Refusal::not_run(Reason::OverRate, Some(retry_after_ms)))
}

/// Answers another node's request for tokens.
pub fn give_tokens(state: &MeshState, request: &TokenRequest) -> TokenGrant {
    let wanted = request.wanted_micro as f64 / MICRO;
    let given = lock(&state.tokens).transfer_out(&request.tenant, wanted, state.now());
    // Rounded down, so that moving tokens never makes any.
    TokenGrant { given_micro: (given * MICRO) as u64 }
}

async fn ask_others(state: &MeshState, tenant: &Tenant) {
    let mut live = lock(&state.peers).live(state.now());
    let asked = ASKED_NODES.min(live.len());
    for place in 0..asked {
        let other = lock(&state.rng).random_range(place..live.len());
        live.swap(place, other);
    }
    let wanted_micro = (WANTED_TOKENS * MICRO / asked.max(1) as f64) as u64;
    let request = TokenRequest { tenant: tenant.clone(), wanted_micro };
    let Ok(question) = encode(&request).map(Bytes::from) else { return };
    let asking = live.into_iter().take(asked).map(|address| ask(state, address, question.clone()));
    let given_micro: u64 = join_all(asking).await.into_iter().sum();
    lock(&state.tokens).transfer_in(tenant, given_micro as f64 / MICRO, state.now());
}

async fn ask(state: &MeshState, address: SocketAddr, question: Bytes) -> u64 {
    let asked = async { state.links.connection(address).await?.request(TOKENS_PATH, question, MAX_ANSWER_BYTES).await };
    match tokio::time::timeout(Duration::from_millis(ASK_TIMEOUT_MS), asked).await {
        Ok(Ok(TokenGrant { given_micro })) => given_micro,
        Ok(Err(error)) => {
            state.log(Line::new("tokens_not_asked").text("peer", address).text("detail", error));
            0
        }
        Err(_) => {
            state.log(Line::new("tokens_not_asked").text("peer", address).text("detail", "no answer in time"));
            0
        }
    }
}
