//! Snapshots of the replicated state, and the parts they are split into.

use fulmartrestle_core::LogOffset;
use fulmartrestle_derive::record;

use super::logged_snapshots::LoggedSnapshots;
use super::{ConfigHash, History};
use crate::fleet::{FleetConfig, bytes_newtype};

/// Size of a snapshot part, in bytes: small enough for one log record and for one message that does not delay
/// other messages on the same connection.
pub const SNAPSHOT_PART_BYTES: usize = 64 << 10;

/// Maximum size of a snapshot that is decoded, in bytes. A node may use 32 MB of memory in all.
const MAX_SNAPSHOT_BYTES: usize = 16 << 20;

bytes_newtype!(
    /// Hash of a snapshot's bytes. Replicas at the same offset produce the same bytes.
    SnapshotId,
    16,
    "snapshot id"
);

/// The whole replicated state.
#[record]
pub struct Snapshot {
    /// Offset of the first record that is not in the snapshot.
    pub next_offset: LogOffset,
    /// The configuration after all records before `next_offset`.
    pub config: FleetConfig,
    /// The latest certified plans.
    pub history: History,
    /// The hash over all records before `next_offset`.
    pub hash: ConfigHash,
    /// The snapshots that have been written to the log.
    pub(super) logged: LoggedSnapshots,
}

impl Snapshot {
    /// Splits the snapshot into parts, which must be sent or appended in order.
    pub fn to_parts(&self, written_at_unix_ms: i64) -> Vec<SnapshotPart> {
        // Encoding plain data to memory can't fail. An empty snapshot would not be installed.
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
    /// Identifies the snapshot.
    pub id: SnapshotId,
    /// Offset of the first record that is not in the snapshot.
    pub next_offset: LogOffset,
    /// Index of this part, from zero.
    pub index: u32,
    /// Number of parts of the snapshot.
    pub count: u32,
    /// When the snapshot was written, in milliseconds since the Unix epoch.
    pub written_at_unix_ms: i64,
    /// The bytes of this part.
    pub bytes: Vec<u8>,
}

impl SnapshotPart {
    /// Returns the part without its bytes, which is all that a replica with a state needs.
    pub fn without_bytes(&self) -> Self {
        Self { bytes: Vec::new(), ..self.clone() }
    }
}
