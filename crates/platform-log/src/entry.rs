//! A record read from a stream.

use fulmartrestle_core::LogOffset;
use fulmartrestle_derive::record;

/// A record read from a stream, with its offset.
#[record]
pub struct LogEntry {
    /// Offset of the record in its stream. The first record of a stream has offset zero.
    pub offset: LogOffset,
    /// The bytes as they were appended.
    pub payload: Vec<u8>,
}
