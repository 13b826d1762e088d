//! Records of the configuration stream.

use fulmartrestle_derive::record;

use super::SnapshotPart;
use crate::plan::Plan;

/// Maximum size of a record that is decoded, in bytes. It limits the memory that a node allocates for a corrupt
/// record, and is well above the largest ones written: plans of 128 KiB and snapshot parts of 64 KiB.
pub const MAX_RECORD_BYTES: usize = 512 << 10;

/// First byte of every record, which distinguishes this format from later ones.
const FORMAT_VERSION: u8 = 1;

/// One record of the configuration stream.
#[record]
pub enum LogRecord {
    /// A plan that an operator has confirmed.
    Confirm(Plan),
    /// A part of a snapshot of the replicated state.
    Snapshot(SnapshotPart),
    /// A record that can't be decoded. Every reader skips it; it is never written.
    Unreadable,
}

impl LogRecord {
    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding plain data to memory can't fail. Readers would skip an empty record.
        let body = bincode::serde::encode_to_vec(self, bincode::config::standard()).unwrap_or_default();
        let mut bytes = Vec::with_capacity(body.len() + 1);
        bytes.push(FORMAT_VERSION);
        bytes.extend(body);
        bytes
    }

    /// Decodes a record. Every reader turns invalid bytes into [`LogRecord::Unreadable`], so that one bad record
    /// does not stop the stream.
    pub fn decode(bytes: &[u8]) -> Self {
        let Some((&FORMAT_VERSION, body)) = bytes.split_first() else { return Self::Unreadable };
        let config = bincode::config::standard().with_limit::<MAX_RECORD_BYTES>();
        match bincode::serde::decode_from_slice(body, config) {
            Ok((record, length)) if length == body.len() => record,
            _ => Self::Unreadable,
        }
    }
}
