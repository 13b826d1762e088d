//! The connections of this node to its peers.

use std::net::SocketAddr;

use fulmartrestle_transport::PeerConnectionPool;

use super::{PeerClient, PeerError};

/// One connection per peer address, made on first use.
#[derive(Default)]
pub struct PeerPool(PeerConnectionPool);

impl PeerPool {
    /// Returns a connection to `address`, a new one when the old one is gone.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Connect`] when the peer can't be reached.
    pub async fn link(&self, address: SocketAddr) -> Result<PeerClient, PeerError> {
        self.0.connection(address).await.map(PeerClient::from)
    }

    /// Forgets peers that are no longer members, so that their connections close.
    pub fn retain(&self, is_member: impl Fn(&SocketAddr) -> bool) {
        self.0.retain(is_member);
    }
}
