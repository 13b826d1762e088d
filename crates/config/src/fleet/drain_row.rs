//! Drains of targets.

use std::net::SocketAddr;

use fulmartrestle_core::{AvailabilityZone, Service, VmId};
use fulmartrestle_derive::record;

use super::Row;

/// Selects the targets of a drain.
#[record]
#[derive(Eq, PartialOrd, Ord, Hash)]
#[serde(rename_all = "snake_case")]
pub enum DrainSelector {
    /// The target behind one run of a node.
    Vm(VmId),
    /// The target that announced this address.
    Address(SocketAddr),
    /// All targets in a zone.
    Zone(AvailabilityZone),
    /// All targets of a service in a zone.
    ServiceInZone {
        /// The service that the targets offer.
        service: Service,
        /// The zone that the targets are in.
        zone: AvailabilityZone,
    },
}

impl std::fmt::Display for DrainSelector {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Vm(vm) => write!(formatter, "VM {vm}"),
            Self::Address(address) => write!(formatter, "target {address}"),
            Self::Zone(zone) => write!(formatter, "zone {zone}"),
            Self::ServiceInZone { service, zone } => write!(formatter, "service {service} in zone {zone}"),
        }
    }
}

/// Drains targets: they finish their running requests and receive no new ones.
#[record]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct DrainRow {
    /// The targets to drain.
    pub targets: DrainSelector,
}

impl Row for DrainRow {
    type Key = DrainSelector;

    fn key(&self) -> &DrainSelector {
        &self.targets
    }
}
