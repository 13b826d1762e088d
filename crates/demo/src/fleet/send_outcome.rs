//! Outcome of one send of a request, as seen by its caller.

use fulmartrestle_derive::local;

/// Outcome of one send of a request.
#[local]
#[derive(Eq)]
pub enum SendOutcome {
    /// The complete response to this request was received.
    Whole {
        /// Time that the request spent in the target, in microseconds.
        in_target_us: u64,
    },
    /// The request was refused and did not run, according to the refusal.
    NotRun {
        /// Reason in the refusal.
        reason: String,
    },
    /// The request was refused and may have run, according to the refusal.
    Unknown {
        /// Reason in the refusal.
        reason: String,
    },
    /// No complete response or refusal was received, so that the request may have run.
    Failed {
        /// Description of the failure.
        cause: String,
    },
    /// A complete response to another request was received, which must never happen.
    WrongAnswer,
}

impl SendOutcome {
    /// Returns the label under which the report counts this outcome.
    pub fn label(&self) -> String {
        match self {
            Self::Whole { .. } => "whole".to_owned(),
            Self::NotRun { reason } => format!("not run: {reason}"),
            Self::Unknown { reason } => format!("unknown: {reason}"),
            Self::Failed { cause } => format!("failed: {cause}"),
            Self::WrongAnswer => "wrong answer".to_owned(),
        }
    }
}
