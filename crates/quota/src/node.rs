//! The rate limiter of one node.

mod acknowledge;

use std::collections::BTreeMap;

use fulmartrestle_core::{AvailabilityZone, Tenant, TimeUs, VmId};

use self::acknowledge::LeaseRequest;
use crate::{
    LoanReport, OutgoingMessage, QuotaConfig, QuotaMember, QuotaMessage, QuotaSettings, QuotaShard, RateDecision,
    bucket::Bucket, directory::Directory, promise::Promise, shard_owner::LeaseTerms, shard_owner::ShardOwner,
    tenant_loans::TenantLoans, tenant_loans::ceil_to_ms,
};

/// Retry-After for tenants without a rate and on nodes without a configuration, in milliseconds.
const UNKNOWN_TENANT_RETRY_AFTER_MS: u64 = 1_000;

/// Time without any method call after which the node assumes that its process was paused, in
/// microseconds. [`QuotaNode::tick`] is called every 10 ms.
const PAUSE_THRESHOLD_US: u64 = 1_000_000;

/// The rate limiter of one node. It holds loans, acknowledges owners as a member of its zone, and owns
/// the shards for which the members of its zone acknowledge it. It performs no I/O: the caller
/// delivers the messages of [`QuotaNode::take_outgoing`] and passes in the current time.
#[derive(Clone, Debug)]
pub struct QuotaNode {
    own_vm: VmId,
    zone: AvailabilityZone,
    settings: QuotaSettings,
    directory: Directory,
    config: Option<QuotaConfig>,
    shard_owner: ShardOwner,
    promises: BTreeMap<QuotaShard, Promise>,
    tenant_loans: BTreeMap<Tenant, TenantLoans>,
    running_since: Option<TimeUs>,
    last_call_at: TimeUs,
    config_applied_at: TimeUs,
    next_query_at: TimeUs,
    next_seq: u64,
    outgoing: Vec<OutgoingMessage>,
    ready_tenants: Vec<Tenant>,
}

impl QuotaNode {
    /// Returns a node without any state. `own_vm` must be a new random identity at every start of
    /// the process.
    pub fn new(own_vm: VmId, zone: AvailabilityZone, settings: QuotaSettings) -> Self {
        Self {
            own_vm,
            zone,
            shard_owner: ShardOwner::default(),
            settings,
            directory: Directory::default(),
            config: None,
            promises: BTreeMap::new(),
            tenant_loans: BTreeMap::new(),
            running_since: None,
            last_call_at: TimeUs(0),
            config_applied_at: TimeUs(0),
            next_query_at: TimeUs(0),
            next_seq: own_vm.0,
            outgoing: Vec::new(),
            ready_tenants: Vec::new(),
        }
    }

    /// Applies a configuration. A version that is not newer than the current one is ignored.
    pub fn set_config(&mut self, config: QuotaConfig, now: TimeUs) {
        self.record_call_time(now);
        if self.config.as_ref().is_some_and(|known| known.version >= config.version) {
            return;
        }
        self.tenant_loans.retain(|tenant, _| config.tenants.iter().any(|rate| rate.tenant == *tenant));
        for rate in &config.tenants {
            let loans = self.tenant_loans.entry(rate.tenant.clone()).or_insert_with(|| TenantLoans::new(now));
            loans.set_rate(rate, 1 + other_zones(&config, &self.zone).count());
        }
        self.config_applied_at = now;
        self.shard_owner.set_shares(&config, &self.zone, &self.settings, now);
        self.config = Some(config);
    }

    /// Replaces this node's view of the live members. The node itself is always included.
    pub fn set_members(&mut self, members: &[QuotaMember], now: TimeUs) {
        self.record_call_time(now);
        let mut view = members.to_vec();
        if !view.iter().any(|member| member.vm == self.own_vm) {
            view.push(QuotaMember { vm: self.own_vm, zone: self.zone.clone() });
        }
        self.directory.update(&view);
        self.shard_owner.update_validity(&self.directory, &self.zone, now);
    }

    /// Decides whether to admit a request that arrives now.
    pub fn admit(&mut self, tenant: &Tenant, now: TimeUs) -> RateDecision {
        self.record_call_time(now);
        if let Some(loans) = self.tenant_loans.get_mut(tenant) {
            loans.record_arrival();
        }
        self.decide_admission(tenant, now, now)
    }

