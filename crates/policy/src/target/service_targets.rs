//! Index of the targets of one service for random access.

use fulmartrestle_core::{AvailabilityZone, VmId};
use rustc_hash::FxHashMap;

/// Weight of a new latency in the service's running mean.
const LATENCY_WEIGHT: f64 = 0.01;
/// Default latency until the first response, in microseconds.
const DEFAULT_LATENCY_US: f64 = 10_000.0;

/// Targets of one service, all together and by zone, in vectors, so that a random one is found in constant
/// time in a fleet of any size.
#[derive(Debug)]
pub(super) struct ServiceTargets {
    all: Vec<VmId>,
    zones: FxHashMap<AvailabilityZone, Vec<VmId>>,
    latency_us: f64,
    response_count: u64,
}

impl Default for ServiceTargets {
    fn default() -> Self {
        Self { all: Vec::new(), zones: FxHashMap::default(), latency_us: DEFAULT_LATENCY_US, response_count: 0 }
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

    /// Returns the mean latency in microseconds, which is the initial latency of a new target: with an
    /// initial latency of zero it would receive every call.
    pub fn mean_latency_us(&self) -> f64 {
        self.latency_us
    }

    /// Returns the number of responses from all targets together.
    pub fn response_count(&self) -> u64 {
        self.response_count
    }

    pub fn record_response(&mut self, latency_us: u64) {
        self.response_count += 1;
        self.latency_us += (latency_us as f64 - self.latency_us) * LATENCY_WEIGHT;
    }
}
