//! Messages between nodes about configuration.

use fulmartrestle_core::{LogOffset, Version, number_newtype};
use fulmartrestle_derive::record;

use super::{AgedReport, ConfigDigest, UrgentChange, ZoneReport};
use crate::replica::{SnapshotId, SnapshotPart};

number_newtype!(
    /// Identifies a pull, so that a late answer is not taken for that of a later pull.
    PullId,
    u64,
    "pull id"
);

/// A message of this part. Any may be lost, doubled, late or out of order.
#[record]
pub enum ConfigMessage {
    /// The sender's place in the log, and withdrawals that the receiver may not have read yet.
    Digest {
        /// The sender's place.
        digest: ConfigDigest,
        /// Withdrawals that committed in the last seconds.
        urgent: Vec<UrgentChange>,
    },
    /// The version in force on the sender, for its zone's tailers. It is kept short, since a tailer
    /// gets one from every member of its zone after each change.
    Ack {
        /// The version.
        version: Version,
    },
    /// Asks for records from an offset on.
    PullSince {
        /// The pull.
        pull: PullId,
        /// The first wanted record.
        next_offset: LogOffset,
    },
    /// Records in a row, perhaps none.
    Records {
        /// The pull that is answered.
        pull: PullId,
        /// Offset of the first one.
        from: LogOffset,
        /// The records; parts of snapshots come without their bytes.
        records: Vec<Vec<u8>>,
        /// The sender's place.
        digest: ConfigDigest,
    },
    /// Asks for a part of a snapshot.
    PullPart {
        /// The pull.
        pull: PullId,
        /// The snapshot.
        id: SnapshotId,
        /// The part.
        index: u32,
    },
    /// A part of the sender's snapshot, sent when the wanted records are no longer held.
    Part {
        /// The pull that is answered.
        pull: PullId,
        /// The part.
        part: SnapshotPart,
        /// The sender's place.
        digest: ConfigDigest,
    },
    /// A tailer's report on its zone.
    Report(ZoneReport),
    /// Asks a tailer for the reports it holds.
    PullReports,
    /// The reports a tailer holds.
    Reports(Vec<AgedReport>),
}
