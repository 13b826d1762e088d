//! One send of a request.

use fulmartrestle_derive::local;

use crate::fleet::SendOutcome;
use crate::load::Arrival;

/// One send, as the client saw it. Times count from the start of the load.
#[local]
pub struct SendRow {
    /// Number of the request.
    pub number: u64,
    /// Number of the send within the request.
    pub send: u32,
    /// The request's arrival.
    pub arrival: Arrival,
    /// When it was sent, in microseconds.
    pub sent_us: u64,
    /// When it was answered or given up, in microseconds.
    pub ended_us: u64,
    /// How it ended.
    pub outcome: SendOutcome,
}
