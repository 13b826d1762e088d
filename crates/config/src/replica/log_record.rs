//! Records of the configuration's stream.

use fulmartrestle_derive::record;

use super::SnapshotPart;
use crate::plan::Plan;

/// Largest record that is read, in bytes: two snapshot parts. It bounds what a damaged record can
/// make a node allocate.
pub const MAX_RECORD_BYTES: usize = 512 << 10;

/// First byte of a record, so that a later format can be told apart.
const FORMAT: u8 = 1;

/// One record of the configuration's stream.
#[record]
pub enum LogRecord {
    /// An operator confirmed this plan.
    Confirm(Plan),
    /// A part of a snapshot of the state.
    Snapshot(SnapshotPart),
    /// A record that can't be read. Every reader passes over it; it is never written.
    Unreadable,
}

impl LogRecord {
    /// Returns the record's bytes.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding plain data to memory can't fail; an empty record would be passed over.
        let body = bincode::serde::encode_to_vec(self, bincode::config::standard()).unwrap_or_default();
        let mut bytes = Vec::with_capacity(body.len() + 1);
        bytes.push(FORMAT);
        bytes.extend(body);
        bytes
    }

    /// Reads a record. Bytes that are no record give [`LogRecord::Unreadable`], on every reader
    /// alike, since one bad record must not stop the stream.
    pub fn decode(bytes: &[u8]) -> Self {
        let Some((&FORMAT, body)) = bytes.split_first() else { return Self::Unreadable };
        let config = bincode::config::standard().with_limit::<MAX_RECORD_BYTES>();
        match bincode::serde::decode_from_slice(body, config) {
            Ok((record, length)) if length == body.len() => record,
            _ => Self::Unreadable,
        }
    }
}
