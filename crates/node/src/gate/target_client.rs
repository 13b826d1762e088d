//! The connections to the own target.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use quick_error::quick_error;

use super::local_target::TargetProtocol;
use crate::body::ByteBody;

/// Time for a new connection. The target is on the same VM.
const CONNECT_TIMEOUT_MS: u64 = 250;

/// Idle connections are closed after this time, before targets with the customary minute close them
/// while a call is on its way.
const IDLE_TIMEOUT_MS: u64 = 20_000;

quick_error! {
    /// A call that the target did not answer.
    #[derive(Debug)]
    pub enum TargetError {
        /// No connection could be made: the target was not handed the call.
        Connect(detail: String) {
            display("can't connect to the target: {}", detail)
        }
        /// The connection failed while the target had the call.
        Lost(detail: String) {
            display("connection to the target was lost: {}", detail)
        }
    }
}

type PooledClient = Client<HttpConnector, ByteBody>;

/// Connections to one target address, replaced together when one of them falls silent.
pub struct TargetClient {
    client: Mutex<PooledClient>,
    protocol: TargetProtocol,
}

impl TargetClient {
    /// Returns a client for targets of one protocol.
    pub fn new(protocol: TargetProtocol) -> Self {
        Self { client: Mutex::new(build(protocol)), protocol }
    }

    /// Returns the protocol that the client speaks.
    pub fn protocol(&self) -> TargetProtocol {
        self.protocol
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns [`TargetError::Connect`] when the target certainly did not get the request.
    pub async fn send(&self, request: Request<ByteBody>) -> Result<Response<Incoming>, TargetError> {
        let client = self.client.lock().unwrap_or_else(PoisonError::into_inner).clone();
        client.request(request).await.map_err(|error| {
            if error.is_connect() { TargetError::Connect(chain(&error)) } else { TargetError::Lost(chain(&error)) }
        })
    }

    /// Replaces all connections. Running calls keep theirs until they end.
    pub fn replace_pool(&self) {
        *self.client.lock().unwrap_or_else(PoisonError::into_inner) = build(self.protocol);
    }
}

/// Tells whether a new connection to the target can be made.
pub async fn probe(address: SocketAddr) -> bool {
    let connecting = tokio::net::TcpStream::connect(address);
    matches!(tokio::time::timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connecting).await, Ok(Ok(_)))
}

fn build(protocol: TargetProtocol) -> PooledClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS))
        .http2_only(protocol == TargetProtocol::H2c)
        .build(connector)
}

/// Returns an error's text with those of its sources.
fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(inner) = source {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        source = inner.source();
    }
    text
}