    /// Decides again on a request that arrived at `arrived_at` and got [`RateDecision::Wait`]. The
    /// total wait of a request is at most [`QuotaSettings::max_wait_ms`].
    pub fn retry_admit(&mut self, tenant: &Tenant, arrived_at: TimeUs, now: TimeUs) -> RateDecision {
        self.record_call_time(now);
        if let Some(loans) = self.tenant_loans.get_mut(tenant) {
            loans.remove_waiting();
        }
        self.decide_admission(tenant, arrived_at, now)
    }

    /// Handles a message from another node.
    pub fn on_message(&mut self, from: VmId, message: QuotaMessage, now: TimeUs) {
        self.record_call_time(now);
        match message {
            QuotaMessage::LeaseRequest { shard, seq, lease_duration_us, established, config } => {
                self.on_lease_request(from, LeaseRequest { shard, seq, lease_duration_us, established, config }, now);
            }
            QuotaMessage::LeaseAck { shard, seq, recently_started, applied_version } => {
                self.shard_owner.on_ack(from, shard, seq, recently_started, applied_version);
            }
            QuotaMessage::TokenRequest { tenant, seq, wanted, reports } => {
                self.on_token_request(from, tenant, seq, wanted, &reports, now);
            }
            QuotaMessage::TokenLoan { tenant, seq, tokens, retry_after_ms } => {
                self.on_token_loan(from, tenant, seq, tokens, retry_after_ms, now);
            }
            QuotaMessage::NotOwner { tenant, seq, owner } => self.on_not_owner(from, tenant, seq, owner, now),
            QuotaMessage::VersionQuery { version, requester } => self.on_version_query(from, version, requester, now),
            QuotaMessage::VersionConfirmed { zone, version } => self.on_version_confirmed(&zone, version, now),
            QuotaMessage::LoanReports { tenant, reports } => self.on_reports(from, &tenant, &reports, now),
        }
    }

    /// Performs periodic work: renews leases, expires loans, reports on loans and returns tokens.
    /// Must be called every 10 ms.
    pub fn tick(&mut self, now: TimeUs) {
        self.record_call_time(now);
        self.tick_owner(now);
        self.query_versions(now);
        self.tick_loans(now);
    }

    /// Removes and returns the messages to deliver, in order.
    pub fn take_outgoing(&mut self) -> Vec<OutgoingMessage> {
        std::mem::take(&mut self.outgoing)
    }

    /// Removes and returns the tenants whose waiting requests should be retried now.
    pub fn take_ready_tenants(&mut self) -> Vec<Tenant> {
        std::mem::take(&mut self.ready_tenants)
    }

    /// Returns the shards that this node owns in its zone and lends tokens of at `now`.
    pub fn lending_shards(&self, now: TimeUs) -> Vec<QuotaShard> {
        QuotaShard::all().filter(|shard| self.shard_owner.is_lending(*shard, now)).collect()
    }

    /// Returns the zones that have not yet confirmed the current configuration. Until they do, no
    /// share of this zone rises. A zone that remains listed is partitioned or permanently lost.
    pub fn unconfirmed_zones(&self) -> Vec<AvailabilityZone> {
        self.shard_owner.shares.unconfirmed().iter().cloned().collect()
    }

    /// Returns whether this node has acknowledged an owner for every shard of its zone.
    pub fn has_acknowledged_owners(&self, now: TimeUs) -> bool {
        QuotaShard::all().all(|shard| self.acknowledged_owner(shard, now).is_some())
    }

    fn decide_admission(&mut self, tenant: &Tenant, arrived_at: TimeUs, now: TimeUs) -> RateDecision {
        if self.take_token(tenant, now) {
            self.request_tokens(tenant, now);
            self.send_urgent_reports(tenant, now);
            return RateDecision::Admitted;
        }
        let Some(loans) = self.tenant_loans.get_mut(tenant) else {
            return RateDecision::Refused { retry_after_ms: UNKNOWN_TENANT_RETRY_AFTER_MS };
        };
        loans.record_waiting(now);
        self.request_tokens(tenant, now);
        if self.take_token(tenant, now) {
            self.remove_waiting(tenant);
            self.send_urgent_reports(tenant, now);
            return RateDecision::Admitted;
        }
        let Some(loans) = self.tenant_loans.get_mut(tenant) else {
            return RateDecision::Refused { retry_after_ms: UNKNOWN_TENANT_RETRY_AFTER_MS };
        };
        let retry_at = loans.earliest_retry_at(now).max(now.plus_ms(1));
        if retry_at > arrived_at.plus_us(self.settings.max_wait_us()) {
            loans.remove_waiting();
            return RateDecision::Refused { retry_after_ms: ceil_to_ms(retry_at.us_since(now)) };
        }
        RateDecision::Wait { retry_at }
    }

