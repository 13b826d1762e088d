//! Application payloads that are piggybacked on membership messages.

use std::collections::BTreeMap;

use fulmartrestle_core::{TimeUs, VmId};
use fulmartrestle_derive::record;

/// Maximum size of a broadcast payload, in bytes.
pub const MAX_BROADCAST_BYTES: usize = 256;
/// Maximum size of an application digest, in bytes. The digest is piggybacked on almost every message.
pub const MAX_DIGEST_BYTES: usize = 96;
/// Maximum number of subjects that are tracked for deduplication. The oldest is evicted first.
const MAX_SUBJECTS: usize = 4_096;
/// Time after which an unchanged subject expires, in milliseconds. No copy of a broadcast is in flight for that long.
const SUBJECT_RETENTION_MS: u64 = 600_000;

/// An application payload that is disseminated to all members.
#[record]
pub struct Broadcast {
    /// Member that issued the broadcast.
    pub origin: VmId,
    /// Topic, which identifies the component that uses the broadcast.
    pub topic: u8,
    /// Key within the topic. A newer broadcast with the same topic and key replaces an older one.
    pub key: u64,
    /// Version within the topic and key. Equal versions are ordered by origin.
    pub version: u32,
    /// Payload, which this crate does not interpret.
    pub bytes: Vec<u8>,
}

/// An application digest that arrived with a message of a peer.
#[record]
pub struct PeerDigest {
    /// ID of the peer.
    pub vm: VmId,
    /// Bytes that the peer set with [`crate::Membership::set_piggybacked_digest`].
    pub bytes: Vec<u8>,
}

#[derive(Clone, Copy, Debug)]
struct SeenBroadcast {
    version: u32,
    origin: VmId,
    seen_at: TimeUs,
}

/// Tracks the newest version of each broadcast, so that each version is delivered once and never after a newer one.
#[derive(Clone, Debug, Default)]
pub struct SeenBroadcasts {
    seen: BTreeMap<(u8, u64), SeenBroadcast>,
}

impl SeenBroadcasts {
    /// Returns the version for a new broadcast with `topic` and `key`.
    pub fn next_version(&self, topic: u8, key: u64) -> u32 {
        self.seen.get(&(topic, key)).map_or(1, |seen| seen.version.saturating_add(1))
    }

    /// Returns whether `broadcast` is newer than all earlier ones of its subject, and records it if so.
    pub fn accept(&mut self, broadcast: &Broadcast, now: TimeUs) -> bool {
        let subject = (broadcast.topic, broadcast.key);
        let known = self.seen.get(&subject).map(|seen| (seen.version, seen.origin));
        if known.is_some_and(|known| known >= (broadcast.version, broadcast.origin)) {
            return false;
        }
        if self.seen.len() >= MAX_SUBJECTS && known.is_none() {
            self.evict_oldest();
        }
        self.seen.insert(subject, SeenBroadcast { version: broadcast.version, origin: broadcast.origin, seen_at: now });
        true
    }

    /// Removes subjects that have not changed within the retention period.
    pub fn expire(&mut self, now: TimeUs) {
        self.seen.retain(|_, seen| now.ms_since(seen.seen_at) < SUBJECT_RETENTION_MS);
    }

    fn evict_oldest(&mut self) {
        let oldest = self.seen.iter().min_by_key(|(_, seen)| seen.seen_at).map(|(subject, _)| *subject);
        if let Some(subject) = oldest {
            self.seen.remove(&subject);
        }
    }
}
