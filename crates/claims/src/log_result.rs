//! What the platform's log answered.

use fulmartrestle_core::LogOffset;
use fulmartrestle_derive::{local, value};

use crate::ClaimBatch;

/// The result of an append.
#[value]
pub enum AppendResult {
    /// The batch was written at this offset.
    Written(LogOffset),
    /// The batch was certainly not written and never will be.
    Unavailable,
    /// No answer: the batch may have been written, or may still be.
    ResponseLost,
}

/// A page of a stream.
#[local]
#[derive(Eq)]
pub struct ReadPage {
    /// Batches in log order, without holes from the first offset on.
    pub batches: Vec<ClaimBatch>,
    /// The offset that the next append gets.
    pub end_offset: LogOffset,
    /// The lowest offset that the log still keeps.
    pub trimmed_before: LogOffset,
}

/// The result of a read.
#[local]
#[derive(Eq)]
pub enum ReadResult {
    /// Part of the stream from the wanted offset on.
    Page(ReadPage),
    /// The log can't be read.
    Unavailable,
}
