//! Status of the fleet's configuration, as one node sees it.

use fulmartrestle_core::{AvailabilityZone, LogOffset, Version};
use fulmartrestle_derive::record;

use super::{AgedReport, Isolation};
use crate::replica::ConfigHash;

/// The node's own state, and the reports on other zones that it has received.
#[record]
pub struct ConfigStatus {
    /// The version active on this node.
    pub version: Version,
    /// Offset of the first record that the node has not applied.
    pub next_offset: LogOffset,
    /// Hash over all records that the node has applied.
    pub hash: ConfigHash,
    /// Whether the node serves requests.
    pub ready: bool,
    /// What the node's zone has lost contact with.
    pub isolation: Isolation,
    /// Time since the node was last known to be at the end of the log, in milliseconds.
    pub log_age_ms: Option<u64>,
    /// Number of received digests with the same offset as this node but another hash. It stays zero unless
    /// replicas have diverged.
    pub divergences: u64,
    /// The latest report on each zone.
    pub zones: Vec<AgedReport>,
    /// Zones without a recent report.
    pub missing_zones: Vec<AvailabilityZone>,
}

impl ConfigStatus {
    /// Returns the zones in which not every member has acknowledged `version`, including the zones without a
    /// report.
    pub fn unconfirmed_zones(&self, version: Version) -> Vec<AvailabilityZone> {
        let behind = self.zones.iter().filter(|aged| aged.report.lowest < version);
        let behind = behind.map(|aged| aged.report.zone.clone());
        behind.chain(self.missing_zones.iter().cloned()).collect()
    }
}
