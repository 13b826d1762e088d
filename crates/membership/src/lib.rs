//! Group membership by SWIM-style gossip, with failure detection, suspicion and anti-entropy.
//!
//! Every node holds a row for every member of the fleet. The members of a zone form a ring, and each
//! probes its successors on it. A member that does not answer becomes suspect; it is declared dead
//! unless it refutes the suspicion. Updates spread by gossip, piggybacked on probes. The loss of a
//! whole zone is detected by the zone's heartbeat counter. The crate does no I/O and reads no clock:
//! the node sends and receives the datagrams and passes the current time. `docs/MEMBERSHIP.md`
//! describes the protocol, its limits and measurements.

mod apply;
mod broadcast;
mod budget;
mod compact_address;
mod directory;
mod error;
mod join_record;
mod member_change;
mod member_entry;
mod member_row;
mod member_state;
mod membership;
mod message;
mod name_table;
mod peers;
mod probe;
mod probing;
mod receive;
mod rumour;
mod rumour_queue;
mod send;
mod settings;
mod sync;
mod target_info;
mod tick;
mod zone_table;

pub use broadcast::{Broadcast, PeerDigest, SeenBroadcasts};
pub use error::MembershipError;
pub use join_record::JoinRecord;
pub use member_change::{MemberChange, OutgoingMessage};
pub use member_row::{Incarnation, MemberRow};
pub use member_state::MemberState;
pub use membership::Membership;
pub use message::{BucketRange, MAX_DATAGRAM_BYTES, MembershipMessage, MessageKind, ZoneHeartbeat};
pub use rumour::{MemberDelta, Rumour};
pub use settings::MembershipSettings;
pub use target_info::TargetInfo;
