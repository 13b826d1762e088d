//! Faults of the network that tests and the demo bring about.

use std::net::SocketAddr;

/// Tells whether packets get from one node to another. It stands at the border to the network, so
/// that a cut between zones can be brought about in one process.
pub trait LinkFaults: Send + Sync {
    /// Returns whether packets from `from` reach `to`, both peer addresses of nodes.
    fn allows(&self, from: SocketAddr, to: SocketAddr) -> bool;
}

/// A network without faults.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoLinkFaults;

impl LinkFaults for NoLinkFaults {
    fn allows(&self, _from: SocketAddr, _to: SocketAddr) -> bool {
        true
    }
}
