//! HTTP/1.1 client for the end-to-end tests.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Time limit for one response, so that a missing response fails the test instead of hanging it.
const RESPONSE_TIMEOUT_S: u64 = 30;

/// An HTTP request with a text body.
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

    /// Adds an `Authorization` header with a bearer token.
    pub fn bearer_auth(self, secret: &str) -> Self {
        self.header("authorization", format!("Bearer {secret}"))
    }
}

/// An HTTP response with its complete body.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: http::HeaderMap,
    pub body: String,
}

impl Response {
    /// Parses the body as JSON, and panics if it is not valid.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_else(|error| panic!("{error} in {:?}", self.body))
    }
}

/// An HTTP client with a connection pool.
#[derive(Clone)]
pub struct Client {
    inner: HyperClient<HttpConnector, Full<Bytes>>,
}

impl Client {
    pub fn new() -> Self {
        Self { inner: HyperClient::builder(TokioExecutor::new()).build_http() }
    }

    /// Sends a request and returns the complete response, or the reason why there is none.
    pub async fn try_send(&self, request: &Request) -> Result<Response, String> {
        let mut builder = http::Request::builder().method(request.method).uri(&request.url);
        for (name, value) in &request.headers {
            builder = builder.header(*name, value);
        }
        let http_request =
            builder.body(Full::new(Bytes::from(request.body.clone()))).map_err(|error| error.to_string())?;
        let exchange = async {
            let response = self.inner.request(http_request).await.map_err(|error| error.to_string())?;
            let (parts, body) = response.into_parts();
            let bytes = body.collect().await.map_err(|error| error.to_string())?.to_bytes();
            let body = String::from_utf8_lossy(&bytes).into_owned();
            Ok(Response { status: parts.status.as_u16(), headers: parts.headers, body })
        };
        let result = tokio::time::timeout(Duration::from_secs(RESPONSE_TIMEOUT_S), exchange).await;
        result.map_err(|_| "request timed out".to_owned())?
    }

    /// Sends a request and returns the complete response. Panics if there is none.
    pub async fn send(&self, request: &Request) -> Response {
        self.try_send(request).await.unwrap_or_else(|error| panic!("{}: {error}", request.url))
    }
}
