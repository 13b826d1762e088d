//! Records of keyed streams, which keep the latest record of each key.

use fulmartrestle_core::LogOffset;
use fulmartrestle_derive::record;

use crate::LogEntry;

/// A record with a key. It is encoded as the length of the key in one byte, the key, and the value.
#[record]
pub struct KeyedRecord {
    /// Offset of the record in its stream.
    pub offset: LogOffset,
    /// The key, at most 255 bytes long.
    pub key: String,
    /// The value. A record with an empty value is a tombstone: it removes the key.
    pub value: Vec<u8>,
}

/// The latest record of each key, and the end of the stream.
#[record]
pub struct LatestRecords {
    /// One record per key.
    pub records: Vec<KeyedRecord>,
    /// Offset at which a reader that has these records continues.
    pub end_offset: LogOffset,
}

impl KeyedRecord {
    /// Decodes the key and the value of an entry. Returns `None` if the payload is not a valid keyed record.
    pub fn decode(entry: &LogEntry) -> Option<Self> {
        let (length, rest) = entry.payload.split_first()?;
        let (key, value) = rest.split_at_checked(usize::from(*length))?;
        let key = String::from_utf8(key.to_vec()).ok()?;
        Some(Self { offset: entry.offset, key, value: value.to_vec() })
    }

    /// Encodes a key and its value. Keys longer than 255 bytes are truncated, because the length takes one byte.
    pub fn encode(key: &str, value: &[u8]) -> Vec<u8> {
        let key = &key.as_bytes()[..key.len().min(usize::from(u8::MAX))];
        let mut payload = vec![key.len() as u8];
        payload.extend_from_slice(key);
        payload.extend_from_slice(value);
        payload
    }
}
