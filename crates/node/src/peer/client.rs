//! One connection to one peer.

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

/// Longest answer to a question, in bytes: the outcome of a call that runs at most once.
const MAX_RESPONSE_BYTES: usize = 5 << 20;

/// The answer to a call, with the body still on its way.
pub struct PeerResponse {
    /// The answer's head.
    pub head: ResponseHead,
    /// The answer's body.
    pub body: ByteBody,
}

/// A link to a peer, with the messages that nodes exchange over it.
#[derive(Clone)]
pub struct PeerClient(PeerConnection);

impl From<PeerConnection> for PeerClient {
    fn from(link: PeerConnection) -> Self {
        Self(link)
    }
}

impl PeerClient {
    /// Connects to a peer.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Connect`] when no connection came up in time.
    pub async fn connect(address: SocketAddr) -> Result<Self, PeerError> {
        PeerConnection::connect(address).await.map(Self)
    }

    /// Tells whether the connection is gone.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }

    /// Sends a call and waits for the answer's head. Dropping the future resets the stream, which
    /// cancels the call at the peer.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::NotSent`] when the peer certainly did not get the call.
    pub async fn call(&self, head: &CallHead, body: ByteBody) -> Result<PeerResponse, PeerError> {
        let (head, body) = self.0.exchange("/call", head, body).await?;
        Ok(PeerResponse { head, body })
    }

    /// Sends a control message that needs no answer.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] when the peer did not confirm it.
    pub async fn notify(&self, envelope: &ControlEnvelope) -> Result<(), PeerError> {
        let status = self.0.post("/control", Bytes::from(encode(envelope)?)).await?;
        if status.is_success() { Ok(()) } else { Err(PeerError::StreamFailed(format!("peer answered {status}"))) }
    }

    /// Asks for the outcome of a call that runs at most once, waiting while it runs.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] when the peer did not answer.
    pub async fn call_outcome(&self, key: ClaimKey) -> Result<Option<AtMostOnceOutcome>, PeerError> {
        self.ask("/outcome", encode_head(&key)?).await
    }

    /// Asks how the requests that the peer took in ended.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] when the peer did not answer.
    pub async fn burn_summary(&self) -> Result<BurnSummary, PeerError> {
        self.ask("/burn", Bytes::new()).await
    }

    /// Asks for the rates of the requests that the peer takes in.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] when the peer did not answer.
    pub async fn traffic(&self) -> Result<Vec<ObservedTraffic>, PeerError> {
        self.ask("/traffic", Bytes::new()).await
    }

    /// Sends a question and reads the whole answer.
    async fn ask<T: DeserializeOwned>(&self, path: &str, question: Bytes) -> Result<T, PeerError> {
        self.0.request(path, question, MAX_RESPONSE_BYTES).await
    }
}
