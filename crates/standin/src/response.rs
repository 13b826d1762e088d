//! Responses of a stand-in target.

use std::convert::Infallible;
use std::io;

use bytes::Bytes;
use fulmartrestle_core::Service;
use fulmartrestle_derive::record;
use futures_util::{StreamExt, stream};
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use serde::Serialize;

/// Body type of all responses.
pub(crate) type ResponseBody = BoxBody<Bytes, io::Error>;

/// JSON body of the response to a request that the target ran. Callers use it to check that they received
/// the complete response to their own request.
#[record]
pub struct TargetResponse {
    /// The service that the target offers.
    pub service: Service,
    /// The request id of the request; empty if it had none.
    pub request_id: String,
    /// The path of the request, without its query.
    pub path: String,
    /// Length of the received request body, in bytes.
    pub body_bytes: u64,
    /// Number of calls to other services that the request made.
    pub child_calls: u32,
    /// Time from the arrival of the request at the target to its response, in microseconds.
    pub in_target_us: u64,
    /// Padding of [`StandinSettings::answer_bytes`](crate::StandinSettings::answer_bytes) bytes, which gives
    /// responses a size.
    pub padding: String,
}

/// Builds a JSON response.
pub(crate) fn json_response(status: StatusCode, message: &impl Serialize) -> Response<ResponseBody> {
    let body = serde_json::to_vec(message).unwrap_or_default();
    response_with_body(status, full_body(body))
}

/// Builds a plain-text response.
pub(crate) fn text_response(status: StatusCode, text: &str) -> Response<ResponseBody> {
    let mut response = response_with_body(status, full_body(text.as_bytes().to_vec()));
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// Builds a JSON response whose body ends with an error after half of the announced length.
pub(crate) fn truncated_json_response(message: &impl Serialize) -> Response<ResponseBody> {
    let body = serde_json::to_vec(message).unwrap_or_default();
    let half = Bytes::copy_from_slice(&body[..body.len() / 2]);
    let truncation_error = || io::Error::other("response truncated by the cut_answers fault");
    // The error comes in a later poll than the first half, so that the half is sent and not dropped.
    let truncation = stream::once(async move {
        tokio::task::yield_now().await;
        Err(truncation_error())
    });
    let frames = stream::iter([Ok(Frame::data(half))]).chain(truncation);
    let mut response = response_with_body(StatusCode::OK, BodyExt::boxed(StreamBody::new(Box::pin(frames))));
    response.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
    response
}

fn full_body(body: Vec<u8>) -> ResponseBody {
    Full::new(Bytes::from(body)).map_err(|never: Infallible| match never {}).boxed()
}

fn response_with_body(status: StatusCode, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
