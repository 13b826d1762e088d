//! Output of [`crate::Membership`] to its node.

use std::net::SocketAddr;

use fulmartrestle_derive::record;

use crate::{MemberRow, MembershipMessage};

/// A row that is new or has changed since it was last returned.
#[record]
pub struct MemberChange {
    /// The current row.
    pub row: MemberRow,
}

/// A message that the node has to send as one datagram.
#[record]
pub struct OutgoingMessage {
    /// Address of the recipient.
    pub to: SocketAddr,
    /// The message, to be encoded with [`MembershipMessage::encode`].
    pub message: MembershipMessage,
}
