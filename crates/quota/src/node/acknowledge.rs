//! A node as member of its zone: it acknowledges owners and answers for the version it applies.

use fulmartrestle_core::{AvailabilityZone, TimeUs, Version, VmId};

use super::QuotaNode;
use crate::{ConfigState, QuotaMessage, QuotaShard, promise::Promise};

/// How often a node asks for missing confirmations of a version, in milliseconds.
const VERSION_QUERY_MS: u64 = 500;

/// The shard whose owner confirms versions; any would do, since its lease counts all members.
const VERSION_SHARD: QuotaShard = QuotaShard(0);

/// A lease request as its receiver sees it.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseOffer {
    pub(super) shard: QuotaShard,
    pub(super) seq: u64,
    pub(super) lease_us: u64,
    pub(super) established: bool,
    pub(super) config: ConfigState,
}

impl QuotaNode {
    /// Acknowledges an owner unless another is acknowledged. A node that has just started may have
    /// forgotten a promise and says so.
    pub(super) fn on_lease_request(&mut self, from: VmId, offer: LeaseOffer, now: TimeUs) {
        let LeaseOffer { shard, seq, lease_us, established, config } = offer;
        if self.promises.get(&shard).is_some_and(|promise| promise.excludes(from, now)) {
            return;
        }
        let preferred = self.directory.preferred_owner(&self.zone, shard) == Some(from);
        let supported = established || (preferred && self.accepts_config(config));
        if !supported {
            return;
        }
        let until = now.plus_us(self.settings.outlasting_us(lease_us));
        self.promises.insert(shard, Promise { owner: from, until });
        let fresh = self.is_fresh(now);
        let applied = self.applied_version(now);
        self.send(from, QuotaMessage::LeaseAck { shard, seq, fresh, applied }, now);
    }

    /// Returns whether a candidate's knowledge of the configuration is not behind this node's: a
    /// zone that confirmed a version must not come back to shares of an earlier one, nor raise
    /// shares that this node knows to be unconfirmed.
    fn accepts_config(&self, candidate: ConfigState) -> bool {
        let own = self.config_state();
        candidate.version > own.version || (candidate.version == own.version && candidate.settled <= own.settled)
    }

    pub(super) fn config_state(&self) -> ConfigState {
        ConfigState { version: self.owner.shares.version(), settled: self.owner.shares.unconfirmed().is_empty() }
    }

    /// Returns the version that this node has applied for longer than its earlier loans last.
    fn applied_version(&self, now: TimeUs) -> Version {
        let aged = now.us_since(self.configured_at) > self.settings.outlasting_us(self.settings.loan_us());
        if aged { self.owner.shares.version() } else { Version(0) }
    }

    /// Asks the zones that lose share whether they have applied this node's version.
    pub(super) fn query_versions(&mut self, now: TimeUs) {
        if self.owner.shares.unconfirmed().is_empty() || now < self.next_query_at {
            return;
        }
        self.next_query_at = now.plus_ms(VERSION_QUERY_MS);
        let version = self.owner.shares.version();
        let zones: Vec<AvailabilityZone> = self.owner.shares.unconfirmed().iter().cloned().collect();
        for zone in zones {
            if let Some(owner) = self.directory.preferred_owner(&zone, VERSION_SHARD) {
                self.send(owner, QuotaMessage::VersionQuery { version, asker: self.own }, now);
            }
        }
    }

    pub(super) fn on_version_query(&mut self, from: VmId, version: Version, asker: VmId, now: TimeUs) {
        let confirmed = self.owner.confirmed_version(&self.directory, &self.zone, now);
        if confirmed >= version {
            let zone = self.zone.clone();
            self.send(asker, QuotaMessage::VersionConfirmed { zone, version: confirmed }, now);
            return;
        }
        let owner = self.acknowledged_owner(VERSION_SHARD, now).filter(|owner| *owner != self.own);
        if let Some(owner) = owner.filter(|_| from == asker) {
            self.send(owner, QuotaMessage::VersionQuery { version, asker }, now);
        }
    }

    pub(super) fn on_version_confirmed(&mut self, zone: &AvailabilityZone, version: Version, now: TimeUs) {
        if self.owner.shares.on_confirmed(zone, version, &self.zone) {
            self.owner.apply_shares(&self.settings, now);
        }
    }

    /// Returns whether an owner may hold a lease that this node knows nothing of: one that an
    /// earlier process at this place acknowledged, or one from before this node was seen to join. A
    /// node that was paused counts as just started, since its member view is as old as the pause.
    fn is_fresh(&self, now: TimeUs) -> bool {
        let members = self.directory.member_count(&self.zone);
        let running_since = self.running_since.unwrap_or(now);
        now.us_since(running_since) < self.settings.fresh_us(members)
    }
}
