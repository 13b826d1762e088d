//! One request with all its sends.

use fulmartrestle_derive::local;

use super::SendRow;
use crate::fleet::SendOutcome;
use crate::load::Arrival;

/// One request from its first send to its end.
#[local]
pub(crate) struct RequestRow {
    pub(crate) arrival: Arrival,
    pub(crate) first_send: usize,
    pub(crate) ended_us: u64,
    /// How the last send ended.
    pub(crate) outcome: SendOutcome,
}

impl RequestRow {
    pub(crate) fn is_whole(&self) -> bool {
        matches!(self.outcome, SendOutcome::Whole { .. })
    }
}

/// Joins the sends of each request. `sends` must be in the order of request and send number; the rows'
/// `first_send` are places in it.
pub(crate) fn join_sends(sends: &[SendRow]) -> Vec<RequestRow> {
    let mut requests: Vec<RequestRow> = Vec::new();
    for (index, send) in sends.iter().enumerate() {
        if send.send == 0 {
            requests.push(RequestRow {
                arrival: send.arrival,
                first_send: index,
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
