//! What can go wrong with the log.

// `quick_error!` takes no attributes on the fields of a variant; the variants' texts name them.
#![allow(missing_docs)]

use fulmartrestle_core::LogOffset;
use quick_error::quick_error;

quick_error! {
    /// Why an append or a read failed. The first two differ in what a writer may conclude.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum LogError {
        /// The log is out of reach and nothing was written.
        Unavailable {
            display("platform log: unavailable, nothing was written")
        }
        /// No answer came back after the request went out; the records may have been written.
        ResponseLost {
            display("platform log: no answer, the records may have been written")
        }
        /// The wanted records are older than the log keeps.
        Trimmed { first: LogOffset } {
            display("platform log: trimmed, the oldest record held has offset {first}")
        }
        /// The request or its answer makes no sense; the text names the offending value.
        BadRequest(reason: String) {
            display("platform log: bad request: {reason}")
        }
    }
}
