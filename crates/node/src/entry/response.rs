//! Answers to callers.

use fulmartrestle_core::{Outcome, Refusal};
use http::StatusCode;
use hyper::Response;

use crate::call::TargetResponse;
use crate::http::{CallerResponse, problem_response, request_id_header};
use crate::state::NodeState;
use crate::wire::headers_from_pairs;

/// Returns the answer for the result of a request, and counts it.
pub fn caller_response(state: &NodeState, result: Result<TargetResponse, Refusal>, request_id: u64) -> CallerResponse {
    match result {
        Ok(dispatched) => {
            state.counters.answered.add(1);
            response_from_target(dispatched, request_id)
        }
        Err(refusal) => {
            let counter = match refusal.outcome {
                Outcome::NotRun => &state.counters.not_run,
                Outcome::Unknown => &state.counters.unknown,
            };
            counter.add(1);
            state.explain(request_id, || format!("answered {}: {refusal}", refusal.reason.http_status()));
            problem_response(&refusal, request_id)
        }
    }
}

fn response_from_target(dispatched: TargetResponse, request_id: u64) -> CallerResponse {
    let mut answer = Response::new(dispatched.body);
    *answer.status_mut() = StatusCode::from_u16(dispatched.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *answer.headers_mut() = headers_from_pairs(&dispatched.headers);
    let (name, value) = request_id_header(request_id);
    answer.headers_mut().insert(name, value);
    answer
}
