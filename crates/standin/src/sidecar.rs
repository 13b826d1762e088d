//! Calls to other services through the target's own node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::{CONTEXT_HEADER, ChildCaller, ChildError, ChildRequest, REQUEST_ID_HEADER, StandinSettings};

/// Sends calls to the address at which the target's own node accepts calls.
#[derive(Clone, Debug)]
pub struct SidecarCaller {
    node_caller: SocketAddr,
    timeout: Duration,
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl SidecarCaller {
    /// Returns a caller that sends to `node_caller` and gives up after `timeout_ms` milliseconds.
    pub fn new(node_caller: SocketAddr, timeout_ms: u64) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { node_caller, timeout: Duration::from_millis(timeout_ms), client }
    }

    /// Returns a caller that sends to the node in `settings`, or `None` if they name no node.
    pub(crate) fn from_settings(settings: &StandinSettings) -> Option<Arc<dyn ChildCaller>> {
        let node_caller = settings.node_caller?;
        Some(Arc::new(Self::new(node_caller, settings.child_timeout_ms)))
    }

    async fn exchange(&self, request: Request<Empty<Bytes>>) -> Result<(), ChildError> {
        let no_response = |error: &dyn std::error::Error| ChildError::NoResponse(error.to_string());
        let response = self.client.request(request).await.map_err(|error| no_response(&error))?;
        let status = response.status().as_u16();
        response.into_body().collect().await.map_err(|error| no_response(&error))?;
        if status == 200 { Ok(()) } else { Err(ChildError::Status(status)) }
    }
}

#[async_trait]
impl ChildCaller for SidecarCaller {
    async fn call(&self, request: ChildRequest) -> Result<(), ChildError> {
        let mut builder = Request::get(format!("http://{}{}", self.node_caller, request.path));
        if let Some(context) = request.context {
            builder = builder.header(CONTEXT_HEADER, context);
        }
        if let Some(request_id) = request.request_id {
            builder = builder.header(REQUEST_ID_HEADER, request_id);
        }
        let request = builder.body(Empty::new()).map_err(|error| ChildError::NoResponse(error.to_string()))?;
        let timed_out = || Err(ChildError::NoResponse(format!("timed out after {} ms", self.timeout.as_millis())));
        tokio::time::timeout(self.timeout, self.exchange(request)).await.unwrap_or_else(|_| timed_out())
    }
}