    /// Reports used-up loans to their lenders without delay where that frees the lender's bucket.
    fn send_urgent_reports(&mut self, tenant: &Tenant, now: TimeUs) {
        let Some(loans) = self.tenant_loans.get_mut(tenant).filter(|loans| loans.has_urgent_report()) else { return };
        for due in loans.due_reports(now) {
            let message = QuotaMessage::LoanReports { tenant: tenant.clone(), reports: due.reports };
            self.send(due.lender, message, now);
        }
    }

    fn take_token(&mut self, tenant: &Tenant, now: TimeUs) -> bool {
        self.tenant_loans.get_mut(tenant).is_some_and(|loans| loans.take_token(now))
    }

    fn remove_waiting(&mut self, tenant: &Tenant) {
        if let Some(loans) = self.tenant_loans.get_mut(tenant) {
            loans.remove_waiting();
        }
    }

    /// Requests the tokens that the tenant needs on this node from the owner in the nearest available
    /// zone.
    fn request_tokens(&mut self, tenant: &Tenant, now: TimeUs) {
        for _ in 0..self.config.as_ref().map_or(0, |config| config.zones.len() + 1) {
            let Some(loans) = self.tenant_loans.get(tenant) else { return };
            let wanted = loans.tokens_to_request(now);
            let Some(source) = loans.available_source(now).filter(|_| wanted > 0) else { return };
            let owner = self.owner_of_source(tenant, source, now);
            let seq = self.allocate_seq();
            let Some(loans) = self.tenant_loans.get_mut(tenant) else { return };
            let Some(owner) = owner else {
                loans.defer_source(source, now.plus_ms(10));
                continue;
            };
            loans.record_request(seq, source, owner, now);
            let reports = loans.reports_for(owner);
            self.send(owner, QuotaMessage::TokenRequest { tenant: tenant.clone(), seq, wanted, reports }, now);
        }
    }

    /// Returns the owner to borrow from in the zone with index `source`, where zero is this node's
    /// zone.
    fn owner_of_source(&self, tenant: &Tenant, source: usize, now: TimeUs) -> Option<VmId> {
        let shard = QuotaShard::for_tenant(tenant);
        let hint = self.tenant_loans.get(tenant)?.sources.get(source)?.owner_hint;
        if source == 0 {
            return self.acknowledged_owner(shard, now).or(hint);
        }
        let config = self.config.as_ref()?;
        let zone = other_zones(config, &self.zone).nth(source - 1)?;
        hint.or_else(|| self.directory.preferred_owner(zone, shard))
    }

    fn acknowledged_owner(&self, shard: QuotaShard, now: TimeUs) -> Option<VmId> {
        self.promises.get(&shard).filter(|promise| now < promise.valid_until).map(|promise| promise.owner)
    }

    fn on_token_request(
        &mut self,
        from: VmId,
        tenant: Tenant,
        seq: u64,
        wanted: u64,
        reports: &[LoanReport],
        now: TimeUs,
    ) {
        let shard = QuotaShard::for_tenant(&tenant);
        if !self.shard_owner.is_lending(shard, now) {
            let owner = self.acknowledged_owner(shard, now).filter(|owner| *owner != self.own_vm);
            self.send(from, QuotaMessage::NotOwner { tenant, seq, owner }, now);
            return;
        }
        self.on_reports(from, &tenant, reports, now);
        let (tokens, retry_after_ms) = match self.shard_owner.bucket(&tenant) {
            Some(bucket) => bucket.lend(from, seq, wanted, &self.settings, now),
            None => (0, Bucket::MAX_RETRY_AFTER_MS),
        };
        self.send(from, QuotaMessage::TokenLoan { tenant, seq, tokens, retry_after_ms }, now);
    }

