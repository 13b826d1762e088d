//! Caller that sends requests to nodes round robin.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use fulmartrestle_platform_log::async_trait;

use super::http_sender::{HttpSender, NO_CONNECTION};
use super::{ClientCaller, ClientRequest, SendOutcome};

/// Maximum number of nodes that a client tries to connect to, without a delay between them.
const MAX_CONNECT_ATTEMPTS: usize = 3;

/// Sends requests to a list of nodes round robin.
pub(super) struct NodeCaller {
    nodes: Vec<SocketAddr>,
    next: AtomicUsize,
    sender: HttpSender,
}

impl NodeCaller {
    pub(super) fn new(nodes: Vec<SocketAddr>) -> Self {
        Self { nodes, next: AtomicUsize::new(0), sender: HttpSender::new() }
    }

    fn next_node(&self) -> SocketAddr {
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        self.nodes[turn % self.nodes.len()]
    }
}

#[async_trait]
impl ClientCaller for NodeCaller {
    async fn send(&self, request: &ClientRequest) -> SendOutcome {
        let mut outcome = SendOutcome::Failed { cause: NO_CONNECTION.to_owned() };
        for _ in 0..MAX_CONNECT_ATTEMPTS {
            outcome = self.sender.send(self.next_node(), request).await;
            let connected = !matches!(&outcome, SendOutcome::Failed { cause } if cause == NO_CONNECTION);
            if connected {
                break;
            }
        }
        outcome
    }
}
