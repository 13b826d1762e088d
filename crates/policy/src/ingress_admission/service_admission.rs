//! Admission level of one service, merged from the levels of its targets.

use fulmartrestle_core::{Class, TimeUs, VmId};
use rustc_hash::FxHashMap;

use super::IngressAdmissionSettings;
use crate::{AdmissionLevel, BasisPoints, MAX_TENANT_SHARES, SheddableShares, TenantHash, TenantShares};

/// Minimum interval between merges of the levels of a service's targets. Merging on each response would make
/// the cost of a call grow with the fleet.
const MERGE_INTERVAL_US: u64 = 10_000;
/// Time for which a level is used after it was received. Targets that are in use send updates more often.
const LEVEL_VALID_US: u64 = 1_000_000;
/// Time for which the level is still reported to callers after a service recovered.
const RECOVERY_REPORT_US: u64 = 2_000_000;

/// Levels of a service's targets, weighted by the calls that each was offered, and the reports of other
/// nodes, which are used only while no target has sent a level directly.
#[derive(Debug, Default)]
pub(super) struct ServiceAdmission {
    targets: FxHashMap<VmId, ReceivedLevel>,
    reports: FxHashMap<VmId, ReceivedLevel>,
    merged: AdmissionLevel,
    merged_at: Option<TimeUs>,
    merge_pending: bool,
    received_at: TimeUs,
    last_shed: Option<TimeUs>,
}

#[derive(Debug)]
struct ReceivedLevel {
    level: AdmissionLevel,
    received_at: TimeUs,
}

impl ServiceAdmission {
    /// Records the level that a target sent.
    pub fn record_target_level(&mut self, target: VmId, level: AdmissionLevel, now: TimeUs) {
        self.targets.insert(target, ReceivedLevel { level, received_at: now });
        self.merge_pending = true;
    }

    /// Records the merged level of another node, which that node received at `received_at`.
    pub fn record_report(&mut self, reporter: VmId, level: AdmissionLevel, received_at: TimeUs) {
        let is_outdated = self.reports.get(&reporter).is_some_and(|received| received.received_at >= received_at);
        if !is_outdated {
            self.reports.insert(reporter, ReceivedLevel { level, received_at });
            self.merge_pending = true;
        }
    }

    /// Returns the merged level with its age in milliseconds if it should be reported to callers.
    pub fn report(&mut self, now: TimeUs) -> Option<(AdmissionLevel, u64)> {
        self.merge_if_due(now);
        let shed = self.last_shed?;
        let should_report = now.us_since(self.received_at) < LEVEL_VALID_US && now.us_since(shed) < RECOVERY_REPORT_US;
        should_report.then(|| (self.merged, now.ms_since(self.received_at)))
    }

    /// Returns the admitted share. Without updates it rises over time class by class, the most important
    /// first, so that recovery needs no message.
    pub fn admitted_share(
        &mut self,
        class: Class,
        tenant: TenantHash,
        now: TimeUs,
        settings: &IngressAdmissionSettings,
    ) -> BasisPoints {
        self.merge_if_due(now);
        let sheddable_admitted = self.merged.common.lookup != BasisPoints::ZERO;
        if class == Class::Protected && sheddable_admitted {
            return BasisPoints::FULL;
        }
        let received_share = self.merged.admitted_share(class, tenant);
        let recovering_ms = now.ms_since(self.received_at).saturating_sub(settings.recovery_delay_ms);
        if recovering_ms == 0 || received_share == BasisPoints::FULL {
            return received_share;
        }
        let delay_ms = self.unrecovered_classes_above(class, tenant) * settings.recovery_ms;
        let recovered = recovering_ms.saturating_sub(delay_ms) * u64::from(BasisPoints::FULL.0) / settings.recovery_ms;
        let share = recovered.saturating_add(u64::from(received_share.0)).min(u64::from(BasisPoints::FULL.0));
        BasisPoints(share as u16)
    }

    /// Returns how many more important classes must recover before this one.
    fn unrecovered_classes_above(&self, class: Class, tenant: TenantHash) -> u64 {
        let above = Class::ALL.into_iter().filter(|other| *other > class);
        above.filter(|other| self.merged.admitted_share(*other, tenant) != BasisPoints::FULL).count() as u64
    }

    fn merge_if_due(&mut self, now: TimeUs) {
        let merged_recently = self.merged_at.is_some_and(|merged| now.us_since(merged) < MERGE_INTERVAL_US);
        if !self.merge_pending || merged_recently {
            return;
        }
        self.merged_at = Some(now);
        self.merge_pending = false;
        self.targets.retain(|_, received| now.us_since(received.received_at) < LEVEL_VALID_US);
        self.reports.retain(|_, received| now.us_since(received.received_at) < LEVEL_VALID_US);
        let received_levels = if self.targets.is_empty() { &self.reports } else { &self.targets };
        self.merged = merge_levels(received_levels.values().map(|received| &received.level));
        self.received_at =
            received_levels.values().map(|received| received.received_at).max().unwrap_or(self.received_at);
        if self.merged.is_shedding() {
            self.last_shed = Some(now);
        }
    }
}

fn merge_levels<'a>(levels: impl Iterator<Item = &'a AdmissionLevel> + Clone) -> AdmissionLevel {
    let mut merged = AdmissionLevel {
        protected: mean_share(levels.clone(), |level| level.protected),
        common: mean_shares(levels.clone(), |level| level.common),
        ..AdmissionLevel::default()
    };
    merged.offered_per_s = levels.clone().map(|level| level.offered_per_s).fold(0, u32::saturating_add);
    let mut listed: Vec<TenantHash> =
        levels.clone().flat_map(AdmissionLevel::listed_tenants).map(|entry| entry.tenant).collect();
    listed.sort_unstable();
    listed.dedup();
    let shares = |tenant| mean_shares(levels.clone(), |level| level.sheddable_shares(tenant));
    let mut listed_shares: Vec<_> =
        listed.into_iter().map(|tenant| TenantShares { tenant, shares: shares(tenant) }).collect();
    listed_shares.sort_unstable_by_key(|entry| (entry.shares.lookup, entry.shares.browse, entry.tenant));
    for (entry, tenant_shares) in merged.tenants.iter_mut().zip(listed_shares.into_iter().take(MAX_TENANT_SHARES)) {
        *entry = tenant_shares;
    }
    merged
}

fn mean_shares<'a>(
    levels: impl Iterator<Item = &'a AdmissionLevel> + Clone,
    shares: impl Fn(&AdmissionLevel) -> SheddableShares,
) -> SheddableShares {
    SheddableShares {
        browse: mean_share(levels.clone(), |level| shares(level).browse),
        lookup: mean_share(levels, |level| shares(level).lookup),
    }
}

fn mean_share<'a>(
    levels: impl Iterator<Item = &'a AdmissionLevel>,
    share: impl Fn(&AdmissionLevel) -> BasisPoints,
) -> BasisPoints {
    let (weight, sum) = levels.fold((0, 0), |(weight, sum), level| {
        let offered = u64::from(level.offered_per_s.max(1));
        (weight + offered, sum + offered * u64::from(share(level).0))
    });
    BasisPoints(sum.checked_div(weight).unwrap_or(u64::from(BasisPoints::FULL.0)) as u16)
}
