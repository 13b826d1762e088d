//! Share of the calls of a service that leaves their zone. See `docs/design/zone-traffic.md`.
//!
//! Load pattern: one zone has a rush, or too few or slow targets, while others have free slots. Each byte that crosses
//! zones costs money, and the calls take capacity from the callers of the other zone. All nodes of a zone decide alike,
//! from reports that are up to a second old, so shares that follow the reports at once would swing to and fro.

mod plan;
mod service_shares;
mod settings;
mod transfer_meter;
mod usable_targets;
mod zone_load;
mod zone_share;

use fulmartrestle_core::{AvailabilityZone, RouteId, Service, TimeUs};
use rustc_hash::FxHashMap;

use service_shares::ServiceShares;
use transfer_meter::TransferMeter;

pub use settings::ZoneTrafficSettings;
pub use usable_targets::UsableTargets;
pub use zone_load::ZoneLoad;
pub use zone_share::{ZoneShare, ZoneTrafficReason};

/// Time that a call to another zone takes for the way there and back, in microseconds: 0.9 to 1.4 ms one way.
const CROSSING_US: f64 = 2_300.0;

const US_PER_MS: f64 = 1e3;
const BYTES_PER_MB: f64 = 1e6;

/// Decides how many calls of each service leave the zone of this node.
#[derive(Debug, Default)]
pub struct ZoneTraffic {
    settings: ZoneTrafficSettings,
    services: FxHashMap<Service, ServiceShares>,
    transfers: TransferMeter,
}

impl ZoneTraffic {
    /// Returns the state before the first report: no call leaves a zone that has targets.
    pub fn new(settings: ZoneTrafficSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Replaces the settings.
    pub fn set_settings(&mut self, settings: ZoneTrafficSettings) {
        self.settings = settings;
    }

    /// Records the bytes of a request and its response.
    pub fn record_transfer(&mut self, route: &RouteId, service: &Service, bytes: u64) {
        self.transfers.record(route, service, bytes);
    }

    /// Recalculates the shares of a service from its load in each zone. Returns them if they should be logged.
    pub fn update(
        &mut self,
        service: &Service,
        own_zone: &AvailabilityZone,
        loads: &[ZoneLoad],
        now: TimeUs,
    ) -> Option<Vec<ZoneShare>> {
        let bytes = self.transfers.bytes_per_call(service);
        let cost_us = CROSSING_US + bytes / BYTES_PER_MB * self.settings.price_per_mb * US_PER_MS;
        let shares = self.services.entry(service.clone()).or_default();
        shares.update(own_zone, loads, cost_us, self.settings.max_share, now)
    }

    /// Returns the zone that a call is sent to, or `None` for the own one. `draw` is a random number from 0 to 1.
    pub fn choose_zone(&self, service: &Service, draw: f64) -> Option<&AvailabilityZone> {
        self.services.get(service)?.choose_zone(draw)
    }

    /// Returns the shares of a service's calls that are sent to other zones.
    pub fn shares(&self, service: &Service) -> &[ZoneShare] {
        self.services.get(service).map_or(&[], ServiceShares::shares)
    }
}
