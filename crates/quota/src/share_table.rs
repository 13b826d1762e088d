//! The shares of a zone, and which of them may not rise yet.

use std::collections::{BTreeMap, BTreeSet};

use fulmartrestle_core::{AvailabilityZone, Tenant, Version};

use crate::{QuotaConfig, QuotaShard, TenantRate, ZoneShare};

/// What a zone may admit of each tenant.
///
/// A changed rate alone raises or lowers the shares of all zones together, and each zone applies its
/// own when it hears of it. A changed list of zones, or a burst that passes the number of zones, moves
/// share from one zone to another. Then a zone that gains keeps the lower of its old and new shares
/// until the zones that lose have confirmed the new version; otherwise a zone that has not heard it
/// would go on with its old share on top of the others' new ones. While anything is unconfirmed no
/// share rises, so that a further change can't undo the wait.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShareTable {
    config: Option<QuotaConfig>,
    in_force: BTreeMap<Tenant, ZoneShare>,
    unconfirmed: BTreeSet<AvailabilityZone>,
}

impl ShareTable {
    pub(crate) fn set_config(&mut self, config: &QuotaConfig, own_zone: &AvailabilityZone) {
        for rate in &config.tenants {
            let gains = !self.share(&rate.tenant).covers(share_of(rate, config, own_zone));
            if gains {
                self.unconfirmed.extend(self.losing_zones(rate, config));
            }
        }
        self.unconfirmed.remove(own_zone);
        let in_force = config.tenants.iter().map(|rate| {
            let target = share_of(rate, config, own_zone);
            let before = self.in_force.get(&rate.tenant).filter(|_| !self.unconfirmed.is_empty());
            (rate.tenant.clone(), before.map_or(target, |before| before.lower_of(target)))
        });
        self.in_force = in_force.collect();
        self.config = Some(config.clone());
    }

    pub(crate) fn version(&self) -> Version {
        self.config.as_ref().map_or(Version(0), |config| config.version)
    }

    pub(crate) fn shares(&self) -> &BTreeMap<Tenant, ZoneShare> {
        &self.in_force
    }

    pub(crate) fn share(&self, tenant: &Tenant) -> ZoneShare {
        self.in_force.get(tenant).copied().unwrap_or_default()
    }

    /// Returns the zones whose confirmation is missing.
    pub(crate) fn unconfirmed(&self) -> &BTreeSet<AvailabilityZone> {
        &self.unconfirmed
    }

    /// Notes that a zone will never again use a share of an earlier version. Returns whether shares
    /// were raised.
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
        self.in_force =
            config.tenants.iter().map(|rate| (rate.tenant.clone(), share_of(rate, config, own_zone))).collect();
        true
    }

    /// Returns the zones whose share of a tenant falls with a new configuration.
    fn losing_zones(&self, rate: &TenantRate, config: &QuotaConfig) -> Vec<AvailabilityZone> {
        let Some(known) = &self.config else { return Vec::new() };
        let Some(known_rate) = known.tenants.iter().find(|found| found.tenant == rate.tenant) else {
            return Vec::new();
        };
        let loses = |zone: &&AvailabilityZone| !share_of(rate, config, zone).covers(share_of(known_rate, known, zone));
        known.zones.iter().filter(loses).cloned().collect()
    }
}

/// Returns a zone's share of one tenant. The zone's position rotates by shard, so that not every
/// remainder goes to the same zone.
fn share_of(rate: &TenantRate, config: &QuotaConfig, zone: &AvailabilityZone) -> ZoneShare {
    let zones: BTreeSet<&AvailabilityZone> = config.zones.iter().collect();
    let Some(place) = zones.iter().position(|found| *found == zone) else { return ZoneShare::default() };
    let zone_count = zones.len() as u64;
    let rotation = u64::from(QuotaShard::for_tenant(&rate.tenant).0);
    ZoneShare::for_zone(rate, (place as u64 + rotation) % zone_count, zone_count)
}
