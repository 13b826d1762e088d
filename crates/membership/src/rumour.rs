//! News that spreads from member to member.

use std::net::SocketAddr;

use fulmartrestle_core::VmId;
use fulmartrestle_derive::{record, value};

use crate::{Broadcast, Incarnation, MemberRow, MemberState};

/// A change of state of a member that the receiver already knows: a fifth of the size of its row.
#[value]
pub struct MemberDelta {
    /// The member.
    pub vm: VmId,
    /// The incarnation that the state belongs to.
    pub incarnation: Incarnation,
    /// [`MemberState::Suspect`] or [`MemberState::Dead`].
    pub state: MemberState,
    /// Time since the member was suspected, in milliseconds, so that all nodes end the suspicion at
    /// the same moment.
    pub age_ms: u16,
}

/// What a rumour is about; a newer rumour about the same subject replaces an older one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// A member's row.
    Member(VmId),
    /// A broadcast's topic and key.
    Broadcast(u8, u64),
}

/// One piece of news.
#[record]
pub enum Rumour {
    /// A member's row as the member published it.
    Row(MemberRow),
    /// A member's state as others see it.
    Delta(MemberDelta),
    /// News of another part.
    Broadcast(Broadcast),
}

impl Rumour {
    /// Returns what the rumour is about.
    pub fn subject(&self) -> Subject {
        match self {
            Self::Row(row) => Subject::Member(row.vm),
            Self::Delta(delta) => Subject::Member(delta.vm),
            Self::Broadcast(broadcast) => Subject::Broadcast(broadcast.topic, broadcast.key),
        }
    }

    /// Whether two rumours about one subject bring the same news.
    pub fn says_the_same(&self, other: &Self) -> bool {
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
