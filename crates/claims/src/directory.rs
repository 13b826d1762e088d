//! Which live members batch claims.

use std::collections::BTreeMap;

use fulmartrestle_core::{AvailabilityZone, VmId, rendezvous_owner};

use crate::{ClaimMember, ClaimStream};

/// The preferred batcher of each zone and stream.
#[derive(Clone, Debug, Default)]
pub(crate) struct Directory {
    members: BTreeMap<AvailabilityZone, Vec<VmId>>,
    batchers: BTreeMap<(ClaimStream, AvailabilityZone), VmId>,
}

impl Directory {
    /// Takes over a new view. Scores are computed only for zones that changed.
    pub(crate) fn update(&mut self, view: &[ClaimMember]) {
        let mut members: BTreeMap<AvailabilityZone, Vec<VmId>> = BTreeMap::new();
        for member in view {
            members.entry(member.zone.clone()).or_default().push(member.vm);
        }
        members.values_mut().for_each(|vms| vms.sort_unstable());
        self.batchers.retain(|(_, zone), _| members.contains_key(zone));
        for (zone, vms) in members.iter().filter(|(zone, vms)| self.members.get(*zone) != Some(*vms)) {
            for stream in ClaimStream::all() {
                let role = format!("{stream}/{zone}");
                if let Some(batcher) = rendezvous_owner(&role, vms.iter().copied()) {
                    self.batchers.insert((stream, zone.clone()), batcher);
                }
            }
        }
        self.members = members;
    }

    pub(crate) fn zone_count(&self) -> usize {
        self.members.len()
    }

    pub(crate) fn is_batcher(&self, vm: VmId, zone: &AvailabilityZone, stream: ClaimStream) -> bool {
        self.batchers.get(&(stream, zone.clone())) == Some(&vm)
    }

    /// Returns the batchers of a stream, the one in `own_zone` first.
    pub(crate) fn batchers(&self, stream: ClaimStream, own_zone: &AvailabilityZone) -> Vec<VmId> {
        let of_stream = self.batchers.iter().filter(|((found, _), _)| *found == stream);
        let (own, other): (Vec<_>, Vec<_>) = of_stream.partition(|((_, zone), _)| zone == own_zone);
        own.into_iter().chain(other).map(|(_, vm)| *vm).collect()
    }
}
