//! Log of recent request decisions: why a request was refused, or which target it was sent to.

use std::collections::VecDeque;

use fulmartrestle_api::RequestDecision;

/// Maximum number of decisions kept. Each is a short line of text, so the log takes a small part of the node's
/// memory.
const MAX_DECISIONS: usize = 4_096;

/// The most recent decisions, oldest first.
#[derive(Debug, Default)]
pub struct DecisionLog {
    rows: VecDeque<RequestDecision>,
}

impl DecisionLog {
    /// Adds a decision and removes the oldest one when the limit is reached.
    pub fn push(&mut self, decision: RequestDecision) {
        if self.rows.len() == MAX_DECISIONS {
            self.rows.pop_front();
        }
        self.rows.push_back(decision);
    }

    /// Returns the decisions about one request, oldest first.
    pub fn for_request(&self, request_id: &str) -> Vec<RequestDecision> {
        self.rows.iter().filter(|row| row.request_id == request_id).cloned().collect()
    }

    /// Returns the most recent decisions, newest first.
    pub fn latest(&self, count: usize) -> Vec<RequestDecision> {
        self.rows.iter().rev().take(count).cloned().collect()
    }
}
