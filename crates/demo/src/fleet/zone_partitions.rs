//! Network partitions between zones.

use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, PoisonError};

use fulmartrestle_core::AvailabilityZone;

/// Zones that are isolated from all other zones and from the platform's log.
#[derive(Debug, Default)]
pub(crate) struct ZonePartitions {
    zones: Mutex<BTreeSet<AvailabilityZone>>,
}

impl ZonePartitions {
    /// Isolates a zone.
    pub(crate) fn isolate(&self, zone: &AvailabilityZone) {
        self.lock().insert(zone.clone());
    }

    /// Ends the isolation of a zone.
    pub(crate) fn heal(&self, zone: &AvailabilityZone) {
        self.lock().remove(zone);
    }

    /// Returns whether data gets from one zone to the other. It always does within a zone.
    pub(crate) fn is_connected(&self, from: &AvailabilityZone, to: &AvailabilityZone) -> bool {
        let zones = self.lock();
        from == to || !(zones.contains(from) || zones.contains(to))
    }

    /// Returns whether a zone can reach the platform's log.
    pub(crate) fn is_log_reachable(&self, from: &AvailabilityZone) -> bool {
        !self.lock().contains(from)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<AvailabilityZone>> {
        self.zones.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
