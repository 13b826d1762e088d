//! What a node can say about the configuration of the fleet.

use fulmartrestle_core::{AvailabilityZone, LogOffset, Version};
use fulmartrestle_derive::record;

use super::{AgedReport, Isolation};
use crate::replica::ConfigHash;

/// The node's own place and the reports on all zones that it has heard.
#[record]
pub struct ConfigStatus {
    /// The version in force on this node.
    pub version: Version,
    /// The first record that it has not applied.
    pub next_offset: LogOffset,
    /// The hash over all that it has applied.
    pub hash: ConfigHash,
    /// Whether it serves requests.
    pub ready: bool,
    /// What its zone has lost contact with.
    pub isolation: Isolation,
    /// How long ago its view was the log's end, in milliseconds.
    pub log_age_ms: Option<u64>,
    /// Peers that were at the same place with another hash; never more than zero on sound nodes.
    pub divergences: u64,
    /// The reports on zones.
    pub zones: Vec<AgedReport>,
    /// Zones without a report.
    pub missing_zones: Vec<AvailabilityZone>,
}

impl ConfigStatus {
    /// Returns the zones that have not confirmed `version` on every member, among them those that
    /// no report has come from.
    pub fn unconfirmed_zones(&self, version: Version) -> Vec<AvailabilityZone> {
        let lower = self.zones.iter().filter(|aged| aged.report.lowest < version);
        let lower = lower.map(|aged| aged.report.zone.clone());
        lower.chain(self.missing_zones.iter().cloned()).collect()
    }
}
