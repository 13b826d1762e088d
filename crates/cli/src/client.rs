//! HTTP client of a node's operators' API.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use fulmartrestle_api::ErrorAnswer;
use http::header::AUTHORIZATION;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

use crate::CliError;

/// Maximum wait for a response. It exceeds the 30 s for which a confirmation waits for the platform's log.
const RESPONSE_TIMEOUT_MS: u64 = 45_000;

/// HTTP client of one node's operators' API, with the operator's key.
pub struct AdminClient {
    node: SocketAddr,
    operator_key: Option<String>,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl AdminClient {
    /// Returns a client of `node` that authenticates with `operator_key`, if there is one.
    pub fn new(node: SocketAddr, operator_key: Option<String>) -> Self {
        Self { node, operator_key, client: Client::builder(TokioExecutor::new()).build_http() }
    }

    /// Sends a GET request and returns the decoded JSON response.
    ///
    /// # Errors
    ///
    /// Returns [`CliError::Unreachable`] if there is no valid response, and [`CliError::Refused`] for an
    /// error status.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        self.send(Method::GET, path, String::new()).await
    }

    /// Sends a GET request and returns the response as text.
    ///
    /// # Errors
    ///
    /// Returns [`CliError::Unreachable`] if there is no valid response, and [`CliError::Refused`] for an
    /// error status.
    pub async fn get_text(&self, path: &str) -> Result<String, CliError> {
        let bytes = self.exchange_with_timeout(Method::GET, path, String::new()).await?;
        String::from_utf8(bytes.to_vec()).map_err(|error| self.unreachable_error(format!("invalid response: {error}")))
    }

    /// Sends a POST request with this body and returns the decoded JSON response.
    ///
    /// # Errors
    ///
    /// Returns [`CliError::Unreachable`] if there is no valid response, and [`CliError::Refused`] for an
    /// error status.
    pub async fn post<T: DeserializeOwned>(&self, path: &str, body: String) -> Result<T, CliError> {
        self.send(Method::POST, path, body).await
    }

    async fn send<T: DeserializeOwned>(&self, method: Method, path: &str, body: String) -> Result<T, CliError> {
        let bytes = self.exchange_with_timeout(method, path, body).await?;
        serde_json::from_slice(&bytes).map_err(|error| self.unreachable_error(format!("invalid response: {error}")))
    }

    async fn exchange_with_timeout(&self, method: Method, path: &str, body: String) -> Result<Bytes, CliError> {
        let exchange = self.exchange(method, path, body);
        let result = tokio::time::timeout(Duration::from_millis(RESPONSE_TIMEOUT_MS), exchange).await;
        result.map_err(|_| self.unreachable_error("request timed out"))?
    }

    async fn exchange(&self, method: Method, path: &str, body: String) -> Result<Bytes, CliError> {
        let mut request = Request::builder().method(method).uri(format!("http://{}{path}", self.node));
        if let Some(key) = &self.operator_key {
            request = request.header(AUTHORIZATION, format!("Bearer {key}"));
        }
        let request =
            request.body(Full::new(Bytes::from(body))).map_err(|error| CliError::Input(format!("{path}: {error}")))?;
        let response = self.client.request(request).await.map_err(|error| self.unreachable_error(error))?;
        let status = response.status();
        let bytes = response.into_body().collect().await.map_err(|error| self.unreachable_error(error))?.to_bytes();
        if status.is_success() {
            return Ok(bytes);
        }
        let text = serde_json::from_slice::<ErrorAnswer>(&bytes).map(|body| body.error);
        let text = text.unwrap_or_else(|_| String::from_utf8_lossy(&bytes).into_owned());
        Err(CliError::Refused(status.as_u16(), text))
    }

    fn unreachable_error(&self, detail: impl ToString) -> CliError {
        CliError::Unreachable(self.node.to_string(), detail.to_string())
    }
}
