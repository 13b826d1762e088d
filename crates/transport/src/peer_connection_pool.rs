//! Pool of the connections of a node to its peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use crate::{PeerConnection, PeerError, PongObserver};

/// Holds one connection per peer address, established on first use.
#[derive(Default)]
pub struct PeerConnectionPool {
    connections: Mutex<HashMap<SocketAddr, Arc<PooledConnection>>>,
    observer: Option<PongObserver>,
}

/// Connection to one peer. Its lock prevents concurrent calls from connecting twice.
#[derive(Default)]
struct PooledConnection {
    connection: tokio::sync::Mutex<Option<PeerConnection>>,
}

impl PeerConnectionPool {
    /// Returns a pool that reports the answers to pings.
    pub fn with_observer(observer: PongObserver) -> Self {
        Self { observer: Some(observer), ..Self::default() }
    }

    /// Returns the connection to `address`. Establishes a new one when there is none or it is closed.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Connect`] when the connection cannot be established.
    pub async fn connection(&self, address: SocketAddr) -> Result<PeerConnection, PeerError> {
        let pooled = self.entry(address);
        let mut current = pooled.connection.lock().await;
        if let Some(connection) = current.as_ref().filter(|connection| !connection.is_closed()) {
            return Ok(connection.clone());
        }
        let connection = PeerConnection::connect_observed(address, self.observer.clone()).await?;
        *current = Some(connection.clone());
        Ok(connection)
    }

    /// Returns the connections that are open. One that is being established is left out.
    pub fn open_connections(&self) -> Vec<PeerConnection> {
        let connections = self.lock_connections();
        let open = connections.values().filter_map(|pooled| pooled.connection.try_lock().ok()?.clone());
        open.filter(|connection| !connection.is_closed()).collect()
    }

    /// Removes the connections to peers that are no longer members. They close once no call uses them.
    pub fn retain(&self, is_member: impl Fn(&SocketAddr) -> bool) {
        self.lock_connections().retain(|address, _| is_member(address));
    }

    fn entry(&self, address: SocketAddr) -> Arc<PooledConnection> {
        Arc::clone(self.lock_connections().entry(address).or_default())
    }

    fn lock_connections(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Arc<PooledConnection>>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
