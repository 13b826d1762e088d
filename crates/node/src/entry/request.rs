//! A request as it was received, before anything is decided about it.

use fulmartrestle_core::{Reason, Refusal};
use http::HeaderMap;
use http::header::HeaderName;
use hyper::Request;
use hyper::body::Incoming;

use crate::body::{BodyError, ByteBody, incoming_body};
use crate::context::CONTEXT_HEADER;
use crate::replay_body::ReplayBody;
use crate::wire::{HeaderPair, headers_to_pairs};

/// Header in which a caller may state how long it waits, in milliseconds.
const TIMEOUT_MS: HeaderName = HeaderName::from_static("fulmartrestle-timeout-ms");

/// Header that names a request which must run at most once.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Longest idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// A request's parts. The key was taken out already.
pub struct ReceivedRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers that go on to the target.
    pub headers: Vec<HeaderPair>,
    /// How long the caller says it waits, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// Names the request over its repetitions.
    pub idempotency_key: Option<String>,
    /// The body, not read yet.
    pub body: ByteBody,
}

impl ReceivedRequest {
    /// Takes a request apart.
    ///
    /// # Errors
    ///
    /// Returns a refusal for headers that can't be understood.
    pub fn new(request: Request<Incoming>) -> Result<Self, Refusal> {
        let (mut parts, body) = request.into_parts();
        parts.headers.remove(CONTEXT_HEADER);
        let timeout_ms = timeout_ms(&parts.headers)?;
        let idempotency_key = idempotency_key(&parts.headers)?;
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        Ok(Self {
            method: parts.method.as_str().to_owned(),
            path,
            headers: headers_to_pairs(&parts.headers),
            timeout_ms,
            idempotency_key,
            body: incoming_body(body),
        })
    }
}

/// Reads the beginning of a body; what is too long or breaks off is a bad request.
///
/// # Errors
///
/// Returns the refusal.
pub async fn read_body(body: ByteBody, limit_bytes: u64) -> Result<ReplayBody, Refusal> {
    let read = ReplayBody::read(body, limit_bytes).await;
    read.map_err(|error| match error {
        BodyError::Aborted(_) | BodyError::TooLong(_) => Refusal::not_run(Reason::BadRequest, None),
    })
}

fn timeout_ms(headers: &HeaderMap) -> Result<Option<u64>, Refusal> {
    let Some(value) = headers.get(&TIMEOUT_MS) else { return Ok(None) };
    let parsed = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    parsed.map(Some).ok_or(Refusal::not_run(Reason::BadRequest, None))
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get(&IDEMPOTENCY_KEY) else { return Ok(None) };
    let text = value.to_str().ok().map(str::trim);
    let valid = text.filter(|text| !text.is_empty() && text.len() <= MAX_IDEMPOTENCY_KEY_BYTES);
    valid.map(|text| Some(text.to_owned())).ok_or(Refusal::not_run(Reason::BadRequest, None))
}
