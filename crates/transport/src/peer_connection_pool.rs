//! The connections of one node.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use crate::{PeerConnection, PeerError};

/// One connection per peer address, made on first use.
#[derive(Default)]
pub struct PeerConnectionPool {
    connections: Mutex<HashMap<SocketAddr, Arc<Slot>>>,
}

/// Place of one peer's connection. The lock keeps concurrent calls from connecting twice.
#[derive(Default)]
struct Slot {
    link: tokio::sync::Mutex<Option<PeerConnection>>,
}

impl PeerConnectionPool {
    /// Returns a connection to `address`, a new one when the old one is gone.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Connect`] when the peer can't be reached.
    pub async fn connection(&self, address: SocketAddr) -> Result<PeerConnection, PeerError> {
        let slot = self.slot(address);
        let mut place = slot.link.lock().await;
        if let Some(link) = place.as_ref().filter(|link| !link.is_closed()) {
            return Ok(link.clone());
        }
        let link = PeerConnection::connect(address).await?;
        *place = Some(link.clone());
        Ok(link)
    }

    /// Forgets peers that are no longer members, so that their connections close.
    pub fn retain(&self, is_member: impl Fn(&SocketAddr) -> bool) {
        self.lock().retain(|address, _| is_member(address));
    }

    fn slot(&self, address: SocketAddr) -> Arc<Slot> {
        Arc::clone(self.lock().entry(address).or_default())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Arc<Slot>>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
