//! The head of the answer to a call between two nodes.

use fulmartrestle_core::Refusal;
use fulmartrestle_derive::record;
use fulmartrestle_policy::{AdmissionLevel, AdmissionLevelReport};

use super::HeaderPair;

/// How a gate ended a call.
#[record]
pub enum Reply {
    /// The target answered; the body follows on the stream.
    Answer {
        /// HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: Vec<HeaderPair>,
    },
    /// The call was refused; no body follows.
    Refused(Refusal),
}

/// The head of an answer, with what the sender of the call learns about the target.
#[record]
pub struct ResponseHead {
    /// Answer or refusal.
    pub reply: Reply,
    /// What the gate admits now. It rides on every answer, so that overload needs no messages of its
    /// own to be known upstream.
    pub level: Option<AdmissionLevel>,
    /// What services further down the chain admit, as the sender knows it.
    pub reports: Vec<AdmissionLevelReport>,
    /// Retries of the allowance that were not spent.
    pub unspent_retries: u32,
    /// Whether the target was lost while it ran the call, which marks the request's fingerprint.
    pub target_lost: bool,
}
