//! Queries to all nodes of the fleet.

use std::time::Duration;

use fulmartrestle_membership::{MemberRow, MemberState};
use futures_util::stream::{self, StreamExt};

use crate::peer::{PeerClient, PeerError};
use crate::state::NodeState;
use fulmartrestle_core::lock;

/// Maximum number of nodes queried concurrently. Each query opens a connection.
const MAX_CONCURRENT_QUERIES: usize = 32;

/// Timeout for the response of one node, in milliseconds.
const NODE_TIMEOUT_MS: u64 = 2_000;

/// Responses of the other nodes to a query.
pub struct FleetResponses<T> {
    /// Responses, one for each node that sent one.
    pub responses: Vec<T>,
    /// Nodes that did not respond.
    pub missing_nodes: Vec<MemberRow>,
}

/// Queries all nodes except this one.
///
/// Each query uses a separate connection that is closed afterwards, so that this node doesn't stay connected to the
/// whole fleet.
pub async fn query_all_nodes<T, F>(state: &NodeState, query: impl Fn(PeerClient) -> F) -> FleetResponses<T>
where
    F: Future<Output = Result<T, PeerError>>,
{
    let other_members: Vec<MemberRow> = {
        let membership = lock(&state.membership);
        let members = membership.members(state.clock.now());
        members.filter(|row| row.vm != state.local_vm && row.state != MemberState::Dead).collect()
    };
    let query = &query;
    let results = stream::iter(other_members).map(|row| async move {
        let response = query_node(state, &row, query).await;
        (row, response)
    });
    let mut results = results.buffer_unordered(MAX_CONCURRENT_QUERIES);
    let mut fleet = FleetResponses { responses: Vec::new(), missing_nodes: Vec::new() };
    while let Some((row, response)) = results.next().await {
        match response {
            Ok(response) => fleet.responses.push(response),
            Err(error) => {
                log::debug!("fleet query: no response from {}: {error}", row.vm);
                fleet.missing_nodes.push(row);
            }
        }
    }
    fleet
}

async fn query_node<T, F>(state: &NodeState, row: &MemberRow, query: &impl Fn(PeerClient) -> F) -> Result<T, PeerError>
where
    F: Future<Output = Result<T, PeerError>>,
{
    if !state.can_reach(row.peer_address) {
        return Err(PeerError::Connect("link blocked by fault injection".to_owned()));
    }
    let exchange = async { query(PeerClient::connect(row.peer_address).await?).await };
    let result = tokio::time::timeout(Duration::from_millis(NODE_TIMEOUT_MS), exchange);
    result.await.map_err(|_| PeerError::Connect("no response within the timeout".to_owned()))?
}
