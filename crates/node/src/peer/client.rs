//! Client of the protocol between nodes.

use std::net::SocketAddr;

use bytes::Bytes;
use fulmartrestle_burn::BurnSummary;
use fulmartrestle_claims::ClaimKey;
use fulmartrestle_config::plan::ObservedTraffic;
use fulmartrestle_transport::PeerConnection;
use serde::de::DeserializeOwned;

use super::control::ControlEnvelope;
use crate::body::ByteBody;
use crate::entry::AtMostOnceOutcome;
use crate::peer::PeerError;
use crate::wire::{CallHead, ResponseHead, encode, encode_head};

/// Maximum length of a buffered response, in bytes. The largest one is the outcome of a call that runs at most
/// once.
const MAX_RESPONSE_BYTES: usize = 5 << 20;

/// The response to a call, with the body not received yet.
pub struct PeerResponse {
    /// Result of the call, with the state of the target.
    pub head: ResponseHead,
    /// Body; empty when the call was refused.
    pub body: ByteBody,
}

/// A connection to a peer, with the requests that a node can send over it.
#[derive(Clone)]
pub struct PeerClient(PeerConnection);

impl From<PeerConnection> for PeerClient {
    fn from(connection: PeerConnection) -> Self {
        Self(connection)
    }
}

impl PeerClient {
    /// Connects to a peer.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Connect`] when the connection is not established in time.
    pub async fn connect(address: SocketAddr) -> Result<Self, PeerError> {
        PeerConnection::connect(address).await.map(Self)
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }

    /// Sends a call and waits for the head of the response. Dropping the future resets the stream, which
    /// cancels the call at the peer.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::NotSent`] when the peer certainly did not receive the call.
    pub async fn call(&self, head: &CallHead, body: ByteBody) -> Result<PeerResponse, PeerError> {
        let (head, body) = self.0.exchange("/call", head, body).await?;
        Ok(PeerResponse { head, body })
    }

    /// Sends a control message and waits for the peer's confirmation.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] when the peer did not confirm the message.
    pub async fn notify(&self, envelope: &ControlEnvelope) -> Result<(), PeerError> {
        let status = self.0.post("/control", Bytes::from(encode(envelope)?)).await?;
        if status.is_success() {
            Ok(())
        } else {
            Err(PeerError::StreamFailed(format!("peer responded with status {status}")))
        }
    }

    /// Requests the outcome of a call that runs at most once. The peer responds when the call has ended.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] when the peer did not respond.
    pub async fn call_outcome(&self, key: ClaimKey) -> Result<Option<AtMostOnceOutcome>, PeerError> {
        self.request("/outcome", encode_head(&key)?).await
    }

    /// Requests the outcome counts of the requests that entered at the peer.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] when the peer did not respond.
    pub async fn burn_summary(&self) -> Result<BurnSummary, PeerError> {
        self.request("/burn", Bytes::new()).await
    }

    /// Requests the rates of the requests that enter at the peer.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] when the peer did not respond.
    pub async fn traffic(&self) -> Result<Vec<ObservedTraffic>, PeerError> {
        self.request("/traffic", Bytes::new()).await
    }

    /// Sends a request and reads the whole response.
    async fn request<T: DeserializeOwned>(&self, path: &str, body: Bytes) -> Result<T, PeerError> {
        self.0.request(path, body, MAX_RESPONSE_BYTES).await
    }
}
