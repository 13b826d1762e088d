//! The targets of one service, listed for random access.

use std::collections::HashMap;

use fulmartrestle_core::{AvailabilityZone, VmId};

/// Weight of a new latency in the service's running mean.
const LATENCY_WEIGHT: f64 = 0.01;
/// Latency that is assumed before anything was measured, in microseconds.
const INITIAL_LATENCY_US: f64 = 10_000.0;

/// The targets of one service, all together and by zone, in vectors, so that a random one is found at
/// once in a fleet of any size.
#[derive(Debug)]
pub(super) struct ServiceTargets {
    all: Vec<VmId>,
    zones: HashMap<AvailabilityZone, Vec<VmId>>,
    latency_us: f64,
    answers: u64,
}

impl Default for ServiceTargets {
    fn default() -> Self {
        Self { all: Vec::new(), zones: HashMap::new(), latency_us: INITIAL_LATENCY_US, answers: 0 }
    }
}

impl ServiceTargets {
    pub fn insert(&mut self, target: VmId, zone: &AvailabilityZone) {
        self.all.push(target);
        self.zones.entry(zone.clone()).or_default().push(target);
    }

    pub fn remove(&mut self, target: VmId, zone: &AvailabilityZone) {
        self.all.retain(|other| *other != target);
        if let Some(in_zone) = self.zones.get_mut(zone) {
            in_zone.retain(|other| *other != target);
        }
        self.zones.retain(|_, in_zone| !in_zone.is_empty());
    }

    pub fn all(&self) -> &[VmId] {
        &self.all
    }

    pub fn in_zone(&self, zone: &AvailabilityZone) -> &[VmId] {
        self.zones.get(zone).map_or(&[], Vec::as_slice)
    }

    /// Returns the mean latency, which a new target is given at first: with none it would draw every
    /// call.
    pub fn mean_latency_us(&self) -> f64 {
        self.latency_us
    }

    /// Returns how many answers came from all targets together.
    pub fn answers(&self) -> u64 {
        self.answers
    }

    pub fn answered(&mut self, latency_us: u64) {
        self.answers += 1;
        self.latency_us += (latency_us as f64 - self.latency_us) * LATENCY_WEIGHT;
    }
}
