//! The admission level of one service, put together from its targets.

use std::collections::HashMap;

use fulmartrestle_core::{Class, TimeUs, VmId};

use super::DoorSettings;
use crate::{AdmissionLevel, MAX_TENANT_SHARES, Permille, TenantHash, TenantShare};

/// How often the levels of a service's targets are put together anew. Doing so on each answer would
/// make a call's cost grow with the fleet.
const MERGE_INTERVAL_US: u64 = 10_000;
/// After this time without news a target's level is forgotten.
const FORGET_US: u64 = 5_000_000;

/// The levels of a service's targets, weighted by the calls that each was offered.
#[derive(Debug, Default)]
pub(super) struct ServiceLevel {
    targets: HashMap<VmId, TargetLevel>,
    merged: AdmissionLevel,
    merged_at: Option<TimeUs>,
    changed: bool,
    heard: TimeUs,
}

#[derive(Debug)]
struct TargetLevel {
    level: AdmissionLevel,
    heard: TimeUs,
}

impl ServiceLevel {
    pub fn observe(&mut self, target: VmId, level: AdmissionLevel, now: TimeUs) {
        self.targets.insert(target, TargetLevel { level, heard: now });
        self.heard = now;
        self.changed = true;
    }

    /// Returns the admitted share. After a while without news it rises class by class, most
    /// important first, so that recovery needs no one.
    pub fn share(&mut self, class: Class, tenant: TenantHash, now: TimeUs, settings: &DoorSettings) -> Permille {
        self.merge(now);
        let sheddable_admitted = self.merged.classes[Class::Lookup.index()] != Permille::ZERO;
        if class == Class::Protected && sheddable_admitted {
            return Permille::FULL;
        }
        let heard_share = self.merged.share(class, tenant);
        let silent_ms = now.ms_since(self.heard).saturating_sub(settings.hold_ms);
        if silent_ms == 0 || heard_share == Permille::FULL {
            return heard_share;
        }
        let classes_above = (Class::ALL.len() - 1 - class.index()) as u64;
        let cut_above = (class.index() + 1..Class::ALL.len()).any(|index| self.merged.classes[index] != Permille::FULL);
        let delay_ms = if cut_above { classes_above * settings.recovery_ms } else { 0 };
        let risen = silent_ms.saturating_sub(delay_ms) * u64::from(Permille::FULL.0) / settings.recovery_ms;
        Permille(risen.saturating_add(u64::from(heard_share.0)).min(u64::from(Permille::FULL.0)) as u16)
    }

    fn merge(&mut self, now: TimeUs) {
        let merged_lately = self.merged_at.is_some_and(|merged| now.us_since(merged) < MERGE_INTERVAL_US);
        if !self.changed || merged_lately {
            return;
        }
        self.targets.retain(|_, row| now.us_since(row.heard) < FORGET_US);
        self.merged_at = Some(now);
        self.changed = false;
        self.merged = merge_levels(self.targets.values().map(|row| &row.level));
    }
}

fn merge_levels<'a>(levels: impl Iterator<Item = &'a AdmissionLevel> + Clone) -> AdmissionLevel {
    let mut merged = AdmissionLevel::default();
    for class in Class::ALL {
        merged.classes[class.index()] = mean_share(levels.clone().map(|level| (level, level.classes[class.index()])));
    }
    let mut listed: Vec<TenantHash> =
        levels.clone().flat_map(|level| level.tenants).map(|entry| entry.tenant).collect();
    listed.sort_unstable();
    listed.dedup();
    listed.retain(|tenant| *tenant != TenantHash::default());
    let marginal = levels.clone().filter(|level| level.sheds()).map(|level| level.marginal).max().unwrap_or_default();
    merged.marginal = marginal;
    let mut shares: Vec<_> = listed
        .into_iter()
        .map(|tenant| (mean_share(levels.clone().map(|level| (level, level.share(marginal, tenant)))), tenant))
        .collect();
    shares.sort_unstable();
    for (entry, (share, tenant)) in merged.tenants.iter_mut().zip(shares.into_iter().take(MAX_TENANT_SHARES)) {
        *entry = TenantShare { tenant, share };
    }
    merged
}

fn mean_share<'a>(shares: impl Iterator<Item = (&'a AdmissionLevel, Permille)>) -> Permille {
    let (weight, sum) = shares.fold((0, 0), |(weight, sum), (level, share)| {
        let offered = u64::from(level.offered_per_s.max(1));
        (weight + offered, sum + offered * u64::from(share.0))
    });
    Permille(sum.checked_div(weight).unwrap_or(u64::from(Permille::FULL.0)) as u16)
}
