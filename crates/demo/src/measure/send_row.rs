//! Record of one send of a request.

use fulmartrestle_derive::local;

use crate::fleet::SendOutcome;
use crate::load::Arrival;

/// Record of one send by its client. Times are in microseconds since the start of the load.
#[local]
pub struct SendRow {
    /// Number of the request in the run.
    pub request_number: u64,
    /// Index of the send within the request, zero for the first send.
    pub send_index: u32,
    /// Arrival of the request.
    pub arrival: Arrival,
    /// When the request was sent.
    pub sent_us: u64,
    /// When the response was received or the client gave up.
    pub ended_us: u64,
    /// Outcome of the send.
    pub outcome: SendOutcome,
}
