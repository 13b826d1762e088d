//! Usable targets of one service, by zone.
//!
//! Load pattern: a service with a hundred targets is called thousands of times a second. Asking each target whether it is
//! usable would cost several microseconds a call, so the answer is kept until the next calculation of the shares.

use std::ops::Range;

use fulmartrestle_core::{AvailabilityZone, VmId};

/// Nodes with a usable target, those of each zone side by side.
#[derive(Debug, Default)]
pub struct UsableTargets {
    nodes: Vec<VmId>,
    zones: Vec<(AvailabilityZone, Range<usize>)>,
}

impl UsableTargets {
    /// Groups nodes by their zones.
    pub fn new(mut targets: Vec<(&AvailabilityZone, VmId)>) -> Self {
        targets.sort_unstable();
        let mut grouped = Self::default();
        for (zone, node) in targets {
            let index = grouped.nodes.len();
            grouped.nodes.push(node);
            match grouped.zones.last_mut().filter(|(last, _)| last == zone) {
                Some((_, range)) => range.end = index + 1,
                None => grouped.zones.push((zone.clone(), index..index + 1)),
            }
        }
        grouped
    }

    /// Returns the nodes of a zone.
    pub fn in_zone(&self, zone: &AvailabilityZone) -> &[VmId] {
        let found = self.zones.iter().find(|(other, _)| other == zone);
        found.map_or(&[], |(_, range)| &self.nodes[range.clone()])
    }

    /// Returns the nodes of all zones.
    pub fn all(&self) -> &[VmId] {
        &self.nodes
    }

    /// Returns the zones with their nodes.
    pub fn by_zone(&self) -> impl Iterator<Item = (&AvailabilityZone, &[VmId])> {
        self.zones.iter().map(|(zone, range)| (zone, &self.nodes[range.clone()]))
    }
}
