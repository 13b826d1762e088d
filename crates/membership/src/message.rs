//! Messages between members. Each message is sent as one datagram.

use std::net::SocketAddr;

use fulmartrestle_core::VmId;
use fulmartrestle_derive::{record, value};

use crate::rumour::{DELTA_SIZE_BYTES, row_size_bytes};
use crate::{MemberDelta, MemberRow, MembershipError, Rumour};

/// Maximum size of a datagram, in bytes. It fits into an Ethernet frame with room for tunnel headers, which avoids
/// fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Upper bound of the encoded sender, counts and tags of a message, in bytes.
const MAX_HEADER_BYTES: usize = 24;

/// Heartbeat counter of a zone. The members of the zone increment it, and all members forward it.
#[value]
pub struct ZoneHeartbeat {
    /// Hash of the name of the zone.
    pub zone_hash: u32,
    /// Highest count that the sender knows.
    pub count: u32,
}

/// An inclusive range of directory buckets.
#[value]
pub struct BucketRange {
    /// Index of the first bucket.
    pub first: u8,
    /// Index of the last bucket.
    pub last: u8,
}

/// Type of a message, with the fields that belong to it.
#[record]
pub enum MessageKind {
    /// Probes the receiver, which answers with [`MessageKind::Ack`].
    Ping {
        /// Sequence number of the probe at its sender.
        sequence: u32,
        /// Member that is expected at the destination address.
        subject: VmId,
    },
    /// Requests an indirect probe: the receiver probes `subject` and relays the acknowledgement.
    PingRequest {
        /// Sequence number of the probe at its sender.
        sequence: u32,
        /// Member to probe.
        subject: VmId,
        /// Address of the member.
        address: SocketAddr,
    },
    /// Acknowledges a probe, directly or through the member that relayed it.
    Ack {
        /// Sequence number of the probe at the receiver of this message.
        sequence: u32,
        /// Member that answered the probe.
        responder: VmId,
    },
    /// Reports that an indirect probe was not answered.
    Nack {
        /// Sequence number of the probe at the receiver of this message.
        sequence: u32,
    },
    /// Carries only rumours.
    Gossip,
    /// Carries one digest per directory bucket of the sender. The receiver sends and requests the buckets that differ.
    SyncDigests {
        /// Number of low bits of each 32-bit digest that are dropped before its next 16 bits are sent. It varies
        /// between messages, so that collisions do not persist.
        shift: u8,
        /// Truncated digests, ordered by bucket.
        digests: Vec<u16>,
    },
    /// Requests the rows of a range of buckets, to fill an empty directory.
    SyncPull {
        /// First bucket of the range.
        first: u8,
        /// Last bucket of the range, inclusive.
        last: u8,
    },
    /// Requests the rows of individual buckets, which differ or are unknown to the sender.
    SyncRequest {
        /// Indexes of the buckets.
        buckets: Vec<u8>,
    },
    /// Carries rows of some buckets.
    SyncRows {
        /// Part of the range of a [`MessageKind::SyncPull`] whose rows are complete with this message and the preceding
        /// ones.
        complete_range: Option<BucketRange>,
        /// Whether the rows answer a [`MessageKind::SyncPull`]. They are then not disseminated, because other members
        /// already have them.
        is_pull_response: bool,
        /// Rows of members that are not dead.
        rows: Vec<MemberRow>,
        /// States of dead members.
        dead: Vec<MemberDelta>,
    },
}

impl MessageKind {
    fn size_bytes(&self) -> usize {
        match self {
            Self::Ping { .. } | Self::Ack { .. } => 15,
            Self::Nack { .. } => 6,
            Self::PingRequest { .. } => 35,
            Self::Gossip => 1,
            Self::SyncDigests { digests, .. } => 5 + digests.len() * 3,
            Self::SyncPull { .. } => 3,
            Self::SyncRequest { buckets } => 4 + buckets.len(),
            Self::SyncRows { rows, dead, .. } => {
                let rows_bytes: usize = rows.iter().map(row_size_bytes).sum();
                10 + rows_bytes + dead.len() * DELTA_SIZE_BYTES
            }
        }
    }
}

/// A message with the data that is piggybacked on it.
#[record]
pub struct MembershipMessage {
    /// ID of the sender.
    pub from: VmId,
    /// Type of the message.
    pub kind: MessageKind,
    /// Heartbeat counters of the zones that the sender knows.
    pub heartbeats: Vec<ZoneHeartbeat>,
    /// Piggybacked rumours.
    pub rumours: Vec<Rumour>,
    /// Application digest of the sender.
    pub digest: Option<Vec<u8>>,
}

impl MembershipMessage {
    /// Returns an upper bound of the encoded size in bytes.
    pub fn size_bytes(&self) -> usize {
        let rumours: usize = self.rumours.iter().map(Rumour::size_bytes).sum();
        let digest = self.digest.as_ref().map_or(0, |bytes| 2 + bytes.len());
        MAX_HEADER_BYTES + self.kind.size_bytes() + self.heartbeats.len() * 10 + rumours + digest
    }

    /// Encodes the message as a datagram.
    ///
    /// # Errors
    ///
    /// Returns [`MembershipError::DatagramTooLong`] when the encoding exceeds [`MAX_DATAGRAM_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, MembershipError> {
        let bytes = bincode::serde::encode_to_vec(self, bincode::config::standard())
            .map_err(|error| MembershipError::Codec(error.to_string()))?;
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(MembershipError::DatagramTooLong(bytes.len()));
        }
        Ok(bytes)
    }

    /// Decodes a message from a datagram.
    ///
    /// # Errors
    ///
    /// Returns [`MembershipError::Codec`] when the bytes are invalid or when trailing bytes remain.
    pub fn decode(bytes: &[u8]) -> Result<Self, MembershipError> {
        let limits = bincode::config::standard().with_limit::<65_536>();
        let (message, consumed) = bincode::serde::decode_from_slice(bytes, limits)
            .map_err(|error| MembershipError::Codec(error.to_string()))?;
        if consumed != bytes.len() {
            return Err(MembershipError::Codec(format!("{} trailing bytes", bytes.len() - consumed)));
        }
        Ok(message)
    }
}
