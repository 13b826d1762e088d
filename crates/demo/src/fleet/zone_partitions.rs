//! Cuts between zones.

use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, PoisonError};

use fulmartrestle_core::AvailabilityZone;

/// The zones that are cut off from all others and from the platform's log.
#[derive(Debug, Default)]
pub(crate) struct ZonePartitions {
    zones: Mutex<BTreeSet<AvailabilityZone>>,
}

impl ZonePartitions {
    /// Cuts a zone off.
    pub(crate) fn isolate(&self, zone: &AvailabilityZone) {
        self.lock().insert(zone.clone());
    }

    /// Ends the cut of a zone.
    pub(crate) fn heal(&self, zone: &AvailabilityZone) {
        self.lock().remove(zone);
    }

    /// Returns whether bytes get from one zone to the other.
    pub(crate) fn is_connected(&self, from: &AvailabilityZone, to: &AvailabilityZone) -> bool {
        let zones = self.lock();
        from == to || !(zones.contains(from) || zones.contains(to))
    }

    /// Returns whether bytes get from a zone to the platform's log.
    pub(crate) fn is_log_reachable(&self, from: &AvailabilityZone) -> bool {
        !self.lock().contains(from)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<AvailabilityZone>> {
        self.zones.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
