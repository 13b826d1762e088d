//! HTTP client for the local target.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use fulmartrestle_policy::ProbeResult;
use fulmartrestle_transport::InterimResponses;
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use quick_error::quick_error;

use super::local_target::TargetProtocol;
use crate::body::ByteBody;

/// Timeout for a new connection, in milliseconds. It is short, because the target runs on the same VM.
const CONNECT_TIMEOUT_MS: u64 = 250;

/// Time after which idle connections are closed, in milliseconds. It is shorter than the usual idle timeout of
/// servers (one minute), so that the target doesn't close a connection while a call is being sent on it.
const IDLE_TIMEOUT_MS: u64 = 20_000;

/// Largest read buffer of a connection, in bytes, which is also the largest head of a response. A connection that is given
/// up reads some more buffers before it closes.
const READ_BUFFER_BYTES: usize = 64 * 1024;

quick_error! {
    /// An error of a call that got no response from the target.
    #[derive(Debug)]
    pub enum TargetError {
        /// The connection could not be established, so the target did not receive the call.
        Connect(detail: String) {
            display("cannot connect to the target: {}", detail)
        }
        /// The connection failed after the call was sent, so the target may have run it.
        ConnectionLost(detail: String) {
            display("connection to the target was lost: {}", detail)
        }
        /// The target sent what is no response, and the connection was closed. It may have run the call.
        Invalid(detail: String) {
            display("invalid response of the target: {}", detail)
        }
    }
}

type PooledClient = Client<HttpConnector, ByteBody>;

/// Connection pool of the local target. The whole pool is replaced when one connection becomes unresponsive.
pub struct TargetClient {
    client: Mutex<PooledClient>,
    protocol: TargetProtocol,
}

impl TargetClient {
    /// Returns a client for targets that accept `protocol`.
    pub fn new(protocol: TargetProtocol) -> Self {
        Self { client: Mutex::new(build_client(protocol)), protocol }
    }

    /// Returns the protocol that the client uses.
    pub fn protocol(&self) -> TargetProtocol {
        self.protocol
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns [`TargetError::Connect`] when the target certainly did not receive the request,
    /// [`TargetError::ConnectionLost`] when it may have, and [`TargetError::Invalid`] when it sent too many interim
    /// responses or changed the protocol, which no request asks for.
    pub async fn send(&self, mut request: Request<ByteBody>) -> Result<Response<Incoming>, TargetError> {
        let client = self.client.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let interim_responses = InterimResponses::watch(&mut request);
        let sent = tokio::select! {
            sent = client.request(request) => sent,
            detail = interim_responses.exceeded() => return Err(TargetError::Invalid(detail)),
        };
        match sent {
            Ok(response) if response.status().is_informational() => {
                Err(TargetError::Invalid(format!("status {}", response.status())))
            }
            Ok(response) => Ok(response),
            Err(error) if error.is_connect() => Err(TargetError::Connect(error_chain(&error))),
            Err(error) => Err(TargetError::ConnectionLost(error_chain(&error))),
        }
    }

    /// Replaces the pool with an empty one. Running calls keep their connections until they end.
    pub fn replace_pool(&self) {
        *self.client.lock().unwrap_or_else(PoisonError::into_inner) = build_client(self.protocol);
    }
}

/// Connects to the target and closes the connection again.
pub async fn probe(address: SocketAddr) -> ProbeResult {
    let connecting = tokio::net::TcpStream::connect(address);
    match tokio::time::timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connecting).await {
        Ok(Ok(_)) => ProbeResult::Accepted,
        Ok(Err(error)) if matches!(error.kind(), ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset) => {
            ProbeResult::Refused
        }
        Ok(Err(_)) | Err(_) => ProbeResult::NoAnswer,
    }
}

/// Returns whether a new connection to the target can be established in time.
pub async fn can_connect(address: SocketAddr) -> bool {
    probe(address).await == ProbeResult::Accepted
}

fn build_client(protocol: TargetProtocol) -> PooledClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS))
        .http2_only(protocol == TargetProtocol::H2c)
        .http1_max_buf_size(READ_BUFFER_BYTES)
        .build(connector)
}

/// Returns the message of an error, followed by those of its sources.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(inner) = source {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        source = inner.source();
    }
    text
}
