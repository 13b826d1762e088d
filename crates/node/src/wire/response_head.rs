//! The head of the response to a call between two nodes.

use fulmartrestle_core::Refusal;
use fulmartrestle_derive::record;
use fulmartrestle_policy::{AdmissionLevel, AdmissionLevelReport, CrashMark};

use super::HeaderPair;

/// The result of a call at the gate.
#[record]
pub enum GateResult {
    /// The target responded; the body follows on the stream.
    Response {
        /// HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: Vec<HeaderPair>,
    },
    /// The call was refused; no body follows.
    Refused(Refusal),
}

/// The head of a response, with the state of the target and of the services behind it.
#[record]
pub struct ResponseHead {
    /// The target's response or a refusal.
    pub result: GateResult,
    /// Current admission level of the gate. It is sent with every response, so that upstream nodes detect overload
    /// without extra messages.
    pub admission_level: Option<AdmissionLevel>,
    /// Admission levels of services further down the chain, as last received by the responding node.
    pub downstream_levels: Vec<AdmissionLevelReport>,
    /// Number of retries of the allowance that were not spent.
    pub unspent_retries: u32,
    /// The mark of the request if the target has ended while it ran the call.
    pub crash: Option<CrashMark>,
}
