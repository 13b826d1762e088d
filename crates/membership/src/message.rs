//! Messages between members; each is one datagram.

use std::net::SocketAddr;

use fulmartrestle_core::VmId;
use fulmartrestle_derive::{record, value};

use crate::rumour::{DELTA_SIZE_BYTES, row_size_bytes};
use crate::{MemberDelta, MemberRow, MembershipError, Rumour};

/// Longest datagram in bytes: it fits an Ethernet frame with room for tunnels, so it is not split.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Upper bound of the sender, counts and tags of a message, in bytes.
const HEAD_BYTES: usize = 24;

/// The heartbeat of a zone: a counter that the zone's members raise and all members pass on.
#[value]
pub struct ZoneBeat {
    /// Hash of the zone's name.
    pub zone_hash: u32,
    /// The highest count seen.
    pub count: u32,
}

/// A range of buckets of the directory.
#[value]
pub struct BucketRange {
    /// The first bucket.
    pub first: u8,
    /// The last bucket.
    pub last: u8,
}

/// What a message asks or answers.
#[record]
pub enum MessageKind {
    /// Asks the receiver to answer with [`MessageKind::Ack`].
    Ping {
        /// Identifies the probe at its sender.
        sequence: u32,
        /// The member that should be at this address.
        subject: VmId,
    },
    /// Asks the receiver to probe `subject` and pass its answer back.
    PingRequest {
        /// Identifies the probe at its sender.
        sequence: u32,
        /// The member to probe.
        subject: VmId,
        /// Where it should be.
        address: SocketAddr,
    },
    /// Answers a probe, directly or through a helper.
    Ack {
        /// The probe's number at the receiver.
        sequence: u32,
        /// The member that answered.
        responder: VmId,
    },
    /// Tells that a helper got no answer from the member that it was asked to probe.
    Nack {
        /// The probe's number at the receiver.
        sequence: u32,
    },
    /// Carries rumours only.
    Gossip,
    /// Digests of the sender's directory, one for each bucket; asks for differing buckets.
    SyncDigests {
        /// Which 16 of each digest's 32 bits are sent; it varies, so that no collision lasts.
        shift: u8,
        /// The digests in order of bucket.
        digests: Vec<u16>,
    },
    /// Asks for the rows of a range of buckets, to fill an empty directory.
    SyncPull {
        /// First bucket wanted.
        first: u8,
        /// Last bucket wanted.
        last: u8,
    },
    /// Asks for the rows of buckets that differ.
    SyncWant {
        /// The buckets.
        buckets: Vec<u8>,
    },
    /// Rows of some buckets.
    SyncRows {
        /// The part of the range of a [`MessageKind::SyncPull`] that is held in full by this message
        /// and those before it.
        filled: Option<BucketRange>,
        /// Whether the rows answer a [`MessageKind::SyncPull`]: they are then no news to others.
        filling: bool,
        /// Members that are not dead.
        rows: Vec<MemberRow>,
        /// Dead members.
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
            Self::SyncWant { buckets } => 4 + buckets.len(),
            Self::SyncRows { rows, dead, .. } => {
                let rows_bytes: usize = rows.iter().map(row_size_bytes).sum();
                10 + rows_bytes + dead.len() * DELTA_SIZE_BYTES
            }
        }
    }
}

/// One message.
#[record]
pub struct MembershipMessage {
    /// The sender.
    pub from: VmId,
    /// What it asks or answers.
    pub kind: MessageKind,
    /// Heartbeats of the zones that the sender knows.
    pub beats: Vec<ZoneBeat>,
    /// News.
    pub rumours: Vec<Rumour>,
    /// The sender's digest of another part's state.
    pub digest: Option<Vec<u8>>,
}

impl MembershipMessage {
    /// Returns an upper bound of the encoded size in bytes.
    pub fn size_bytes(&self) -> usize {
        let rumours: usize = self.rumours.iter().map(Rumour::size_bytes).sum();
        let digest = self.digest.as_ref().map_or(0, |bytes| 2 + bytes.len());
        HEAD_BYTES + self.kind.size_bytes() + self.beats.len() * 10 + rumours + digest
    }

    /// Returns the message as the bytes of a datagram.
    ///
    /// # Errors
    ///
    /// Returns the size when it is over [`MAX_DATAGRAM_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, MembershipError> {
        let bytes = bincode::serde::encode_to_vec(self, bincode::config::standard())
            .map_err(|error| MembershipError::Codec(error.to_string()))?;
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(MembershipError::DatagramTooLong(bytes.len()));
        }
        Ok(bytes)
    }

    /// Reads a message from the bytes of a datagram.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the bytes. Bytes after the message are an error too.
    pub fn decode(bytes: &[u8]) -> Result<Self, MembershipError> {
        let limits = bincode::config::standard().with_limit::<65_536>();
        let (message, used) = bincode::serde::decode_from_slice(bytes, limits)
            .map_err(|error| MembershipError::Codec(error.to_string()))?;
        if used != bytes.len() {
            return Err(MembershipError::Codec(format!("{} bytes after the message", bytes.len() - used)));
        }
        Ok(message)
    }
}
