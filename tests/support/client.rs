//! A caller: one request at a time over HTTP/1.1.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Longest wait for one answer. It only ends a test that hangs.
const ANSWER_TIMEOUT_S: u64 = 30;

/// A request to send.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: &'static str,
    pub url: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: String,
}

impl Request {
    pub fn get(url: impl Into<String>) -> Self {
        Self { method: "GET", url: url.into(), ..Self::default() }
    }

    pub fn post(url: impl Into<String>, body: impl Into<String>) -> Self {
        Self { method: "POST", url: url.into(), body: body.into(), ..Self::default() }
    }

    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    pub fn key(self, secret: &str) -> Self {
        self.header("authorization", format!("Bearer {secret}"))
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: http::HeaderMap,
    pub body: String,
}

impl Answer {
    /// Returns the body as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_else(|error| panic!("{error} in {:?}", self.body))
    }
}

/// A caller with a pool of connections.
#[derive(Clone)]
pub struct Client {
    inner: HyperClient<HttpConnector, Full<Bytes>>,
}

impl Client {
    pub fn new() -> Self {
        Self { inner: HyperClient::builder(TokioExecutor::new()).build_http() }
    }

    /// Sends a request and returns the whole answer, or why there is none.
    pub async fn try_send(&self, request: &Request) -> Result<Answer, String> {
        let mut builder = http::Request::builder().method(request.method).uri(&request.url);
        for (name, value) in &request.headers {
            builder = builder.header(*name, value);
        }
        let built = builder.body(Full::new(Bytes::from(request.body.clone()))).map_err(|error| error.to_string())?;
        let exchange = async {
            let response = self.inner.request(built).await.map_err(|error| error.to_string())?;
            let (parts, body) = response.into_parts();
            let bytes = body.collect().await.map_err(|error| error.to_string())?.to_bytes();
            let body = String::from_utf8_lossy(&bytes).into_owned();
            Ok(Answer { status: parts.status.as_u16(), headers: parts.headers, body })
        };
        let answered = tokio::time::timeout(Duration::from_secs(ANSWER_TIMEOUT_S), exchange).await;
        answered.map_err(|_| "no answer in time".to_owned())?
    }

    pub async fn send(&self, request: &Request) -> Answer {
        self.try_send(request).await.unwrap_or_else(|error| panic!("{}: {error}", request.url))
    }
}
