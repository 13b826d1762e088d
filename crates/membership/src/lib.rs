//! Directory of the fleet's members, kept by gossip with probing and suspicion.
//!
//! Every node holds a row for every member. Members of a zone probe their neighbours on a ring,
//! suspect those that don't answer and spread what they find; a zone that falls silent as a whole is
//! noticed by its heartbeat. Nothing here does I/O or reads a clock: the node moves the datagrams and
//! passes the present time. The mechanism, its limits and its figures are in `docs/MEMBERSHIP.md`.

mod apply;
mod broadcast;
mod budget;
mod compact_address;
mod directory;
mod error;
mod join_record;
mod member_change;
mod member_row;
mod member_state;
mod membership;
mod message;
mod names;
mod peers;
mod probe;
mod probing;
mod receive;
mod rumour;
mod rumour_queue;
mod send;
mod settings;
mod slot;
mod sync;
mod target_info;
mod tick;
mod zone_table;

pub use broadcast::{Broadcast, BroadcastLog, PeerDigest};
pub use error::MembershipError;
pub use join_record::JoinRecord;
pub use member_change::{MemberChange, MembershipSend};
pub use member_row::{Incarnation, MemberRow};
pub use member_state::MemberState;
pub use membership::Membership;
pub use message::{BucketRange, MAX_DATAGRAM_BYTES, MembershipMessage, MessageKind, ZoneBeat};
pub use rumour::{MemberDelta, Rumour};
pub use settings::MembershipSettings;
pub use target_info::TargetInfo;
