//! Injection of network faults, for tests and the demo.

use std::net::SocketAddr;

/// Decides whether packets can pass between two nodes.
///
/// It is consulted wherever a node accesses the network, so that a network partition can be simulated within one
/// process.
pub trait LinkFaults: Send + Sync {
    /// Returns whether packets from `from` reach `to`. Both are peer addresses of nodes.
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
