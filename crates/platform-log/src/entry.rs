//! One record as it is read back from a stream.

use fulmartrestle_core::LogOffset;
use fulmartrestle_derive::record;

/// One record of a stream.
#[record]
pub struct LogEntry {
    /// The record's place in its stream; the first record of a stream has offset zero.
    pub offset: LogOffset,
    /// The bytes that were appended.
    pub payload: Vec<u8>,
}
