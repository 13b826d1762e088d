//! Summary of a node's configuration, sent to its peers.

use fulmartrestle_core::{LogOffset, Version};
use fulmartrestle_derive::record;

use crate::replica::ConfigHash;

/// A node's position in the log and its state. It is sent in configuration messages and may also be sent
/// by gossip.
#[record]
#[derive(Copy, Eq)]
pub struct ConfigDigest {
    /// The version active on the node.
    pub version: Version,
    /// Offset of the first record that the node has not applied.
    pub next_offset: LogOffset,
    /// Hash over all records that the node has applied.
    pub hash: ConfigHash,
    /// Whether the node serves requests.
    pub ready: bool,
    /// Time since the node was last known to be at the end of the log, in milliseconds; absent if it never
    /// was.
    pub log_age_ms: Option<u64>,
    /// Time since the node's zone last received a message from another zone, in milliseconds.
    pub other_zone_age_ms: Option<u64>,
}
