//! Results of requests to the platform's log.

use fulmartrestle_core::LogOffset;
use fulmartrestle_derive::{local, value};

use crate::ClaimBatch;

/// Result of an append.
#[value]
pub enum AppendResult {
    /// The batch has been written at this offset.
    Written(LogOffset),
    /// The batch was certainly not written and never will be.
    Unavailable,
    /// The response was lost. The batch may have been written, or may be written later.
    ResponseLost,
}

/// A page of batches read from a stream.
#[local]
#[derive(Eq)]
pub struct ReadPage {
    /// Consecutive batches in log order, starting at the first offset requested or retained.
    pub batches: Vec<ClaimBatch>,
    /// Offset that the next append will get.
    pub end_offset: LogOffset,
    /// Lowest offset that the log still retains. All earlier records have been trimmed.
    pub trimmed_before: LogOffset,
}

/// Result of a read.
#[local]
#[derive(Eq)]
pub enum ReadResult {
    /// The page that starts at the requested offset.
    Page(ReadPage),
    /// The log cannot be reached.
    Unavailable,
}
