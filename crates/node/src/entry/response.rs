//! HTTP responses to callers.

use fulmartrestle_core::{Outcome, Refusal};
use http::StatusCode;
use hyper::Response;

use crate::call::TargetResponse;
use crate::http::{CallerResponse, problem_response, request_id_header};
use crate::state::NodeState;
use crate::wire::headers_from_pairs;

/// Builds the response for the result of a request and increments the matching counter.
pub fn caller_response(state: &NodeState, result: Result<TargetResponse, Refusal>, request_id: u64) -> CallerResponse {
    match result {
        Ok(target_response) => {
            state.counters.answered.add(1);
            response_from_target(target_response, request_id)
        }
        Err(refusal) => {
            let counter = match refusal.outcome {
                Outcome::NotRun => &state.counters.not_run,
                Outcome::Unknown => &state.counters.unknown,
            };
            counter.add(1);
            state.record_decision(request_id, || {
                format!("responded with status {}: {refusal}", refusal.reason.http_status())
            });
            problem_response(&refusal, request_id)
        }
    }
}

fn response_from_target(target_response: TargetResponse, request_id: u64) -> CallerResponse {
    let mut response = Response::new(target_response.body);
    *response.status_mut() = StatusCode::from_u16(target_response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = headers_from_pairs(&target_response.headers);
    let (name, value) = request_id_header(request_id);
    response.headers_mut().insert(name, value);
    response
}
