//! Requests with the result of all their sends.

use fulmartrestle_derive::local;

use super::SendRow;
use crate::fleet::SendOutcome;
use crate::load::Arrival;

/// One request from its first to its last send.
#[local]
pub(crate) struct RequestRow {
    pub(crate) arrival: Arrival,
    /// Index of the first send in the table of sends.
    pub(crate) first_send_index: usize,
    /// End of the last send, in microseconds since the start of the load.
    pub(crate) ended_us: u64,
    /// Outcome of the last send.
    pub(crate) outcome: SendOutcome,
}

impl RequestRow {
    pub(crate) fn is_complete(&self) -> bool {
        matches!(self.outcome, SendOutcome::Whole { .. })
    }
}

/// Joins the sends of each request into one row. `sends` must be sorted by request number and send index.
pub(crate) fn join_sends(sends: &[SendRow]) -> Vec<RequestRow> {
    let mut requests: Vec<RequestRow> = Vec::new();
    for (index, send) in sends.iter().enumerate() {
        if send.send_index == 0 {
            requests.push(RequestRow {
                arrival: send.arrival,
                first_send_index: index,
                ended_us: send.ended_us,
                outcome: send.outcome.clone(),
            });
        } else if let Some(request) = requests.last_mut() {
            request.ended_us = send.ended_us;
            request.outcome = send.outcome.clone();
        }
    }
    requests
}
