//! Responses to refused requests, as `application/problem+json` (RFC 9457).

use bytes::Bytes;
use fulmartrestle_core::{Outcome, Refusal};
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::Response;
use serde::Serialize;

use super::CallerResponse;
use crate::body::full_body;

/// Response header with the request id, which `fulmartrestle explain` takes as its argument.
const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("fulmartrestle-request-id");

const MS_PER_S: u64 = 1_000;

/// JSON body of a refusal.
#[derive(Serialize)]
struct Problem {
    title: String,
    status: u16,
    outcome: Outcome,
    reason: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    request_id: String,
}

/// Returns the header with the request id.
pub fn request_id_header(request_id: u64) -> (HeaderName, HeaderValue) {
    let text = format!("{request_id:016x}");
    let value = HeaderValue::from_str(&text).unwrap_or_else(|_| HeaderValue::from_static("invalid"));
    (REQUEST_ID_HEADER, value)
}

/// Returns the response to a refused request, with a `Retry-After` header if the refusal has a retry delay.
pub fn problem_response(refusal: &Refusal, request_id: u64) -> CallerResponse {
    let problem = Problem {
        title: refusal.to_string(),
        status: refusal.reason.http_status(),
        outcome: refusal.outcome,
        reason: refusal.reason.as_str().to_owned(),
        retry_after_ms: refusal.retry_after_ms,
        request_id: format!("{request_id:016x}"),
    };
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let mut response = Response::new(full_body(Bytes::from(body)));
    *response.status_mut() =
        http::StatusCode::from_u16(problem.status).unwrap_or(http::StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        headers.insert(RETRY_AFTER, HeaderValue::from(retry_after_ms.div_ceil(MS_PER_S).max(1)));
    }
    let (name, value) = request_id_header(request_id);
    headers.insert(name, value);
    response
}
