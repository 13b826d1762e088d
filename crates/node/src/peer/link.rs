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
use crate::entry::OnceOutcome;
use crate::peer::PeerError;
use crate::wire::{AnswerHead, CallHead, encode, encode_head};

/// Longest answer to a question, in bytes: the outcome of a call that runs at most once.
const MAX_ANSWER_BYTES: usize = 5 << 20;

/// The answer to a call, with the body still on its way.
pub struct PeerAnswer {
    /// The answer's head.
    pub head: AnswerHead,
    /// The answer's body.
    pub body: ByteBody,
}

/// A link to a peer, with the messages that nodes exchange over it.
#[derive(Clone)]
pub struct PeerLink(PeerConnection);

impl From<PeerConnection> for PeerLink {
    fn from(link: PeerConnection) -> Self {
        Self(link)
    }
}

impl PeerLink {
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
    pub async fn call(&self, head: &CallHead, body: ByteBody) -> Result<PeerAnswer, PeerError> {
        let (head, body) = self.0.exchange("/call", head, body).await?;
        Ok(PeerAnswer { head, body })
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
    pub async fn known_outcome(&self, key: ClaimKey) -> Result<Option<OnceOutcome>, PeerError> {
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
        self.0.request(path, question, MAX_ANSWER_BYTES).await
    }
}
