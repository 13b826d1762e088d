//! Why a request was refused, or which target it went to, kept for a short time.

use std::collections::VecDeque;

use fulmartrestle_api::RequestDecision;

/// Decisions kept. Each is a short line of text, so that the log stays a small part of the node's memory.
const MAX_DECISIONS: usize = 4_096;

/// The latest decisions, oldest first.
#[derive(Debug, Default)]
pub struct DecisionLog {
    rows: VecDeque<RequestDecision>,
}

impl DecisionLog {
    /// Adds a decision and drops the oldest beyond the bound.
    pub fn push(&mut self, decision: RequestDecision) {
        if self.rows.len() == MAX_DECISIONS {
            self.rows.pop_front();
        }
        self.rows.push_back(decision);
    }

    /// Returns the decisions about one request.
    pub fn of(&self, request_id: &str) -> Vec<RequestDecision> {
        self.rows.iter().filter(|row| row.request_id == request_id).cloned().collect()
    }

    /// Returns the latest decisions, newest first.
    pub fn latest(&self, count: usize) -> Vec<RequestDecision> {
        self.rows.iter().rev().take(count).cloned().collect()
    }
}
