//! The members as far as the spread of configuration needs them.

use fulmartrestle_core::{AvailabilityZone, VmId, rendezvous_owners};
use fulmartrestle_derive::record;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Tailers per zone: one may crash without anybody noticing.
const TAILERS_PER_ZONE: usize = 2;

/// A member of the fleet and its zone.
#[record]
#[derive(Eq)]
pub struct ConfigMember {
    /// The run of the node.
    pub vm: VmId,
    /// The zone it is in.
    pub zone: AvailabilityZone,
}

/// One zone's members and tailers.
#[derive(Clone, Debug)]
pub(super) struct ZoneMembers {
    pub(super) zone: AvailabilityZone,
    pub(super) vms: Vec<VmId>,
    pub(super) tailers: Vec<VmId>,
    /// Members that pull from the tailers and that the others pull from; the tailers are among
    /// them.
    pub(super) relays: Vec<VmId>,
}

/// All zones, sorted by name; this node's own zone is always among them.
#[derive(Clone, Debug)]
pub(super) struct Members {
    local_member: ConfigMember,
    zones: Vec<ZoneMembers>,
}

impl Members {
    pub(super) fn new(local_member: ConfigMember) -> Self {
        let mut members = Self { local_member, zones: Vec::new() };
        members.set(&[]);
        members
    }

    /// Takes the present members. Who tails is computed here, once per change, and not per digest.
    pub(super) fn set(&mut self, all: &[ConfigMember]) {
        let mut zones: Vec<ZoneMembers> = Vec::new();
        for member in all.iter().chain(std::iter::once(&self.local_member)) {
            let at = match zones.binary_search_by(|zone| zone.zone.cmp(&member.zone)) {
                Ok(at) => at,
                Err(at) => {
                    zones.insert(
                        at,
                        ZoneMembers { zone: member.zone.clone(), vms: vec![], tailers: vec![], relays: vec![] },
                    );
                    at
                }
            };
            zones[at].vms.push(member.vm);
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

    pub(super) fn own_zone(&self) -> &ZoneMembers {
        let at = self.zones.binary_search_by(|zone| zone.zone.cmp(&self.local_member.zone));
        &self.zones[at.unwrap_or(0)]
    }

    pub(super) fn zones(&self) -> &[ZoneMembers] {
        &self.zones
    }

    pub(super) fn other_zones(&self) -> impl Iterator<Item = &ZoneMembers> {
        self.zones.iter().filter(|zone| zone.zone != self.local_member.zone)
    }

    pub(super) fn count(&self) -> usize {
        self.zones.iter().map(|zone| zone.vms.len()).sum()
    }

    pub(super) fn is_tailer(&self) -> bool {
        self.own_zone().tailers.contains(&self.local_member.vm)
    }

    /// Returns this node's rank among all tailers for writing snapshots.
    pub(super) fn snapshot_rank(&self) -> Option<usize> {
        let tailers = self.zones.iter().flat_map(|zone| zone.tailers.iter().copied());
        let ranked = rendezvous_owners("config-snapshot", tailers, usize::MAX);
        ranked.iter().position(|vm| *vm == self.local_member.vm)
    }

    /// Returns the tailers of this node's zone but itself.
    pub(super) fn own_tailers(&self) -> Vec<VmId> {
        self.own_zone().tailers.iter().copied().filter(|vm| *vm != self.local_member.vm).collect()
    }

    pub(super) fn is_in_own_zone(&self, vm: VmId) -> bool {
        self.own_zone().vms.binary_search(&vm).is_ok()
    }

    pub(super) fn is_in_other_zone(&self, vm: VmId) -> bool {
        self.other_zones().any(|zone| zone.vms.binary_search(&vm).is_ok())
    }

    /// Returns up to `count` random members of this node's zone but itself.
    pub(super) fn random_zone_peers(&self, rng: &mut ChaCha8Rng, count: usize) -> Vec<VmId> {
        let vms = &self.own_zone().vms;
        let mut picked = Vec::with_capacity(count);
        // A few draws more than needed: a repeated one costs less than a shuffle of the zone.
        for _ in 0..2 * count {
            let Some(vm) = pick(rng, vms) else { break };
            if vm != self.local_member.vm && !picked.contains(&vm) && picked.len() < count {
                picked.push(vm);
            }
        }
        picked
    }

    /// Returns the members that this node pulls from in turn.
    pub(super) fn random_source(&self, rng: &mut ChaCha8Rng) -> Option<VmId> {
        let zone = self.own_zone();
        let is_relay = zone.relays.contains(&self.local_member.vm);
        let sources = if is_relay { &zone.tailers } else { &zone.relays };
        let others: Vec<_> = sources.iter().copied().filter(|vm| *vm != self.local_member.vm).collect();
        pick(rng, &others)
    }

    /// Returns a random member of another zone.
    pub(super) fn random_outside_peer(&self, rng: &mut ChaCha8Rng) -> Option<VmId> {
        let others: Vec<_> = self.other_zones().collect();
        let zone = *others.get(pick_index(rng, others.len())?)?;
        pick(rng, &zone.vms)
    }

    /// Returns a random tailer of a random other zone.
    pub(super) fn random_outside_tailer(&self, rng: &mut ChaCha8Rng) -> Option<VmId> {
        let others: Vec<_> = self.other_zones().collect();
        let zone = *others.get(pick_index(rng, others.len())?)?;
        pick(rng, &zone.tailers)
    }
}

/// Returns the number of relays in a zone: its square root, so that neither tailers nor relays are
/// asked by more than a few tens of members each second. Without relays a tailer of 800 members
/// would spend its whole budget of control traffic on answers.
fn relay_count(member_count: usize) -> usize {
    member_count.isqrt().max(TAILERS_PER_ZONE)
}

pub(super) fn pick_index(rng: &mut ChaCha8Rng, count: usize) -> Option<usize> {
    (count > 0).then(|| rng.random_range(0..count))
}

pub(super) fn pick(rng: &mut ChaCha8Rng, vms: &[VmId]) -> Option<VmId> {
    pick_index(rng, vms.len()).map(|index| vms[index])
}
