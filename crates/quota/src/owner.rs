//! The shards that a node owns or seeks to own, with their buckets.

use std::collections::BTreeMap;

use fulmartrestle_core::{AvailabilityZone, Tenant, TimeUs, Version, VmId};

use crate::{
    QuotaConfig, QuotaSettings, QuotaShard, bucket::Bucket, directory::Directory, lease::Lease, lease::LeasePhase,
    share_table::ShareTable,
};

/// How often a candidate repeats its requests, in microseconds. Members that promised another owner
/// don't answer, so that a candidate learns of their lapse only by asking.
const CANDIDATE_RETRY_US: u64 = 250_000;

/// How long members are bound to a candidate, in microseconds. While views differ, candidates fail;
/// binding members for a whole lease would keep the next candidate out as long.
const CANDIDATE_LEASE_US: u64 = 1_000_000;

/// What a round of lease requests asks for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseTerms {
    pub(crate) lease_us: u64,
    pub(crate) established: bool,
}

/// Leases by shard and buckets by tenant.
#[derive(Clone, Debug, Default)]
pub(crate) struct Owner {
    leases: BTreeMap<QuotaShard, Lease>,
    pub(crate) shares: ShareTable,
    buckets: BTreeMap<Tenant, Bucket>,
}

impl Owner {
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

    /// Brings the buckets in line with the shares in force.
    pub(crate) fn apply_shares(&mut self, settings: &QuotaSettings, now: TimeUs) {
        for (tenant, bucket) in &mut self.buckets {
            bucket.set_share(self.shares.share(tenant), settings, now);
        }
        let lending: Vec<QuotaShard> = QuotaShard::all().filter(|shard| self.is_lending(*shard, now)).collect();
        for shard in lending {
            self.open_buckets(shard, now);
        }
    }

    pub(crate) fn is_lending(&self, shard: QuotaShard, now: TimeUs) -> bool {
        self.leases.get(&shard).is_some_and(|lease| lease.is_lending(now))
    }

    pub(crate) fn bucket(&mut self, tenant: &Tenant) -> Option<&mut Bucket> {
        self.buckets.get_mut(tenant)
    }

    pub(crate) fn on_ack(&mut self, from: VmId, shard: QuotaShard, seq: u64, fresh: bool, applied: Version) {
        if let Some(lease) = self.leases.get_mut(&shard) {
            lease.on_ack(from, seq, fresh, applied);
        }
    }

    /// Returns the version that all members apply, as the owner of any lending shard knows it.
    pub(crate) fn confirmed_version(&self, directory: &Directory, zone: &AvailabilityZone, now: TimeUs) -> Version {
        let lending = self.leases.values().filter(|lease| lease.is_lending(now));
        lending.map(|lease| lease.applied_by_all(directory.members(zone))).max().unwrap_or_default()
    }

    /// Applies a changed member view to all leases.
    pub(crate) fn review(&mut self, directory: &Directory, zone: &AvailabilityZone, now: TimeUs) {
        for lease in self.leases.values_mut() {
            lease.review(directory.members(zone), now);
        }
    }

    /// Moves one shard's lease on. A lease that has begun is kept while it is valid, whichever
    /// member rendezvous hashing prefers by now: moving it would cost the zone a loan time.
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
        if lease.needs_review() {
            lease.review(directory.members(zone), now);
        }
        let starts = lease.advance(settings.outlasting_us(settings.loan_us()), now);
        if starts {
            self.open_buckets(shard, now);
        } else if lease.phase == LeasePhase::Candidate {
            self.buckets.retain(|tenant, _| QuotaShard::for_tenant(tenant) != shard);
            if !eligible {
                self.leases.remove(&shard);
            }
        }
    }

    pub(crate) fn request_due(&self, shard: QuotaShard, now: TimeUs) -> bool {
        self.leases.get(&shard).is_some_and(|lease| lease.request_due(now))
    }

    /// Notes a round of lease requests and returns what it asks for.
    pub(crate) fn on_requested(
        &mut self,
        shard: QuotaShard,
        seq: u64,
        members: usize,
        settings: &QuotaSettings,
        now: TimeUs,
    ) -> Option<LeaseTerms> {
        let lease = self.leases.get_mut(&shard)?;
        let established = lease.phase != LeasePhase::Candidate && lease.is_valid(now);
        let pause_us = if established { settings.renew_us(members) } else { CANDIDATE_RETRY_US };
        let lease_us = if established { settings.lease_us(members) } else { CANDIDATE_LEASE_US };
        lease.on_requested(seq, now.plus_us(lease_us), now.plus_us(pause_us));
        Some(LeaseTerms { lease_us, established })
    }

    /// Lets loans lapse and forgets the buckets of tenants that have no rate any more.
    pub(crate) fn lapse(&mut self, settings: &QuotaSettings, now: TimeUs) {
        for bucket in self.buckets.values_mut() {
            bucket.lapse(settings, now);
        }
        let shares = self.shares.shares();
        self.buckets.retain(|tenant, bucket| shares.contains_key(tenant) || bucket.loan_count() > 0);
    }

    fn open_buckets(&mut self, shard: QuotaShard, now: TimeUs) {
        for (tenant, share) in self.shares.shares().iter().filter(|(tenant, _)| QuotaShard::for_tenant(tenant) == shard)
        {
            self.buckets.entry(tenant.clone()).or_insert_with(|| Bucket::empty(*share, now));
        }
    }
}
