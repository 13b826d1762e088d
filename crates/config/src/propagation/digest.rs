//! What a node says about its configuration.

use fulmartrestle_core::{LogOffset, Version};
use fulmartrestle_derive::record;

use crate::replica::ConfigHash;

/// A node's place in the log. It travels in messages of this part and may travel on gossip.
#[record]
#[derive(Copy, Eq)]
pub struct ConfigDigest {
    /// The version in force on the node.
    pub version: Version,
    /// The first record that it has not applied.
    pub next_offset: LogOffset,
    /// The hash over all that it has applied.
    pub hash: ConfigHash,
    /// Whether it serves requests.
    pub ready: bool,
    /// How long ago its place was the log's end, in milliseconds, as far as it knows.
    pub log_age_ms: Option<u64>,
    /// How long ago its zone heard another zone, in milliseconds.
    pub outside_age_ms: Option<u64>,
}
