//! Snapshots of the state, and the parts they travel in.

use fulmartrestle_core::LogOffset;
use fulmartrestle_derive::record;

use super::logged_snapshots::LoggedSnapshots;
use super::{ConfigHash, History};
use crate::fleet::{FleetConfig, bytes_newtype};

/// Bytes in one part of a snapshot: small enough for a record of the log and for a message that
/// doesn't hold up others on the same connection.
pub const SNAPSHOT_PART_BYTES: usize = 64 << 10;

/// Largest snapshot that is read, in bytes. A node may hold 32 MB in all.
const MAX_SNAPSHOT_BYTES: usize = 16 << 20;

bytes_newtype!(
    /// Hash of a snapshot's bytes. Replicas at the same offset write the same bytes.
    SnapshotId,
    16,
    "snapshot id"
);

/// The whole replicated state.
#[record]
pub struct Snapshot {
    /// The first record that is not in it.
    pub next_offset: LogOffset,
    /// The configuration.
    pub config: FleetConfig,
    /// The last decided plans.
    pub history: History,
    /// The hash over all applied records.
    pub hash: ConfigHash,
    /// The snapshots that stand in the log.
    pub(super) logged: LoggedSnapshots,
}

impl Snapshot {
    /// Returns the parts, which are to be sent or appended in order.
    pub fn parts(&self, written_at_unix_ms: i64) -> Vec<SnapshotPart> {
        // Encoding plain data to memory can't fail; an empty snapshot would not be adopted.
        let bytes = bincode::serde::encode_to_vec(self, bincode::config::standard()).unwrap_or_default();
        let id = SnapshotId::from_content(&bytes);
        let chunks = bytes.chunks(SNAPSHOT_PART_BYTES);
        let count = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
        let part = |(index, chunk): (u32, &[u8])| SnapshotPart {
            id,
            next_offset: self.next_offset,
            index,
            count,
            written_at_unix_ms,
            bytes: chunk.to_vec(),
        };
        (0..count).zip(chunks).map(part).collect()
    }

    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        let config = bincode::config::standard().with_limit::<MAX_SNAPSHOT_BYTES>();
        bincode::serde::decode_from_slice(bytes, config).ok().map(|(snapshot, _)| snapshot)
    }
}

impl SnapshotId {
    pub(super) fn from_content(bytes: &[u8]) -> Self {
        let mut id = [0; 16];
        blake3::Hasher::new().update(bytes).finalize_xof().fill(&mut id);
        Self(id)
    }
}

/// One part of a snapshot.
#[record]
pub struct SnapshotPart {
    /// The snapshot.
    pub id: SnapshotId,
    /// The first record that is not in the snapshot.
    pub next_offset: LogOffset,
    /// This part's place, from zero.
    pub index: u32,
    /// The number of parts.
    pub count: u32,
    /// When the snapshot was written, in milliseconds since 1970 in UTC.
    pub written_at_unix_ms: i64,
    /// The part's bytes.
    pub bytes: Vec<u8>,
}

impl SnapshotPart {
    /// Returns the part without its bytes: all that a replica needs that has the state already.
    pub fn without_bytes(&self) -> Self {
        Self { bytes: Vec::new(), ..self.clone() }
    }
}
