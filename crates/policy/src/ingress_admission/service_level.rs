//! The admission level of one service, put together from its targets.

use std::collections::HashMap;

use fulmartrestle_core::{Class, TimeUs, VmId};

use super::IngressAdmissionSettings;
use crate::{AdmissionLevel, BasisPoints, MAX_TENANT_SHARES, SheddableShares, TenantHash, TenantShares};

/// How often the levels of a service's targets are put together anew. Doing so on each answer would
/// make a call's cost grow with the fleet.
const MERGE_INTERVAL_US: u64 = 10_000;
/// A level counts for this long after it was heard. The traffic shows soon enough which targets are
/// still in use.
const FRESH_US: u64 = 1_000_000;
/// How long callers are told that a service recovered.
const TELL_RECOVERY_US: u64 = 2_000_000;

/// The levels of a service's targets, weighted by the calls that each was offered, and the reports of
/// other nodes, which count only while no target was heard directly.
#[derive(Debug, Default)]
pub(super) struct ServiceLevel {
    targets: HashMap<VmId, HeardLevel>,
    reports: HashMap<VmId, HeardLevel>,
    merged: AdmissionLevel,
    merged_at: Option<TimeUs>,
    changed: bool,
    heard: TimeUs,
    last_shed: Option<TimeUs>,
}

#[derive(Debug)]
struct HeardLevel {
    level: AdmissionLevel,
    heard: TimeUs,
}

impl ServiceLevel {
    /// Takes the level that a target sent.
    pub fn observe(&mut self, target: VmId, level: AdmissionLevel, now: TimeUs) {
        self.targets.insert(target, HeardLevel { level, heard: now });
        self.changed = true;
    }

    /// Takes another node's view, which it heard at `heard`.
    pub fn observe_report(&mut self, reporter: VmId, level: AdmissionLevel, heard: TimeUs) {
        let known = self.reports.get(&reporter).is_some_and(|row| row.heard >= heard);
        if !known {
            self.reports.insert(reporter, HeardLevel { level, heard });
            self.changed = true;
        }
    }

    /// Returns the merged level with its age in milliseconds if callers should hear of it.
    pub fn report(&mut self, now: TimeUs) -> Option<(AdmissionLevel, u64)> {
        self.merge(now);
        let shed = self.last_shed?;
        let fresh = now.us_since(self.heard) < FRESH_US && now.us_since(shed) < TELL_RECOVERY_US;
        fresh.then(|| (self.merged, now.ms_since(self.heard)))
    }

    /// Returns the admitted share. After a while without news it rises class by class, most
    /// important first, so that recovery needs no one.
    pub fn share(
        &mut self,
        class: Class,
        tenant: TenantHash,
        now: TimeUs,
        settings: &IngressAdmissionSettings,
    ) -> BasisPoints {
        self.merge(now);
        let sheddable_admitted = self.merged.common.lookup != BasisPoints::ZERO;
        if class == Class::Protected && sheddable_admitted {
            return BasisPoints::FULL;
        }
        let heard_share = self.merged.admitted_share(class, tenant);
        let silent_ms = now.ms_since(self.heard).saturating_sub(settings.hold_ms);
        if silent_ms == 0 || heard_share == BasisPoints::FULL {
            return heard_share;
        }
        let delay_ms = self.classes_cut_above(class, tenant) * settings.recovery_ms;
        let risen = silent_ms.saturating_sub(delay_ms) * u64::from(BasisPoints::FULL.0) / settings.recovery_ms;
        let share = risen.saturating_add(u64::from(heard_share.0)).min(u64::from(BasisPoints::FULL.0));
        BasisPoints(share as u16)
    }

    /// Returns how many more important classes must recover before this one.
    fn classes_cut_above(&self, class: Class, tenant: TenantHash) -> u64 {
        let above = Class::ALL.into_iter().filter(|other| *other > class);
        above.filter(|other| self.merged.admitted_share(*other, tenant) != BasisPoints::FULL).count() as u64
    }

    fn merge(&mut self, now: TimeUs) {
        let merged_lately = self.merged_at.is_some_and(|merged| now.us_since(merged) < MERGE_INTERVAL_US);
        if !self.changed || merged_lately {
            return;
        }
        self.merged_at = Some(now);
        self.changed = false;
        self.targets.retain(|_, row| now.us_since(row.heard) < FRESH_US);
        self.reports.retain(|_, row| now.us_since(row.heard) < FRESH_US);
        let rows = if self.targets.is_empty() { &self.reports } else { &self.targets };
        self.merged = merge_levels(rows.values().map(|row| &row.level));
        self.heard = rows.values().map(|row| row.heard).max().unwrap_or(self.heard);
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
    let mut rows: Vec<_> = listed.into_iter().map(|tenant| TenantShares { tenant, shares: shares(tenant) }).collect();
    rows.sort_unstable_by_key(|row| (row.shares.lookup, row.shares.browse, row.tenant));
    for (entry, row) in merged.tenants.iter_mut().zip(rows.into_iter().take(MAX_TENANT_SHARES)) {
        *entry = row;
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
