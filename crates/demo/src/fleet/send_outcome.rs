//! What became of one send of a request, as its caller saw it.

use fulmartrestle_derive::local;

/// The end of one send.
#[local]
#[derive(Eq)]
pub enum SendOutcome {
    /// The whole answer to this request came.
    Whole {
        /// Time that the request spent in the target, in microseconds.
        in_target_us: u64,
    },
    /// A refusal that says that the request was not run.
    NotRun {
        /// The reason that it names.
        reason: String,
    },
    /// A refusal that says that the request may have run.
    Unknown {
        /// The reason that it names.
        reason: String,
    },
    /// No whole answer, and nothing is said about the work.
    Failed {
        /// What happened.
        cause: String,
    },
    /// A whole answer to another request. That is never right.
    WrongAnswer,
}

impl SendOutcome {
    /// Returns what a summary counts this end under.
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
