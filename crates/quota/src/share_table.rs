//! The tenants' shares of one zone, and the confirmations that must arrive before they may rise.

use std::collections::{BTreeMap, BTreeSet};

use fulmartrestle_core::{AvailabilityZone, Tenant, Version};

use crate::{QuotaConfig, QuotaShard, TenantRate, ZoneShare};

/// Effective shares of one zone by tenant.
///
/// A change of rate alone raises or lowers the shares of all zones together, and each zone applies its
/// new share when it receives the configuration. A change of the zone list, or a burst that crosses
/// the number of zones, moves capacity from one zone to another. A zone that gains capacity then uses
/// the lower of its old and new shares until the zones that lose capacity have confirmed the new
/// version. Otherwise a zone that has not received the version would keep using its old share in
/// addition to the new shares of the others. No share rises while any confirmation is missing, so that
/// a further change cannot bypass the wait.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShareTable {
    config: Option<QuotaConfig>,
    effective: BTreeMap<Tenant, ZoneShare>,
    unconfirmed: BTreeSet<AvailabilityZone>,
}

impl ShareTable {
    pub(crate) fn set_config(&mut self, config: &QuotaConfig, own_zone: &AvailabilityZone) {
        for rate in &config.tenants {
            let share_grows = !self.share(&rate.tenant).is_at_least(zone_share(rate, config, own_zone));
            if share_grows {
                self.unconfirmed.extend(self.losing_zones(rate, config));
            }
        }
        self.unconfirmed.remove(own_zone);
        let effective = config.tenants.iter().map(|rate| {
            let target = zone_share(rate, config, own_zone);
            let before = self.effective.get(&rate.tenant).filter(|_| !self.unconfirmed.is_empty());
            (rate.tenant.clone(), before.map_or(target, |before| before.component_min(target)))
        });
        self.effective = effective.collect();
        self.config = Some(config.clone());
    }

    pub(crate) fn version(&self) -> Version {
        self.config.as_ref().map_or(Version(0), |config| config.version)
    }

    pub(crate) fn shares(&self) -> &BTreeMap<Tenant, ZoneShare> {
        &self.effective
    }

    pub(crate) fn share(&self, tenant: &Tenant) -> ZoneShare {
        self.effective.get(tenant).copied().unwrap_or_default()
    }

    /// Returns the zones that have not confirmed the current version.
    pub(crate) fn unconfirmed(&self) -> &BTreeSet<AvailabilityZone> {
        &self.unconfirmed
    }

    /// Records that a zone will never again use a share of a version below `version`. Returns whether
    /// this was the last missing confirmation, so that the target shares are now effective.
    pub(crate) fn on_confirmed(
        &mut self,
        zone: &AvailabilityZone,
        version: Version,
        own_zone: &AvailabilityZone,
    ) -> bool {
        let Some(config) = &self.config else { return false };
        if version < config.version || !self.unconfirmed.remove(zone) || !self.unconfirmed.is_empty() {
            return false;
        }
        self.effective =
            config.tenants.iter().map(|rate| (rate.tenant.clone(), zone_share(rate, config, own_zone))).collect();
        true
    }

    /// Returns the zones whose share of a tenant falls under a new configuration.
    fn losing_zones(&self, rate: &TenantRate, config: &QuotaConfig) -> Vec<AvailabilityZone> {
        let Some(current) = &self.config else { return Vec::new() };
        let Some(current_rate) = current.tenants.iter().find(|found| found.tenant == rate.tenant) else {
            return Vec::new();
        };
        let share_shrinks = |zone: &&AvailabilityZone| {
            !zone_share(rate, config, zone).is_at_least(zone_share(current_rate, current, zone))
        };
        current.zones.iter().filter(share_shrinks).cloned().collect()
    }
}

/// Returns a zone's share of one tenant. The zone's position rotates with the tenant's shard, so that
/// the remainders do not all go to the same zone.
fn zone_share(rate: &TenantRate, config: &QuotaConfig, zone: &AvailabilityZone) -> ZoneShare {
    let zones: BTreeSet<&AvailabilityZone> = config.zones.iter().collect();
    let Some(position) = zones.iter().position(|found| *found == zone) else { return ZoneShare::default() };
    let zone_count = zones.len() as u64;
    let rotation = u64::from(QuotaShard::for_tenant(&rate.tenant).0);
    ZoneShare::for_zone(rate, (position as u64 + rotation) % zone_count, zone_count)
}
