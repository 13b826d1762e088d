//! Errors of the platform's log.

// `quick_error!` accepts no doc comments on variant fields; the comments of the variants describe them.
#![allow(missing_docs)]

use fulmartrestle_core::LogOffset;
use quick_error::quick_error;

quick_error! {
    /// Error of an append or a read. A writer needs the first two variants to tell whether its records
    /// may have been written.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum LogError {
        /// The log can't be reached or refused the request. Nothing was written.
        Unavailable {
            display("platform log: unavailable, nothing was written")
        }
        /// The request was sent but no valid response arrived. The records may have been written.
        ResponseLost {
            display("platform log: no response, the records may have been written")
        }
        /// The requested records are no longer held; `first` is the oldest offset that is.
        Trimmed { first: LogOffset } {
            display("platform log: trimmed, the oldest record held has offset {first}")
        }
        /// The request or its response is invalid; `reason` names the offending value.
        BadRequest(reason: String) {
            display("platform log: bad request: {reason}")
        }
    }
}
