//! Live members by zone, and the owner that rendezvous hashing selects for each shard.

use std::collections::{BTreeMap, BTreeSet};

use fulmartrestle_core::{AvailabilityZone, VmId, rendezvous_score};

use crate::{QuotaMember, QuotaShard, SHARD_COUNT};

/// Live members of one zone, and for each shard the preferred owner with its rendezvous score.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneMembers {
    members: BTreeSet<VmId>,
    preferred: [Option<(u64, VmId)>; SHARD_COUNT],
}

/// One node's view of the live members.
#[derive(Clone, Debug, Default)]
pub(crate) struct Directory {
    zones: BTreeMap<AvailabilityZone, ZoneMembers>,
}

impl Directory {
    /// Replaces the view. Scores are computed only for members that joined and for shards whose
    /// preferred owner left.
    pub(crate) fn update(&mut self, view: &[QuotaMember]) {
        let mut members_by_zone: BTreeMap<&AvailabilityZone, BTreeSet<VmId>> = BTreeMap::new();
        for member in view {
            members_by_zone.entry(&member.zone).or_default().insert(member.vm);
        }
        self.zones.retain(|zone, _| members_by_zone.contains_key(zone));
        for (zone, members) in members_by_zone {
            self.zones.entry(zone.clone()).or_default().update(zone, members);
        }
    }

    pub(crate) fn members(&self, zone: &AvailabilityZone) -> impl Iterator<Item = VmId> {
        self.zones.get(zone).into_iter().flat_map(|found| found.members.iter().copied())
    }

    pub(crate) fn member_count(&self, zone: &AvailabilityZone) -> usize {
        self.zones.get(zone).map_or(0, |found| found.members.len())
    }

    pub(crate) fn preferred_owner(&self, zone: &AvailabilityZone, shard: QuotaShard) -> Option<VmId> {
        self.zones.get(zone)?.preferred[shard.index()].map(|(_, vm)| vm)
    }
}

impl ZoneMembers {
    fn update(&mut self, zone: &AvailabilityZone, members: BTreeSet<VmId>) {
        let joined: Vec<VmId> = members.difference(&self.members).copied().collect();
        self.members = members;
        for shard in QuotaShard::all() {
            self.update_preferred(zone, shard, &joined);
        }
    }

    fn update_preferred(&mut self, zone: &AvailabilityZone, shard: QuotaShard, joined: &[VmId]) {
        let role = format!("quota/{zone}/{}", shard.0);
        let preferred = &mut self.preferred[shard.index()];
        let kept = preferred.filter(|(_, vm)| self.members.contains(vm));
        let candidates: Vec<VmId> = match kept {
            Some(_) => joined.to_vec(),
            None => self.members.iter().copied().collect(),
        };
        let best_candidate = candidates.into_iter().map(|vm| (rendezvous_score(&role, vm), vm)).max();
        *preferred = kept.max(best_candidate);
    }
}
