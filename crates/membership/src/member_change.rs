//! What [`crate::Membership`] hands to its node.

use std::net::SocketAddr;

use fulmartrestle_derive::record;

use crate::{MemberRow, MembershipMessage};

/// A row that is new or differs from the one handed out before.
#[record]
pub struct MemberChange {
    /// The row as it is now.
    pub row: MemberRow,
}

/// A message to send as one datagram.
#[record]
pub struct MembershipSend {
    /// Where it goes.
    pub to: SocketAddr,
    /// What is sent; see [`MembershipMessage::encode`].
    pub message: MembershipMessage,
}
