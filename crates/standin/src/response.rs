//! The answer of a stand-in target.

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

/// Body type of all answers.
pub(crate) type AnswerBody = BoxBody<Bytes, io::Error>;

/// What a target answers to a request that it ran, as JSON. Callers check by it that they got the whole
/// answer to their own request.
#[record]
pub struct TargetResponse {
    /// The service that answered.
    pub service: Service,
    /// The request id that came with the request, or empty.
    pub request_id: String,
    /// The path that was asked for.
    pub path: String,
    /// Bytes of the request's body that arrived.
    pub body_bytes: u64,
    /// Calls to other services that were made.
    pub child_calls: u32,
    /// Time from the request's arrival at the target to its answer, in microseconds.
    pub in_target_us: u64,
    /// Filling, so that answers have a size.
    pub padding: String,
}

/// Builds a JSON answer.
pub(crate) fn json(status: StatusCode, message: &impl Serialize) -> Response<AnswerBody> {
    let body = serde_json::to_vec(message).unwrap_or_default();
    with_body(status, full(body))
}

/// Builds an answer in plain text.
pub(crate) fn text(status: StatusCode, text: &str) -> Response<AnswerBody> {
    let mut response = with_body(status, full(text.as_bytes().to_vec()));
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// Builds an answer that announces the length of `message` and breaks off after half of it.
pub(crate) fn cut_json(message: &impl Serialize) -> Response<AnswerBody> {
    let body = serde_json::to_vec(message).unwrap_or_default();
    let half = Bytes::copy_from_slice(&body[..body.len() / 2]);
    let broken = || io::Error::other("answer cut on purpose");
    // The break comes in a later poll than the first half, so that the half is sent and not dropped.
    let cut = stream::once(async move {
        tokio::task::yield_now().await;
        Err(broken())
    });
    let frames = stream::iter([Ok(Frame::data(half))]).chain(cut);
    let mut response = with_body(StatusCode::OK, BodyExt::boxed(StreamBody::new(Box::pin(frames))));
    response.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
    response
}

fn full(body: Vec<u8>) -> AnswerBody {
    Full::new(Bytes::from(body)).map_err(|never: Infallible| match never {}).boxed()
}

fn with_body(status: StatusCode, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
