//! Members of the fleet by zone, and their roles in propagating configuration.

use fulmartrestle_core::{AvailabilityZone, VmId, rendezvous_owners};
use fulmartrestle_derive::record;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Tailers per zone: the zone stays current when one of them crashes.
const TAILERS_PER_ZONE: usize = 2;

/// A member of the fleet and its zone.
#[record]
#[derive(Eq)]
pub struct ConfigMember {
    /// Identifies one run of a node.
    pub vm: VmId,
    /// The zone that the node is in.
    pub zone: AvailabilityZone,
}

/// One zone's members and tailers.
#[derive(Clone, Debug)]
pub(super) struct ZoneMembers {
    pub(super) zone: AvailabilityZone,
    pub(super) vms: Vec<VmId>,
    pub(super) tailers: Vec<VmId>,
    /// Members that pull from the tailers and that all other members pull from, including the tailers.
    pub(super) relays: Vec<VmId>,
}

/// All zones, sorted by name, always including this node's own zone.
#[derive(Clone, Debug)]
pub(super) struct Members {
    local_member: ConfigMember,
    zones: Vec<ZoneMembers>,
}

impl Members {
    pub(super) fn new(local_member: ConfigMember) -> Self {
        let mut members = Self { local_member, zones: Vec::new() };
        members.set_members(&[]);
        members
    }

    /// Replaces the current members and computes the tailers and relays of each zone, so that this is not done
    /// for every digest.
    pub(super) fn set_members(&mut self, all: &[ConfigMember]) {
        let mut zones: Vec<ZoneMembers> = Vec::new();
        for member in all.iter().chain(std::iter::once(&self.local_member)) {
            let index = match zones.binary_search_by(|zone| zone.zone.cmp(&member.zone)) {
                Ok(index) => index,
                Err(index) => {
                    zones.insert(
                        index,
                        ZoneMembers { zone: member.zone.clone(), vms: vec![], tailers: vec![], relays: vec![] },
                    );
                    index
                }
            };
            zones[index].vms.push(member.vm);
        }
        for zone in &mut zones {
            zone.vms.sort_unstable();
            zone.vms.dedup();
            let role = format!("config-tailer/{}", zone.zone);
            let relay_count = relay_count(zone.vms.len());
            zone.relays = rendezvous_owners(&role, zone.vms.iter().copied(), relay_count);
            zone.tailers = zone.relays.iter().copied().take(TAILERS_PER_ZONE).collect();
        }
        self.zones = zones;
    }

    pub(super) fn local_zone(&self) -> &ZoneMembers {
        let index = self.zones.binary_search_by(|zone| zone.zone.cmp(&self.local_member.zone));
        &self.zones[index.unwrap_or(0)]
    }

    pub(super) fn zones(&self) -> &[ZoneMembers] {
        &self.zones
    }

    pub(super) fn other_zones(&self) -> impl Iterator<Item = &ZoneMembers> {
        self.zones.iter().filter(|zone| zone.zone != self.local_member.zone)
    }

    /// Returns the number of members in all zones.
    pub(super) fn count(&self) -> usize {
        self.zones.iter().map(|zone| zone.vms.len()).sum()
    }

    pub(super) fn is_tailer(&self) -> bool {
        self.local_zone().tailers.contains(&self.local_member.vm)
    }

    /// Returns this node's rank among all tailers for writing snapshots, or `None` if it is not a tailer.
    pub(super) fn snapshot_writer_rank(&self) -> Option<usize> {
        let tailers = self.zones.iter().flat_map(|zone| zone.tailers.iter().copied());
        let ranked = rendezvous_owners("config-snapshot", tailers, usize::MAX);
        ranked.iter().position(|vm| *vm == self.local_member.vm)
    }

    /// Returns the tailers of this node's zone, excluding this node.
    pub(super) fn tailer_peers(&self) -> Vec<VmId> {
        self.local_zone().tailers.iter().copied().filter(|vm| *vm != self.local_member.vm).collect()
    }

    pub(super) fn is_in_local_zone(&self, vm: VmId) -> bool {
        self.local_zone().vms.binary_search(&vm).is_ok()
    }

    pub(super) fn is_in_other_zone(&self, vm: VmId) -> bool {
        self.other_zones().any(|zone| zone.vms.binary_search(&vm).is_ok())
    }

    /// Returns up to `count` random members of this node's zone, excluding this node.
    pub(super) fn random_zone_peers(&self, rng: &mut ChaCha8Rng, count: usize) -> Vec<VmId> {
        let vms = &self.local_zone().vms;
        let mut peers = Vec::with_capacity(count);
        // Draws more often than needed, because a repeated draw costs less than shuffling the zone.
        for _ in 0..2 * count {
            let Some(vm) = pick_random(rng, vms) else { break };
            if vm != self.local_member.vm && !peers.contains(&vm) && peers.len() < count {
                peers.push(vm);
            }
        }
        peers
    }

    /// Returns a random member for this node to pull from: a tailer if this node is a relay, otherwise a relay.
    pub(super) fn random_pull_source(&self, rng: &mut ChaCha8Rng) -> Option<VmId> {
        let zone = self.local_zone();
        let is_relay = zone.relays.contains(&self.local_member.vm);
        let sources = if is_relay { &zone.tailers } else { &zone.relays };
        let others: Vec<_> = sources.iter().copied().filter(|vm| *vm != self.local_member.vm).collect();
        pick_random(rng, &others)
    }

    /// Returns a random member of another zone.
    pub(super) fn random_other_zone_peer(&self, rng: &mut ChaCha8Rng) -> Option<VmId> {
        let others: Vec<_> = self.other_zones().collect();
        let zone = *others.get(random_index(rng, others.len())?)?;
        pick_random(rng, &zone.vms)
    }

    /// Returns a random tailer of a random other zone.
    pub(super) fn random_other_zone_tailer(&self, rng: &mut ChaCha8Rng) -> Option<VmId> {
        let others: Vec<_> = self.other_zones().collect();
        let zone = *others.get(random_index(rng, others.len())?)?;
        pick_random(rng, &zone.tailers)
    }
}

/// Returns the number of relays in a zone: the square root of the number of members, so that neither a tailer
/// nor a relay is pulled from by more than a few tens of members per second. Without relays a tailer in a zone
/// of 800 members would spend its whole budget of control traffic on responses.
fn relay_count(member_count: usize) -> usize {
    member_count.isqrt().max(TAILERS_PER_ZONE)
}

/// Returns a random index below `count`, or `None` if `count` is zero.
pub(super) fn random_index(rng: &mut ChaCha8Rng, count: usize) -> Option<usize> {
    (count > 0).then(|| rng.random_range(0..count))
}

/// Returns a random element of `vms`.
pub(super) fn pick_random(rng: &mut ChaCha8Rng, vms: &[VmId]) -> Option<VmId> {
    random_index(rng, vms.len()).map(|index| vms[index])
}
