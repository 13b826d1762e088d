//! Targets that should be leaving.

use std::net::SocketAddr;

use fulmartrestle_core::{AvailabilityZone, Service, VmId};
use fulmartrestle_derive::record;

use super::Row;

/// Which targets a drain or stop is about.
#[record]
#[derive(Eq, PartialOrd, Ord, Hash)]
#[serde(rename_all = "snake_case")]
pub enum DrainSelector {
    /// The target of one run of one node.
    Vm(VmId),
    /// The target announced under this address.
    Address(SocketAddr),
    /// All targets of a zone.
    Zone(AvailabilityZone),
    /// All targets of a service in a zone.
    ServiceInZone {
        /// The service.
        service: Service,
        /// The zone.
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

/// Targets that should be leaving: they finish what they run and get nothing new.
#[record]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct DrainRow {
    /// The targets.
    pub targets: DrainSelector,
}

impl Row for DrainRow {
    type Key = DrainSelector;

    fn key(&self) -> &DrainSelector {
        &self.targets
    }
}
