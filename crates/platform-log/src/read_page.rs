//! Result of a read.

use fulmartrestle_core::LogOffset;
use fulmartrestle_derive::record;

use crate::LogEntry;

/// Consecutive records of a stream, and the offsets between which the stream holds records.
#[record]
pub struct ReadPage {
    /// The records, in the order of their offsets; empty if the reader has reached the end of the stream.
    pub records: Vec<LogEntry>,
    /// Offset at which the next read continues.
    pub next_offset: LogOffset,
    /// One more than the offset of the stream's last record.
    pub end_offset: LogOffset,
    /// Offset of the oldest record that is still held.
    pub first_offset: LogOffset,
}
