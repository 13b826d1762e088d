//! Rumours: updates that gossip disseminates to all members.

use std::net::SocketAddr;

use fulmartrestle_core::VmId;
use fulmartrestle_derive::{record, value};

use crate::{Broadcast, Incarnation, MemberRow, MemberState};

/// A change of the state of a member whose row the receiver already has. It takes a fifth of the size of the row.
#[value]
pub struct MemberDelta {
    /// The member whose state changed.
    pub vm: VmId,
    /// Incarnation of the member to which the state applies.
    pub incarnation: Incarnation,
    /// [`MemberState::Suspect`] or [`MemberState::Dead`].
    pub state: MemberState,
    /// Time since the member became suspect, in milliseconds. It lets the suspicion expire on all nodes at the same
    /// time.
    pub age_ms: u16,
}

/// Subject of a rumour. A newer rumour replaces an older one about the same subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RumourSubject {
    /// The row or state of a member.
    Member(VmId),
    /// The topic and key of a broadcast.
    Broadcast(u8, u64),
}

/// An update that is disseminated by gossip.
#[record]
pub enum Rumour {
    /// The row of a member, as the member published it.
    Row(MemberRow),
    /// The state of a member, as observed by other members.
    Delta(MemberDelta),
    /// An application payload.
    Broadcast(Broadcast),
}

impl Rumour {
    /// Returns the subject of the rumour.
    pub fn subject(&self) -> RumourSubject {
        match self {
            Self::Row(row) => RumourSubject::Member(row.vm),
            Self::Delta(delta) => RumourSubject::Member(delta.vm),
            Self::Broadcast(broadcast) => RumourSubject::Broadcast(broadcast.topic, broadcast.key),
        }
    }

    /// Returns whether two rumours about the same subject carry the same update.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Row(left), Self::Row(right)) => left.incarnation == right.incarnation && left.state == right.state,
            (Self::Delta(left), Self::Delta(right)) => {
                left.incarnation == right.incarnation && left.state == right.state
            }
            (Self::Broadcast(left), Self::Broadcast(right)) => {
                left.version == right.version && left.origin == right.origin
            }
            _ => false,
        }
    }

    /// Returns an upper bound of the encoded size in bytes.
    pub fn size_bytes(&self) -> usize {
        match self {
            Self::Row(row) => 1 + row_size_bytes(row),
            Self::Delta(_) => 1 + DELTA_SIZE_BYTES,
            Self::Broadcast(broadcast) => 30 + broadcast.bytes.len(),
        }
    }
}

/// Upper bound of an encoded [`MemberDelta`], in bytes.
pub const DELTA_SIZE_BYTES: usize = 18;

/// Returns an upper bound of the encoded size of `row` in bytes.
pub fn row_size_bytes(row: &MemberRow) -> usize {
    let address = match row.peer_address {
        SocketAddr::V4(_) => 8,
        SocketAddr::V6(_) => 20,
    };
    let target = row.target.as_ref().map_or(0, |target| 22 + target.service.as_str().len());
    9 + 5 + 1 + row.zone.as_str().len() + address + 1 + 1 + target
}
