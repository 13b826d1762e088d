//! Assignment of streams to batchers among the live members.

use std::collections::BTreeMap;

use fulmartrestle_core::{AvailabilityZone, VmId, rendezvous_owner};

use crate::{ClaimMember, ClaimStream};

/// Live members by zone, and the batcher of each stream and zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct Directory {
    members_by_zone: BTreeMap<AvailabilityZone, Vec<VmId>>,
    batchers: BTreeMap<(ClaimStream, AvailabilityZone), VmId>,
}

impl Directory {
    /// Replaces the member view. Batchers are selected again only in zones whose members changed.
    pub(crate) fn update(&mut self, view: &[ClaimMember]) {
        let mut members_by_zone: BTreeMap<AvailabilityZone, Vec<VmId>> = BTreeMap::new();
        for member in view {
            members_by_zone.entry(member.zone.clone()).or_default().push(member.vm);
        }
        members_by_zone.values_mut().for_each(|vms| vms.sort_unstable());
        self.batchers.retain(|(_, zone), _| members_by_zone.contains_key(zone));
        for (zone, vms) in members_by_zone.iter().filter(|(zone, vms)| self.members_by_zone.get(*zone) != Some(*vms)) {
            for stream in ClaimStream::all() {
                let role = format!("{stream}/{zone}");
                if let Some(batcher) = rendezvous_owner(&role, vms.iter().copied()) {
                    self.batchers.insert((stream, zone.clone()), batcher);
                }
            }
        }
        self.members_by_zone = members_by_zone;
    }

    pub(crate) fn zone_count(&self) -> usize {
        self.members_by_zone.len()
    }

    pub(crate) fn is_batcher(&self, vm: VmId, zone: &AvailabilityZone, stream: ClaimStream) -> bool {
        self.batchers.get(&(stream, zone.clone())) == Some(&vm)
    }

    /// Returns the batchers of a stream, the one in `own_zone` first.
    pub(crate) fn batchers(&self, stream: ClaimStream, own_zone: &AvailabilityZone) -> Vec<VmId> {
        let of_stream = self.batchers.iter().filter(|((claim_stream, _), _)| *claim_stream == stream);
        let (own, other): (Vec<_>, Vec<_>) = of_stream.partition(|((_, zone), _)| zone == own_zone);
        own.into_iter().chain(other).map(|(_, vm)| *vm).collect()
    }
}
