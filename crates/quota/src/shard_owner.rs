//! The shards that a node owns or tries to acquire, with their token buckets.

use std::collections::BTreeMap;

use fulmartrestle_core::{AvailabilityZone, Tenant, TimeUs, Version, VmId};

use crate::{
    QuotaConfig, QuotaSettings, QuotaShard, bucket::Bucket, directory::Directory, lease::Lease, lease::LeasePhase,
    share_table::ShareTable,
};

/// Interval between a candidate's request rounds, in microseconds. Members bound by a promise to
/// another owner do not respond, so a candidate detects the end of a promise only by polling.
const CANDIDATE_RETRY_INTERVAL_US: u64 = 250_000;

/// Time for which members are bound to a candidate, in microseconds. While member views differ,
/// candidates fail, and a member bound for a whole lease would block the next candidate for as long.
const CANDIDATE_LEASE_US: u64 = 1_000_000;

/// Terms of one round of lease requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseTerms {
    pub(crate) lease_duration_us: u64,
    pub(crate) established: bool,
}

/// Leases by shard, token buckets by tenant, and the zone's shares.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShardOwner {
    leases: BTreeMap<QuotaShard, Lease>,
    pub(crate) shares: ShareTable,
    buckets: BTreeMap<Tenant, Bucket>,
}

impl ShardOwner {
    pub(crate) fn set_shares(
        &mut self,
        config: &QuotaConfig,
        zone: &AvailabilityZone,
        settings: &QuotaSettings,
        now: TimeUs,
    ) {
        self.shares.set_config(config, zone);
        self.apply_shares(settings, now);
    }

    /// Applies the effective shares to the buckets and creates missing buckets of lending shards.
    pub(crate) fn apply_shares(&mut self, settings: &QuotaSettings, now: TimeUs) {
        for (tenant, bucket) in &mut self.buckets {
            bucket.set_share(self.shares.share(tenant), settings, now);
        }
        let lending: Vec<QuotaShard> = QuotaShard::all().filter(|shard| self.is_lending(*shard, now)).collect();
        for shard in lending {
            self.create_buckets(shard, now);
        }
    }

    pub(crate) fn is_lending(&self, shard: QuotaShard, now: TimeUs) -> bool {
        self.leases.get(&shard).is_some_and(|lease| lease.is_lending(now))
    }

    pub(crate) fn bucket(&mut self, tenant: &Tenant) -> Option<&mut Bucket> {
        self.buckets.get_mut(tenant)
    }

    pub(crate) fn on_ack(
        &mut self,
        from: VmId,
        shard: QuotaShard,
        seq: u64,
        recently_started: bool,
        applied_version: Version,
    ) {
        if let Some(lease) = self.leases.get_mut(&shard) {
            lease.on_ack(from, seq, recently_started, applied_version);
        }
    }

    /// Returns the version that all members are confirmed to apply, according to the shards that
    /// this node lends for, or zero when it lends for none.
    pub(crate) fn confirmed_version(&self, directory: &Directory, zone: &AvailabilityZone, now: TimeUs) -> Version {
        let lending = self.leases.values().filter(|lease| lease.is_lending(now));
        lending.map(|lease| lease.min_applied_version(directory.members(zone))).max().unwrap_or_default()
    }

    /// Recomputes the validity of all leases after a change of the member view.
    pub(crate) fn update_validity(&mut self, directory: &Directory, zone: &AvailabilityZone, now: TimeUs) {
        for lease in self.leases.values_mut() {
            lease.update_validity(directory.members(zone), now);
        }
    }

    /// Advances the lease of one shard. A lease that has been acquired is kept while it is valid, even
    /// when rendezvous hashing now prefers another member: a change of owner would stop lending in the
    /// zone for the lifetime of a loan.
    pub(crate) fn tick_shard(
        &mut self,
        shard: QuotaShard,
        eligible: bool,
        directory: &Directory,
        zone: &AvailabilityZone,
        settings: &QuotaSettings,
        now: TimeUs,
    ) {
        if eligible {
            self.leases.entry(shard).or_insert_with(Lease::candidate);
        }
        let Some(lease) = self.leases.get_mut(&shard) else { return };
        if lease.has_unprocessed_acks() {
            lease.update_validity(directory.members(zone), now);
        }
        let starts_lending = lease.advance_phase(settings.with_drift_margin_us(settings.loan_duration_us()), now);
        if starts_lending {
            self.create_buckets(shard, now);
        } else if lease.phase == LeasePhase::Candidate {
            self.buckets.retain(|tenant, _| QuotaShard::for_tenant(tenant) != shard);
            if !eligible {
                self.leases.remove(&shard);
            }
        }
    }

    pub(crate) fn is_request_due(&self, shard: QuotaShard, now: TimeUs) -> bool {
        self.leases.get(&shard).is_some_and(|lease| lease.is_request_due(now))
    }

    /// Records a round of lease requests and returns its terms.
    pub(crate) fn record_round(
        &mut self,
        shard: QuotaShard,
        seq: u64,
        members: usize,
        settings: &QuotaSettings,
        now: TimeUs,
    ) -> Option<LeaseTerms> {
        let lease = self.leases.get_mut(&shard)?;
        let established = lease.phase != LeasePhase::Candidate && lease.is_valid(now);
        let interval_us = if established { settings.renew_interval_us(members) } else { CANDIDATE_RETRY_INTERVAL_US };
        let lease_duration_us = if established { settings.lease_duration_us(members) } else { CANDIDATE_LEASE_US };
        lease.record_round(seq, now.plus_us(lease_duration_us), now.plus_us(interval_us));
        Some(LeaseTerms { lease_duration_us, established })
    }

    /// Expires loans and removes the buckets of tenants without a rate once they have no loans.
    pub(crate) fn expire_loans(&mut self, settings: &QuotaSettings, now: TimeUs) {
        for bucket in self.buckets.values_mut() {
            bucket.expire_loans(settings, now);
        }
        let shares = self.shares.shares();
        self.buckets.retain(|tenant, bucket| shares.contains_key(tenant) || bucket.loan_count() > 0);
    }

    fn create_buckets(&mut self, shard: QuotaShard, now: TimeUs) {
        for (tenant, share) in self.shares.shares().iter().filter(|(tenant, _)| QuotaShard::for_tenant(tenant) == shard)
        {
            self.buckets.entry(tenant.clone()).or_insert_with(|| Bucket::empty(*share, now));
        }
    }
}
