//! The node's role as a member of its zone: acknowledging owners and confirming applied versions.

use fulmartrestle_core::{AvailabilityZone, TimeUs, Version, VmId};

use super::QuotaNode;
use crate::{ConfigState, QuotaMessage, QuotaShard, promise::Promise};

/// Interval between queries for missing confirmations of a version, in milliseconds.
const VERSION_QUERY_INTERVAL_MS: u64 = 500;

/// The shard whose owner confirms versions. Any shard serves, because every lease covers all members
/// of the zone.
const VERSION_SHARD: QuotaShard = QuotaShard(0);

/// Contents of a received [`QuotaMessage::LeaseRequest`].
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseRequest {
    pub(super) shard: QuotaShard,
    pub(super) seq: u64,
    pub(super) lease_duration_us: u64,
    pub(super) established: bool,
    pub(super) config: ConfigState,
}

impl QuotaNode {
    /// Acknowledges an owner unless a promise to another is still valid. The acknowledgement states
    /// whether this node has started recently and may have lost such a promise.
    pub(super) fn on_lease_request(&mut self, from: VmId, request: LeaseRequest, now: TimeUs) {
        let LeaseRequest { shard, seq, lease_duration_us, established, config } = request;
        if self.promises.get(&shard).is_some_and(|promise| promise.excludes(from, now)) {
            return;
        }
        let preferred = self.directory.preferred_owner(&self.zone, shard) == Some(from);
        let acceptable = established || (preferred && self.accepts_config(config));
        if !acceptable {
            return;
        }
        let valid_until = now.plus_us(self.settings.with_drift_margin_us(lease_duration_us));
        self.promises.insert(shard, Promise { owner: from, valid_until });
        let recently_started = self.is_recently_started(now);
        let applied_version = self.applied_version(now);
        self.send(from, QuotaMessage::LeaseAck { shard, seq, recently_started, applied_version }, now);
    }

    /// Returns whether a candidate's configuration state is at least as recent as this node's. A zone
    /// that has confirmed a version must not return to shares of an earlier one, and must not raise
    /// shares that are unconfirmed on this node.
    fn accepts_config(&self, candidate: ConfigState) -> bool {
        let own = self.config_state();
        candidate.version > own.version
            || (candidate.version == own.version && candidate.all_confirmed <= own.all_confirmed)
    }

    pub(super) fn config_state(&self) -> ConfigState {
        ConfigState {
            version: self.shard_owner.shares.version(),
            all_confirmed: self.shard_owner.shares.unconfirmed().is_empty(),
        }
    }

    /// Returns the version that this node has applied for longer than the lifetime of its earlier
    /// loans, or zero when it has not applied one for that long.
    fn applied_version(&self, now: TimeUs) -> Version {
        let aged =
            now.us_since(self.config_applied_at) > self.settings.with_drift_margin_us(self.settings.loan_duration_us());
        if aged { self.shard_owner.shares.version() } else { Version(0) }
    }

    /// Asks the zones whose shares fall whether they have applied this node's version.
    pub(super) fn query_versions(&mut self, now: TimeUs) {
        if self.shard_owner.shares.unconfirmed().is_empty() || now < self.next_query_at {
            return;
        }
        self.next_query_at = now.plus_ms(VERSION_QUERY_INTERVAL_MS);
        let version = self.shard_owner.shares.version();
        let zones: Vec<AvailabilityZone> = self.shard_owner.shares.unconfirmed().iter().cloned().collect();
        for zone in zones {
            if let Some(owner) = self.directory.preferred_owner(&zone, VERSION_SHARD) {
                self.send(owner, QuotaMessage::VersionQuery { version, requester: self.own_vm }, now);
            }
        }
    }

    pub(super) fn on_version_query(&mut self, from: VmId, version: Version, requester: VmId, now: TimeUs) {
        let confirmed = self.shard_owner.confirmed_version(&self.directory, &self.zone, now);
        if confirmed >= version {
            let zone = self.zone.clone();
            self.send(requester, QuotaMessage::VersionConfirmed { zone, version: confirmed }, now);
            return;
        }
        let owner = self.acknowledged_owner(VERSION_SHARD, now).filter(|owner| *owner != self.own_vm);
        if let Some(owner) = owner.filter(|_| from == requester) {
            self.send(owner, QuotaMessage::VersionQuery { version, requester }, now);
        }
    }

    pub(super) fn on_version_confirmed(&mut self, zone: &AvailabilityZone, version: Version, now: TimeUs) {
        if self.shard_owner.shares.on_confirmed(zone, version, &self.zone) {
            self.shard_owner.apply_shares(&self.settings, now);
        }
    }

    /// Returns whether there may be an owner with a valid lease that this process has no record of:
    /// one that a previous process at this address acknowledged, or one that acquired its lease before
    /// this node appeared in the owner's member view. A node that was paused counts as recently
    /// started, because its member view is as old as the pause.
    fn is_recently_started(&self, now: TimeUs) -> bool {
        let members = self.directory.member_count(&self.zone);
        let running_since = self.running_since.unwrap_or(now);
        now.us_since(running_since) < self.settings.recent_start_us(members)
    }
}
