//! Reports on which configuration version is active on the nodes of each zone.

use std::collections::BTreeMap;

use fulmartrestle_core::{AvailabilityZone, TimeUs, Version, VmId};
use fulmartrestle_derive::record;

use super::Isolation;
use super::member::ZoneMembers;
use super::timing::REPORT_LIFETIME_MS;

/// Maximum number of members that a report lists. A zone may have 800 members; an operator needs only a
/// few to look at.
const MAX_LISTED_MEMBERS: usize = 16;

/// A tailer's report on its zone.
#[record]
pub struct ZoneReport {
    /// The zone that is reported on.
    pub zone: AvailabilityZone,
    /// The tailer that made the report.
    pub reporter: VmId,
    /// Number of members of the zone in the tailer's view.
    pub member_count: u32,
    /// The highest version active on any member.
    pub highest: Version,
    /// The lowest version active on any member; zero when a member has not acknowledged any version.
    pub lowest: Version,
    /// Number of members that have not acknowledged `highest`.
    pub behind_count: u32,
    /// The first members that have not acknowledged `highest`, at most 16.
    pub behind: Vec<VmId>,
    /// Time since the tailer was last known to be at the end of the log, in milliseconds.
    pub log_age_ms: Option<u64>,
    /// What the zone has lost contact with; times are on the tailer's clock.
    pub isolation: Isolation,
}

/// A zone report with its age at the time of sending.
#[record]
pub struct AgedReport {
    /// The report.
    pub report: ZoneReport,
    /// Time since the report was made, in milliseconds.
    pub age_ms: u64,
}

#[derive(Clone, Debug)]
struct StoredReport {
    report: ZoneReport,
    made_at: TimeUs,
}

/// Acknowledged versions of the members of this node's zone, and the latest report on each zone.
#[derive(Clone, Debug, Default)]
pub(super) struct Reports {
    acked_versions: BTreeMap<VmId, Version>,
    stored: BTreeMap<AvailabilityZone, StoredReport>,
}

impl Reports {
    /// Records the version active on a member. A late message can't lower it.
    pub(super) fn record_ack(&mut self, vm: VmId, version: Version) {
        let acked = self.acked_versions.entry(vm).or_default();
        *acked = version.max(*acked);
    }

    /// Drops the acknowledgements of nodes that are no longer members.
    pub(super) fn retain_members(&mut self, zone: &ZoneMembers) {
        self.acked_versions.retain(|vm, _| zone.vms.binary_search(vm).is_ok());
    }

    /// Drops all acknowledgements.
    pub(super) fn clear_acks(&mut self) {
        self.acked_versions.clear();
    }

    /// Builds the report on this node's own zone.
    pub(super) fn build_local_report(
        &self,
        zone: &ZoneMembers,
        reporter: VmId,
        log_age_ms: Option<u64>,
        isolation: Isolation,
    ) -> ZoneReport {
        let acked_version = |vm: &VmId| self.acked_versions.get(vm).copied().unwrap_or_default();
        let highest = zone.vms.iter().map(acked_version).max().unwrap_or_default();
        let lowest = zone.vms.iter().map(acked_version).min().unwrap_or_default();
        let behind = || zone.vms.iter().copied().filter(|vm| acked_version(vm) < highest);
        ZoneReport {
            zone: zone.zone.clone(),
            reporter,
            member_count: u32::try_from(zone.vms.len()).unwrap_or(u32::MAX),
            highest,
            lowest,
            behind_count: u32::try_from(behind().count()).unwrap_or(u32::MAX),
            behind: behind().take(MAX_LISTED_MEMBERS).collect(),
            log_age_ms,
            isolation,
        }
    }

    /// Stores a report that was made at `made_at`, unless a newer one on that zone is stored.
    pub(super) fn store(&mut self, report: ZoneReport, made_at: TimeUs) {
        let is_newer = self.stored.get(&report.zone).is_none_or(|stored| made_at >= stored.made_at);
        if is_newer {
            self.stored.insert(report.zone.clone(), StoredReport { report, made_at });
        }
    }

    /// Returns the reports that are younger than [`REPORT_LIFETIME_MS`].
    pub(super) fn unexpired(&self, now: TimeUs) -> Vec<AgedReport> {
        let aged = self
            .stored
            .values()
            .map(|stored| AgedReport { report: stored.report.clone(), age_ms: now.ms_since(stored.made_at) });
        aged.filter(|aged| aged.age_ms < REPORT_LIFETIME_MS).collect()
    }
}
