//! Answers of the platform's log, as the pure code sees them.

use fulmartrestle_core::{LogOffset, number_newtype};
use fulmartrestle_derive::local;

use crate::replica::CertificationResult;

number_newtype!(
    /// Identifies one read or append of one node, so that its answer finds what waits for it.
    LogRequestId,
    u64,
    "log request_id"
);

/// The answer to an append.
#[local]
#[derive(Copy, Eq)]
pub enum AppendResult {
    /// The record stands at this offset.
    Appended(LogOffset),
    /// The record was not written, for certain.
    Refused,
    /// No answer came; the record may have been written, or may still be.
    Unknown,
}

/// The answer to a read.
#[local]
#[derive(Eq)]
pub enum ReadResult {
    /// Records in a row.
    Records {
        /// Offset of the first one.
        from: LogOffset,
        /// The records.
        records: Vec<Vec<u8>>,
        /// The offset that the next append will get, as far as the log knew when it answered.
        end: LogOffset,
    },
    /// The wanted record is gone.
    Trimmed {
        /// The first record that is still held.
        first: LogOffset,
    },
    /// The log can't be reached.
    Unavailable,
}

/// What became of a confirm.
#[local]
#[derive(Copy, Eq)]
pub enum ConfirmOutcome {
    /// The plan was decided on, the same on every node.
    Decided(CertificationResult),
    /// The log is out of reach and this confirm wrote nothing; nothing changes unless the plan is
    /// confirmed elsewhere.
    NotAppended,
    /// The log did not answer in time; the plan may commit later. Confirming it again is harmless.
    Unknown,
}
