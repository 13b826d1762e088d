//! The service that a node offers to callers and peers.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use fulmartrestle_burn::BurnSummary;
use fulmartrestle_claims::ClaimKey;
use fulmartrestle_config::plan::ObservedTraffic;
use fulmartrestle_core::{CallId, Reason, Refusal, lock};
use hyper::Request;

use super::AtMostOnceOutcome;
use super::at_most_once::call_outcome;
use super::caller::handle_caller_request;
use super::child_call::handle_child_call;
use super::request::ReceivedRequest;
use super::response::caller_response;
use crate::body::ByteBody;
use crate::burn::local_burn_summary;
use crate::call::TargetResponse;
use crate::context::CONTEXT_HEADER;
use crate::control::handle_control_message;
use crate::http::{CallerResponse, CallerService};
use crate::keys::extract_key;
use crate::peer::{ControlEnvelope, PeerResponse, PeerService};
use crate::state::NodeState;
use crate::wire::CallHead;

/// Handles requests from callers, child calls from the local target, and streams from peers.
pub struct EntryService {
    state: Arc<NodeState>,
}

impl EntryService {
    /// Creates the service on the node's shared state.
    pub fn new(state: Arc<NodeState>) -> Self {
        Self { state }
    }

    async fn handle_request(&self, mut request: Request<ByteBody>, request_id: u64) -> Result<TargetResponse, Refusal> {
        let key_hash = extract_key(request.headers_mut());
        match self.parent_call(&request)? {
            Some(parent) => {
                self.state.counters.child_calls.add(1);
                handle_child_call(&self.state, ReceivedRequest::new(request)?, parent).await
            }
            None => {
                self.state.counters.requests.add(1);
                handle_caller_request(&self.state, ReceivedRequest::new(request)?, key_hash, request_id).await
            }
        }
    }

    /// Returns the running call that the request's context header identifies, if it has one.
    ///
    /// A request with an invalid context is refused; it is never handled as a request from an external caller.
    fn parent_call(&self, request: &Request<ByteBody>) -> Result<Option<CallId>, Refusal> {
        let Some(value) = request.headers().get(CONTEXT_HEADER) else { return Ok(None) };
        let text = value.to_str().unwrap_or_default();
        let call = self.state.gate.signer().verify(text);
        call.map(Some).map_err(|_| Refusal::not_run(Reason::Unauthorized, None))
    }
}

#[async_trait]
impl CallerService for EntryService {
    async fn handle(&self, _caller: SocketAddr, request: Request<ByteBody>) -> CallerResponse {
        let request_id = self.state.random_u64();
        let result = self.handle_request(request, request_id).await;
        caller_response(&self.state, result, request_id)
    }
}

#[async_trait]
impl PeerService for EntryService {
    async fn call(&self, head: CallHead, body: ByteBody) -> PeerResponse {
        let config = self.state.config.get();
        let chain = config.routes().get(&head.context.route).map(|route| route.chain.clone());
        let mut response = self.state.gate.run_call(head, body).await;
        let now = self.state.clock.now();
        response.head.downstream_levels =
            lock(&self.state.ingress_admission).level_reports(&chain.unwrap_or_default(), now);
        response
    }

    async fn call_outcome(&self, key: ClaimKey) -> Option<AtMostOnceOutcome> {
        call_outcome(&self.state, key).await
    }

    fn burn_summary(&self) -> BurnSummary {
        local_burn_summary(&self.state)
    }

    fn traffic(&self) -> Vec<ObservedTraffic> {
        lock(&self.state.traffic).observed_rates(&self.state.zone, self.state.clock.now())
    }

    fn on_control_message(&self, envelope: ControlEnvelope) {
        handle_control_message(&self.state, envelope, None);
    }
}
