//! Results of requests to the platform log, and of confirmations that depend on them.

use fulmartrestle_core::{LogOffset, number_newtype};
use fulmartrestle_derive::local;

use crate::replica::CertificationResult;

number_newtype!(
    /// Identifies one read or append of one node, so that its result can be matched to the request.
    LogRequestId,
    u64,
    "log request id"
);

/// The result of an append.
#[local]
#[derive(Copy, Eq)]
pub enum AppendResult {
    /// The record was written at this offset.
    Appended(LogOffset),
    /// The log returned an error or could not be reached: the record was certainly not written.
    NotAppended,
    /// No response arrived: the record may have been written, or may be written later.
    Unknown,
}

/// The result of a read.
#[local]
#[derive(Eq)]
pub enum ReadResult {
    /// Consecutive records.
    Records {
        /// Offset of the first record.
        from: LogOffset,
        /// The encoded records.
        records: Vec<Vec<u8>>,
        /// Offset of the next append, as of the log's response.
        end: LogOffset,
    },
    /// The requested record has been trimmed.
    Trimmed {
        /// Offset of the first record that the log still holds.
        first: LogOffset,
    },
    /// The log could not be reached.
    Unavailable,
}

/// The outcome of confirming a plan.
#[local]
#[derive(Copy, Eq)]
pub enum ConfirmOutcome {
    /// The plan was certified, with the same result on every node.
    Decided(CertificationResult),
    /// This confirmation wrote nothing, because the log can't be reached. The plan does not commit unless it is
    /// confirmed at another node.
    NotAppended,
    /// The log did not respond in time. The plan may commit later; confirming it again is harmless.
    Unknown,
}
