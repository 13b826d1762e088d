//! Asking every node of the fleet the same question.

use std::time::Duration;

use fulmartrestle_membership::{MemberRow, MemberState};
use futures_util::stream::{self, StreamExt};

use crate::peer::{PeerClient, PeerError};
use crate::state::NodeState;
use fulmartrestle_core::lock;

/// Nodes asked at one time. Each costs a connection for the moment.
const CONCURRENT_NODES: usize = 32;

/// Time for one node's answer, in milliseconds.
const NODE_TIMEOUT_MS: u64 = 2_000;

/// What the other nodes answered.
pub struct FleetResponses<T> {
    /// One answer for each node that gave one.
    pub answers: Vec<T>,
    /// The nodes that did not answer.
    pub missing: Vec<MemberRow>,
}

/// Asks all nodes but this one. Each is asked over a connection of its own, which is closed again: a
/// question must not leave this node connected to the whole fleet.
pub async fn query_all_nodes<T, F>(state: &NodeState, question: impl Fn(PeerClient) -> F) -> FleetResponses<T>
where
    F: Future<Output = Result<T, PeerError>>,
{
    let others: Vec<MemberRow> = {
        let membership = lock(&state.membership);
        let members = membership.members(state.clock.now());
        members.filter(|row| row.vm != state.own && row.state != MemberState::Dead).collect()
    };
    let question = &question;
    let asked = stream::iter(others).map(|row| async move {
        let answer = ask(state, &row, question).await;
        (row, answer)
    });
    let mut asked = asked.buffer_unordered(CONCURRENT_NODES);
    let mut gathered = FleetResponses { answers: Vec::new(), missing: Vec::new() };
    while let Some((row, answer)) = asked.next().await {
        match answer {
            Ok(answer) => gathered.answers.push(answer),
            Err(error) => {
                log::debug!("gather: {} did not answer: {error}", row.vm);
                gathered.missing.push(row);
            }
        }
    }
    gathered
}

async fn ask<T, F>(state: &NodeState, row: &MemberRow, question: &impl Fn(PeerClient) -> F) -> Result<T, PeerError>
where
    F: Future<Output = Result<T, PeerError>>,
{
    if !state.allows(row.peer_address) {
        return Err(PeerError::Connect("cut off".to_owned()));
    }
    let asked = async { question(PeerClient::connect(row.peer_address).await?).await };
    let answered = tokio::time::timeout(Duration::from_millis(NODE_TIMEOUT_MS), asked);
    answered.await.map_err(|_| PeerError::Connect("no answer in time".to_owned()))?
}
