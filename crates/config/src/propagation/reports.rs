//! Which nodes have which version in force.

use std::collections::BTreeMap;

use fulmartrestle_core::{AvailabilityZone, TimeUs, Version, VmId};
use fulmartrestle_derive::record;

use super::Isolation;
use super::member::ZoneMembers;
use super::timing::REPORT_LIFETIME_MS;

/// Most members that a report names; an operator needs a few to look at, not eight hundred.
const MAX_NAMED: usize = 16;

/// A tailer's report on its zone.
#[record]
pub struct ZoneReport {
    /// The zone.
    pub zone: AvailabilityZone,
    /// The tailer.
    pub reporter: VmId,
    /// Members of the zone that the tailer knows.
    pub member_count: u32,
    /// The highest version in force on any of them.
    pub highest: Version,
    /// The lowest version in force on any of them; zero when one has not confirmed any.
    pub lowest: Version,
    /// Members that have not confirmed `highest`.
    pub behind_count: u32,
    /// Some of them.
    pub behind: Vec<VmId>,
    /// How long ago the tailer's view was the log's end, in milliseconds.
    pub log_age_ms: Option<u64>,
    /// What the zone has lost contact with, on the tailer's clock.
    pub isolation: Isolation,
}

/// A report and its age.
#[record]
pub struct AgedReport {
    /// The report.
    pub report: ZoneReport,
    /// Its age, in milliseconds.
    pub age_ms: u64,
}

#[derive(Clone, Debug)]
struct Held {
    report: ZoneReport,
    made_at: TimeUs,
}

/// Acknowledgements of this node's zone, and reports on all zones.
#[derive(Clone, Debug, Default)]
pub(super) struct Reports {
    acks: BTreeMap<VmId, Version>,
    held: BTreeMap<AvailabilityZone, Held>,
}

impl Reports {
    /// Notes the version in force on a member; a late message can't lower it.
    pub(super) fn note_ack(&mut self, vm: VmId, version: Version) {
        let held = self.acks.entry(vm).or_default();
        *held = version.max(*held);
    }

    /// Forgets members that are gone.
    pub(super) fn keep_members(&mut self, zone: &ZoneMembers) {
        self.acks.retain(|vm, _| zone.vms.binary_search(vm).is_ok());
    }

    pub(super) fn forget_acks(&mut self) {
        self.acks.clear();
    }

    /// Makes the report on this node's own zone.
    pub(super) fn own_report(
        &self,
        zone: &ZoneMembers,
        reporter: VmId,
        log_age_ms: Option<u64>,
        isolation: Isolation,
    ) -> ZoneReport {
        let version_of = |vm: &VmId| self.acks.get(vm).copied().unwrap_or_default();
        let highest = zone.vms.iter().map(version_of).max().unwrap_or_default();
        let lowest = zone.vms.iter().map(version_of).min().unwrap_or_default();
        let behind = || zone.vms.iter().copied().filter(|vm| version_of(vm) < highest);
        ZoneReport {
            zone: zone.zone.clone(),
            reporter,
            member_count: u32::try_from(zone.vms.len()).unwrap_or(u32::MAX),
            highest,
            lowest,
            behind_count: u32::try_from(behind().count()).unwrap_or(u32::MAX),
            behind: behind().take(MAX_NAMED).collect(),
            log_age_ms,
            isolation,
        }
    }

    /// Takes a report that was made at `made_at`, unless a newer one of that zone is held.
    pub(super) fn take(&mut self, report: ZoneReport, made_at: TimeUs) {
        let is_newer = self.held.get(&report.zone).is_none_or(|held| made_at >= held.made_at);
        if is_newer {
            self.held.insert(report.zone.clone(), Held { report, made_at });
        }
    }

    /// Returns the reports that still count.
    pub(super) fn fresh(&self, now: TimeUs) -> Vec<AgedReport> {
        let aged = self
            .held
            .values()
            .map(|held| AgedReport { report: held.report.clone(), age_ms: now.ms_since(held.made_at) });
        aged.filter(|aged| aged.age_ms < REPORT_LIFETIME_MS).collect()
    }
}
