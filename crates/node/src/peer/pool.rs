//! Pool of this node's connections to its peers.

use std::net::SocketAddr;

use fulmartrestle_transport::PeerConnectionPool;

use super::{PeerClient, PeerError};

/// One connection per peer address, established on first use.
#[derive(Default)]
pub struct PeerPool(PeerConnectionPool);

impl PeerPool {
    /// Returns a client for the peer at `address`, on a new connection if the previous one is closed.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Connect`] when no connection to the peer can be established.
    pub async fn client(&self, address: SocketAddr) -> Result<PeerClient, PeerError> {
        self.0.connection(address).await.map(PeerClient::from)
    }

    /// Removes the connections to peers that are no longer members, which closes them.
    pub fn retain(&self, is_member: impl Fn(&SocketAddr) -> bool) {
        self.0.retain(is_member);
    }
}
