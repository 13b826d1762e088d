//! Messages that nodes exchange about configuration.

use fulmartrestle_core::{LogOffset, Version, number_newtype};
use fulmartrestle_derive::record;

use super::{AgedReport, ConfigDigest, UrgentChange, ZoneReport};
use crate::replica::{SnapshotId, SnapshotPart};

number_newtype!(
    /// Identifies a pull, so that a late response is not mistaken for the response to a later pull.
    PullId,
    u64,
    "pull id"
);

/// A configuration message. It may be lost, duplicated, delayed or reordered.
#[record]
pub enum ConfigMessage {
    /// Announces the sender's log position, and withdrawals that the receiver may not have read yet.
    Digest {
        /// The sender's log position and state.
        digest: ConfigDigest,
        /// Recently committed withdrawals of rights.
        urgent: Vec<UrgentChange>,
    },
    /// Reports the version active on the sender to the tailers of its zone. It is small, because a tailer
    /// receives one from every member of its zone after each change.
    Ack {
        /// The version active on the sender.
        version: Version,
    },
    /// Requests the records from an offset on.
    PullRecords {
        /// Id that the response must repeat.
        pull: PullId,
        /// Offset of the first requested record.
        next_offset: LogOffset,
    },
    /// Consecutive records in response to a pull; may be empty.
    Records {
        /// The pull that this message responds to.
        pull: PullId,
        /// Offset of the first record.
        from: LogOffset,
        /// The encoded records; snapshot parts are sent without their bytes.
        records: Vec<Vec<u8>>,
        /// The sender's log position and state.
        digest: ConfigDigest,
    },
    /// Requests one part of a snapshot.
    PullSnapshotPart {
        /// Id that the response must repeat.
        pull: PullId,
        /// The requested snapshot.
        id: SnapshotId,
        /// Index of the requested part.
        index: u32,
    },
    /// A part of the sender's snapshot, sent when the sender no longer holds the requested records.
    Part {
        /// The pull that this message responds to.
        pull: PullId,
        /// One part of the snapshot.
        part: SnapshotPart,
        /// The sender's log position and state.
        digest: ConfigDigest,
    },
    /// A tailer's report on its zone.
    Report(ZoneReport),
    /// Requests all reports that a tailer holds.
    PullReports,
    /// All reports that the sender holds.
    Reports(Vec<AgedReport>),
}
