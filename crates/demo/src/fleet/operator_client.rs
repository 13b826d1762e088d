//! Client of the nodes' operators' API.

use std::net::SocketAddr;

use bytes::Bytes;
use fulmartrestle_api::{ConfirmAnswer, GrantedKeyAnswer, PlanAnswer, StatusAnswer};
use fulmartrestle_config::replica::CertificationResult;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde_json::Value;

use crate::DemoError;

/// HTTP client that plans and confirms changes and requests the status of nodes.
#[derive(Clone, Debug)]
pub(super) struct OperatorClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl OperatorClient {
    pub(super) fn new() -> Self {
        Self { client: Client::builder(TokioExecutor::new()).build_http() }
    }

    /// Plans an intent on one node, confirms the plan on the same node and returns the granted keys.
    pub(super) async fn publish(&self, admin: SocketAddr, intent: &Value) -> Result<Vec<GrantedKeyAnswer>, DemoError> {
        let planned: PlanAnswer = self.post(admin, "/v1/plans", intent.to_string()).await?;
        let path = format!("/v1/plans/{}/confirm", planned.plan.id);
        let confirmed: ConfirmAnswer = self.post(admin, &path, String::new()).await?;
        match confirmed.result {
            CertificationResult::Committed { .. } => Ok(planned.granted),
            result => Err(DemoError::Fleet(format!("plan {} {result}", confirmed.plan))),
        }
    }

    /// Returns whether a node's view contains this number of members and of targets.
    pub(super) async fn has_full_view(&self, admin: SocketAddr, count: usize) -> bool {
        let Ok(status) = self.send::<StatusAnswer>(Method::GET, admin, "/v1/status", String::new()).await else {
            return false;
        };
        let members: usize = status.members.iter().map(|zone| zone.reachable).sum();
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
