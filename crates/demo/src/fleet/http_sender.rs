//! Sends requests over HTTP/1.1 and classifies the responses.

use std::net::SocketAddr;

use bytes::Bytes;
use fulmartrestle_core::Outcome;
use fulmartrestle_standin::{IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER, TargetResponse};
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

use super::{ClientRequest, SendOutcome};

/// Header with the caller's timeout in milliseconds.
const TIMEOUT_HEADER: &str = "fulmartrestle-timeout-ms";

/// Failure cause if no connection could be made, so that the request was not sent.
pub(super) const NO_CONNECTION: &str = "no connection";

/// HTTP client with a connection pool.
#[derive(Clone, Debug)]
pub(crate) struct HttpSender {
    client: Client<HttpConnector, Empty<Bytes>>,
}

/// Fields of a refusal's JSON body that are used to classify it.
#[derive(Deserialize)]
struct RefusalBody {
    outcome: Outcome,
    reason: String,
}

impl HttpSender {
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self { client: Client::builder(TokioExecutor::new()).build(connector) }
    }

    /// Sends `request` to `address` and waits for the response without a timeout.
    pub(crate) async fn send(&self, address: SocketAddr, request: &ClientRequest) -> SendOutcome {
        match self.exchange(address, request).await {
            Ok((status, body)) => classify_response(request, status, &body),
            Err(cause) => SendOutcome::Failed { cause },
        }
    }

    async fn exchange(&self, address: SocketAddr, request: &ClientRequest) -> Result<(StatusCode, Bytes), String> {
        let request = http_request(address, request).map_err(|_| "bad request".to_owned())?;
        let response = self.client.request(request).await;
        let response = response.map_err(|error| connection_failure(&error).to_owned())?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|_| "answer cut short".to_owned())?;
        Ok((status, body.to_bytes()))
    }
}

fn connection_failure(error: &hyper_util::client::legacy::Error) -> &'static str {
    if error.is_connect() { NO_CONNECTION } else { "connection lost" }
}

fn http_request(address: SocketAddr, request: &ClientRequest) -> Result<Request<Empty<Bytes>>, http::Error> {
    let method = if request.idempotency_key.is_some() { Method::POST } else { Method::GET };
    let uri = format!("http://{address}{}", request.path);
    let mut builder = Request::builder().method(method).uri(uri).header(REQUEST_ID_HEADER, &request.request_id);
    if let Some(key) = &request.key {
        builder = builder.header(header::AUTHORIZATION, format!("Bearer {key}"));
    }
    if let Some(key) = &request.idempotency_key {
        builder = builder.header(IDEMPOTENCY_KEY_HEADER, key);
    }
    builder.header(TIMEOUT_HEADER, request.timeout_ms).body(Empty::new())
}

/// Classifies a response. A response to an earlier send of the same request is also correct, so only the
/// path is compared, which is unique to the request.
fn classify_response(request: &ClientRequest, status: StatusCode, body: &[u8]) -> SendOutcome {
    if status == StatusCode::OK {
        return match serde_json::from_slice::<TargetResponse>(body) {
            Ok(response) if response.path == request.path => SendOutcome::Whole { in_target_us: response.in_target_us },
            Ok(_) => SendOutcome::WrongAnswer,
            Err(_) => SendOutcome::Failed { cause: "answer can't be read".to_owned() },
        };
    }
    match serde_json::from_slice::<RefusalBody>(body) {
        Ok(RefusalBody { outcome: Outcome::NotRun, reason }) => SendOutcome::NotRun { reason },
        Ok(RefusalBody { outcome: Outcome::Unknown, reason }) => SendOutcome::Unknown { reason },
        Err(_) => SendOutcome::Failed { cause: format!("status {}", status.as_u16()) },
    }
}
