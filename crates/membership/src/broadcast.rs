//! Small payloads of other parts that travel with membership messages.

use std::collections::BTreeMap;

use fulmartrestle_core::{TimeUs, VmId};
use fulmartrestle_derive::record;

/// Longest payload of a broadcast, in bytes.
pub const MAX_BROADCAST_BYTES: usize = 256;
/// Longest digest, in bytes. It rides on every message.
pub const MAX_DIGEST_BYTES: usize = 96;
/// Subjects remembered for de-duplication; the oldest are forgotten first.
const MAX_SUBJECTS: usize = 4_096;
/// Time after which a subject is forgotten, in milliseconds. No copy travels for that long.
const SUBJECT_RETENTION_MS: u64 = 600_000;

/// A rumour of another part, spread to all members.
#[record]
pub struct Broadcast {
    /// The member that issued it.
    pub origin: VmId,
    /// Which part it belongs to.
    pub topic: u8,
    /// What it is about, within the topic. A newer broadcast of the same topic and key replaces it.
    pub key: u64,
    /// Version within topic and key; equal versions are ordered by origin.
    pub version: u32,
    /// The payload.
    pub bytes: Vec<u8>,
}

/// The digest of a peer, as it came with its last message.
#[record]
pub struct PeerDigest {
    /// The peer.
    pub vm: VmId,
    /// The bytes it set.
    pub bytes: Vec<u8>,
}

#[derive(Clone, Copy, Debug)]
struct SeenVersion {
    version: u32,
    origin: VmId,
    seen_at: TimeUs,
}

/// Remembers which broadcasts were seen, so that each is delivered once and old ones never after
/// newer ones.
#[derive(Clone, Debug, Default)]
pub struct BroadcastLog {
    seen: BTreeMap<(u8, u64), SeenVersion>,
}

impl BroadcastLog {
    /// Returns the version to use for a new broadcast of `topic` and `key`.
    pub fn next_version(&self, topic: u8, key: u64) -> u32 {
        self.seen.get(&(topic, key)).map_or(1, |seen| seen.version.saturating_add(1))
    }

    /// Notes `broadcast` and returns whether it is newer than all seen before.
    pub fn accept(&mut self, broadcast: &Broadcast, now: TimeUs) -> bool {
        let subject = (broadcast.topic, broadcast.key);
        let known = self.seen.get(&subject).map(|seen| (seen.version, seen.origin));
        if known.is_some_and(|known| known >= (broadcast.version, broadcast.origin)) {
            return false;
        }
        if self.seen.len() >= MAX_SUBJECTS && known.is_none() {
            self.forget_oldest();
        }
        self.seen.insert(subject, SeenVersion { version: broadcast.version, origin: broadcast.origin, seen_at: now });
        true
    }

    /// Forgets subjects that have not changed within the retention period.
    pub fn expire(&mut self, now: TimeUs) {
        self.seen.retain(|_, seen| now.ms_since(seen.seen_at) < SUBJECT_RETENTION_MS);
    }

    fn forget_oldest(&mut self) {
        let oldest = self.seen.iter().min_by_key(|(_, seen)| seen.seen_at).map(|(subject, _)| *subject);
        if let Some(subject) = oldest {
            self.seen.remove(&subject);
        }
    }
}
