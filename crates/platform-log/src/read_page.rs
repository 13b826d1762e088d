//! The answer to one read.

use fulmartrestle_core::LogOffset;
use fulmartrestle_derive::record;

use crate::LogEntry;

/// Some consecutive records of a stream, and where the stream begins and ends.
#[record]
pub struct ReadPage {
    /// The records, in the order of their offsets; empty when the reader has reached the end.
    pub records: Vec<LogEntry>,
    /// Where the next read continues.
    pub next_offset: LogOffset,
    /// One more than the offset of the stream's last record.
    pub end_offset: LogOffset,
    /// Offset of the oldest record that is still held.
    pub first_offset: LogOffset,
}
