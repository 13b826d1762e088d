//! The operators' API of one node.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde_json::Value;

use crate::DemoError;

/// Plans, confirms and asks for the status over HTTP.
#[derive(Clone, Debug)]
pub(super) struct OperatorClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A key that a plan grants.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct GrantedKey {
    pub(super) key_id: String,
    pub(super) tenant: String,
    pub(super) secret: String,
}

/// What this client needs of a plan's answer.
#[derive(Deserialize)]
struct Planned {
    plan: PlanHead,
    granted: Vec<GrantedKey>,
}

#[derive(Deserialize)]
struct PlanHead {
    id: String,
}

/// What this client needs of a node's status.
#[derive(Deserialize)]
struct Status {
    members: std::collections::HashMap<String, usize>,
    targets: usize,
}

impl OperatorClient {
    pub(super) fn new() -> Self {
        Self { client: Client::builder(TokioExecutor::new()).build_http() }
    }

    /// Plans an intent at one node, confirms the plan there and returns the keys that it grants.
    pub(super) async fn publish(&self, admin: SocketAddr, intent: &Value) -> Result<Vec<GrantedKey>, DemoError> {
        let planned: Planned = self.post(admin, "/v1/plans", intent.to_string()).await?;
        let path = format!("/v1/plans/{}/confirm", planned.plan.id);
        let confirmed: Value = self.post(admin, &path, String::new()).await?;
        if !confirmed.to_string().contains("committed") {
            return Err(DemoError::Fleet(format!("plan was not committed: {confirmed}")));
        }
        Ok(planned.granted)
    }

    /// Returns whether a node knows this many members and targets.
    pub(super) async fn knows(&self, admin: SocketAddr, count: usize) -> bool {
        let Ok(status) = self.send::<Status>(Method::GET, admin, "/v1/status", String::new()).await else {
            return false;
        };
        let members: usize = status.members.values().sum();
        members == count && status.targets == count
    }

    async fn post<T: for<'de> Deserialize<'de>>(
        &self,
        admin: SocketAddr,
        path: &str,
        body: String,
    ) -> Result<T, DemoError> {
        self.send(Method::POST, admin, path, body).await
    }

    async fn send<T: for<'de> Deserialize<'de>>(
        &self,
        method: Method,
        admin: SocketAddr,
        path: &str,
        body: String,
    ) -> Result<T, DemoError> {
        let failed = |error: &dyn std::fmt::Display| DemoError::Fleet(format!("{path}: {error}"));
        let request = Request::builder().method(method).uri(format!("http://{admin}{path}"));
        let request = request.body(Full::new(Bytes::from(body))).map_err(|error| failed(&error))?;
        let response = self.client.request(request).await.map_err(|error| failed(&error))?;
        let status = response.status();
        let body = response.into_body().collect().await.map_err(|error| failed(&error))?.to_bytes();
        if status != StatusCode::OK {
            return Err(failed(&format!("status {status}: {}", String::from_utf8_lossy(&body))));
        }
        serde_json::from_slice(&body).map_err(|error| failed(&error))
    }
}