    fn on_token_loan(&mut self, from: VmId, tenant: Tenant, seq: u64, tokens: u64, retry_after_ms: u64, now: TimeUs) {
        let Some(loans) = self.tenant_loans.get_mut(&tenant) else { return };
        if !loans.on_loan(from, seq, tokens, retry_after_ms, &self.settings, now) {
            return;
        }
        self.wake_waiting(&tenant, from, now);
    }

    fn on_not_owner(&mut self, from: VmId, tenant: Tenant, seq: u64, owner: Option<VmId>, now: TimeUs) {
        let Some(loans) = self.tenant_loans.get_mut(&tenant) else { return };
        if loans.on_not_owner(from, seq, owner, now) {
            self.wake_waiting(&tenant, from, now);
        }
    }

    /// Requests more tokens after a response from another node and marks the tenant's waiting requests as
    /// ready for a retry. A response from this node needs neither, because the request that caused it is
    /// still being decided.
    fn wake_waiting(&mut self, tenant: &Tenant, from: VmId, now: TimeUs) {
        if from == self.own_vm {
            return;
        }
        self.request_tokens(tenant, now);
        let waiting = self.tenant_loans.get(tenant).is_some_and(TenantLoans::has_waiting);
        if waiting && !self.ready_tenants.contains(tenant) {
            self.ready_tenants.push(tenant.clone());
        }
    }

    fn on_reports(&mut self, from: VmId, tenant: &Tenant, reports: &[LoanReport], now: TimeUs) {
        let Some(bucket) = self.shard_owner.bucket(tenant) else { return };
        for report in reports {
            bucket.apply_report(from, *report, &self.settings, now);
        }
    }

    fn tick_owner(&mut self, now: TimeUs) {
        for shard in QuotaShard::all() {
            let preferred = self.directory.preferred_owner(&self.zone, shard) == Some(self.own_vm);
            let owned_by_other = self.acknowledged_owner(shard, now).is_some_and(|owner| owner != self.own_vm);
            self.shard_owner.tick_shard(
                shard,
                preferred && !owned_by_other,
                &self.directory,
                &self.zone,
                &self.settings,
                now,
            );
            self.renew_lease(shard, now);
        }
        self.shard_owner.expire_loans(&self.settings, now);
    }

    fn renew_lease(&mut self, shard: QuotaShard, now: TimeUs) {
        if !self.shard_owner.is_request_due(shard, now) {
            return;
        }
        let members: Vec<VmId> = self.directory.members(&self.zone).collect();
        let seq = self.allocate_seq();
        let Some(terms) = self.shard_owner.record_round(shard, seq, members.len(), &self.settings, now) else { return };
        let LeaseTerms { lease_duration_us, established } = terms;
        let config = self.config_state();
        for member in members {
            self.send(member, QuotaMessage::LeaseRequest { shard, seq, lease_duration_us, established, config }, now);
        }
    }

    fn tick_loans(&mut self, now: TimeUs) {
        let mut messages = Vec::new();
        for (tenant, loans) in &mut self.tenant_loans {
            loans.tick(&self.settings, now);
            for due in loans.due_reports(now) {
                messages.push((due.lender, QuotaMessage::LoanReports { tenant: tenant.clone(), reports: due.reports }));
            }
        }
        for (lender, message) in messages {
            self.send(lender, message, now);
        }
    }

    fn record_call_time(&mut self, now: TimeUs) {
        if self.running_since.is_none() || now.us_since(self.last_call_at) > PAUSE_THRESHOLD_US {
            self.running_since = Some(now);
        }
        self.last_call_at = self.last_call_at.max(now);
    }

    fn allocate_seq(&mut self) -> u64 {
        let seq = self.next_seq;
        self.next_seq = self.next_seq.wrapping_add(1);
        seq
    }

    fn send(&mut self, to: VmId, message: QuotaMessage, now: TimeUs) {
        if to == self.own_vm {
            self.on_message(to, message, now);
        } else {
            self.outgoing.push(OutgoingMessage { to, message });
        }
    }
}

/// Returns the other zones from which a node of `own_zone` borrows, in order of preference.
fn other_zones<'a>(
    config: &'a QuotaConfig,
    own_zone: &'a AvailabilityZone,
) -> impl Iterator<Item = &'a AvailabilityZone> {
    config.zones.iter().filter(move |zone| *zone != own_zone)
}
