//! A received request, before routing and admission.

use fulmartrestle_core::{Reason, Refusal};
use http::HeaderMap;
use http::header::HeaderName;
use hyper::Request;

use crate::body::{BodyError, ByteBody};
use crate::context::CONTEXT_HEADER;
use crate::replay_body::ReplayBody;
use crate::wire::{HeaderPair, headers_to_pairs};

/// Request header with the caller's timeout, in milliseconds.
const TIMEOUT_MS_HEADER: HeaderName = HeaderName::from_static("fulmartrestle-timeout-ms");

/// Request header with the idempotency key of a request that must run at most once.
const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// The parts of a request. The headers that carry the API key are already removed.
pub struct ReceivedRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers to forward to the target.
    pub headers: Vec<HeaderPair>,
    /// Timeout requested by the caller, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// Key that is the same for all retries of the request.
    pub idempotency_key: Option<String>,
    /// Body, not read yet.
    pub body: ByteBody,
}

impl ReceivedRequest {
    /// Splits a request into its parts and parses the headers addressed to the node.
    ///
    /// The context header is removed, so that it is not forwarded to the target.
    ///
    /// # Errors
    ///
    /// Returns a `BadRequest` refusal when the timeout or the idempotency key is malformed.
    pub fn new(request: Request<ByteBody>) -> Result<Self, Refusal> {
        let (mut parts, body) = request.into_parts();
        parts.headers.remove(CONTEXT_HEADER);
        let timeout_ms = parse_timeout_ms(&parts.headers)?;
        let idempotency_key = parse_idempotency_key(&parts.headers)?;
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        Ok(Self {
            method: parts.method.as_str().to_owned(),
            path,
            headers: headers_to_pairs(&parts.headers),
            timeout_ms,
            idempotency_key,
            body,
        })
    }
}

/// Reads the start of a body, so that it can be sent again on a retry.
///
/// # Errors
///
/// Returns a `BadRequest` refusal when the body is longer than `limit_bytes` or is aborted by the caller.
pub async fn read_body(body: ByteBody, limit_bytes: u64) -> Result<ReplayBody, Refusal> {
    let result = ReplayBody::read(body, limit_bytes).await;
    result.map_err(|error| match error {
        BodyError::Aborted(_) | BodyError::TooLong(_) => Refusal::not_run(Reason::BadRequest, None),
    })
}

fn parse_timeout_ms(headers: &HeaderMap) -> Result<Option<u64>, Refusal> {
    let Some(value) = headers.get(&TIMEOUT_MS_HEADER) else { return Ok(None) };
    let parsed = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    parsed.map(Some).ok_or(Refusal::not_run(Reason::BadRequest, None))
}

fn parse_idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get(&IDEMPOTENCY_KEY_HEADER) else { return Ok(None) };
    let text = value.to_str().ok().map(str::trim);
    let valid = text.filter(|text| !text.is_empty() && text.len() <= MAX_IDEMPOTENCY_KEY_BYTES);
    valid.map(|text| Some(text.to_owned())).ok_or(Refusal::not_run(Reason::BadRequest, None))
}
