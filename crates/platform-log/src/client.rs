//! The client that nodes use to reach the platform's log over HTTP.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use fulmartrestle_core::LogOffset;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::hex::HexBytes;
use crate::wire::{AppendAnswer, AppendRequest, Failure, MAX_BODY_BYTES, WirePage};
use crate::{LogError, PlatformLog, ReadPage, StreamName};

const DEFAULT_CONNECT_TIMEOUT_MS: u64 = 500;

/// An append that the log batches may take a second; a shorter time-out makes certain writes uncertain.
const DEFAULT_REQUEST_TIMEOUT_MS: u64 = 2_000;

/// Idle connections are closed after this time, so that one that went silent isn't kept for good.
const POOL_IDLE_TIMEOUT_MS: u64 = 10_000;

/// The platform's log, reached over HTTP.
#[derive(Clone, Debug)]
pub struct HttpLog {
    base: String,
    client: Client<HttpConnector, Full<Bytes>>,
    request_timeout: Duration,
}

/// An answer that came back whole.
struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl HttpLog {
    /// Returns a client of the log at `url`, for example `http://10.0.0.7:7000`, with a connect
    /// time-out of 500 ms and a request time-out of 2000 ms. No connection is made yet.
    ///
    /// # Errors
    ///
    /// [`LogError::BadRequest`] when `url` is not an HTTP URL with an address.
    pub fn new(url: &str) -> Result<Self, LogError> {
        Self::with_timeouts_ms(url, DEFAULT_CONNECT_TIMEOUT_MS, DEFAULT_REQUEST_TIMEOUT_MS)
    }

    /// Returns a client as [`HttpLog::new`] does, with other time-outs.
    ///
    /// # Errors
    ///
    /// [`LogError::BadRequest`] when `url` is not an HTTP URL with an address.
    pub fn with_timeouts_ms(url: &str, connect_ms: u64, request_ms: u64) -> Result<Self, LogError> {
        let base = url.trim_end_matches('/').to_owned();
        let parsed: Option<http::Uri> = base.parse().ok();
        let valid = |uri: &http::Uri| uri.scheme_str() == Some("http") && uri.authority().is_some();
        if !parsed.as_ref().is_some_and(valid) {
            return Err(LogError::BadRequest(format!("not an HTTP URL: {url:?}")));
        }
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(connect_ms)));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_millis(POOL_IDLE_TIMEOUT_MS))
            .build(connector);
        Ok(Self { base, client, request_timeout: Duration::from_millis(request_ms) })
    }

    /// Sends one request. Only a connection that was never made counts as [`LogError::Unavailable`]:
    /// after that the server may have acted on the request.
    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Answer, LogError> {
        let exchange = self.exchange(request);
        tokio::time::timeout(self.request_timeout, exchange).await.unwrap_or(Err(LogError::AnswerLost))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Answer, LogError> {
        let response = self.client.request(request).await;
        let response = response.map_err(|error| match error.is_connect() {
            true => LogError::Unavailable,
            false => LogError::AnswerLost,
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await;
        let body = body.map_err(|_| LogError::AnswerLost)?.to_bytes();
        Ok(Answer { status, body })
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Result<Request<Full<Bytes>>, LogError> {
        let uri = format!("{}{path}", self.base);
        let request = Request::builder().method(method).uri(uri).body(Full::new(body));
        request.map_err(|error| LogError::BadRequest(format!("{path:?}: {error}")))
    }
}

impl Answer {
    fn parse<T: DeserializeOwned>(&self) -> Result<T, LogError> {
        if self.status == StatusCode::OK {
            return serde_json::from_slice(&self.body).map_err(|_| LogError::AnswerLost);
        }
        Err(self.failure())
    }

    /// Returns the error that the server reported. A status that the log never sends, for example
    /// from something between, says nothing about the write.
    fn failure(&self) -> LogError {
        let Ok(failure) = serde_json::from_slice::<Failure>(&self.body) else {
            return LogError::AnswerLost;
        };
        match (self.status, failure.first) {
            (StatusCode::SERVICE_UNAVAILABLE, _) => LogError::Unavailable,
            (StatusCode::GONE, Some(first)) => LogError::Trimmed { first },
            (StatusCode::BAD_REQUEST, _) => LogError::BadRequest(failure.error),
            _ => LogError::AnswerLost,
        }
    }
}

fn encode(message: &impl Serialize) -> Result<Bytes, LogError> {
    let encoded = serde_json::to_vec(message).map_err(|error| LogError::BadRequest(error.to_string()))?;
    Ok(Bytes::from(encoded))
}

#[async_trait]
impl PlatformLog for HttpLog {
    async fn append(&self, stream: &StreamName, records: Vec<Vec<u8>>) -> Result<LogOffset, LogError> {
        let message = AppendRequest { records: records.into_iter().map(HexBytes).collect() };
        let path = format!("/streams/{stream}/records");
        let request = self.request(Method::POST, &path, encode(&message)?)?;
        let answer: AppendAnswer = self.send(request).await?.parse()?;
        Ok(answer.offset)
    }

    async fn read(&self, stream: &StreamName, from: LogOffset, max_records: usize) -> Result<ReadPage, LogError> {
        let path = format!("/streams/{stream}/records?from={from}&max={max_records}");
        let request = self.request(Method::GET, &path, Bytes::new())?;
        let page: WirePage = self.send(request).await?.parse()?;
        Ok(page.into())
    }
}
