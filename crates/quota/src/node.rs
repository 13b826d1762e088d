//! One node's part in keeping all tenants' rates.

mod acknowledge;

use std::collections::BTreeMap;

use fulmartrestle_core::{AvailabilityZone, Tenant, TimeUs, VmId};

use self::acknowledge::LeaseOffer;
use crate::{
    LoanReport, OutgoingMessage, QuotaConfig, QuotaMember, QuotaMessage, QuotaSettings, QuotaShard, RateDecision,
    bucket::Bucket, directory::Directory, owner::LeaseTerms, owner::Owner, promise::Promise, tenant_loans::TenantLoans,
    tenant_loans::retry_hint_ms,
};

/// Hint for tenants without a rate and for nodes without configuration, in milliseconds.
const UNKNOWN_TENANT_RETRY_MS: u64 = 1_000;

/// Time without any call after which a node takes itself to have been paused, in microseconds. Ticks
/// come every 10 ms.
const PAUSE_US: u64 = 1_000_000;

/// The rate limiter of one node: holder of loans, member that acknowledges owners, and owner of the
/// shards for which its zone's members acknowledge it. It does no I/O; the caller delivers
/// [`QuotaNode::take_outgoing`] and passes the present time.
#[derive(Clone, Debug)]
pub struct QuotaNode {
    own: VmId,
    zone: AvailabilityZone,
    settings: QuotaSettings,
    directory: Directory,
    config: Option<QuotaConfig>,
    owner: Owner,
    promises: BTreeMap<QuotaShard, Promise>,
    tenant_loans: BTreeMap<Tenant, TenantLoans>,
    running_since: Option<TimeUs>,
    seen_at: TimeUs,
    configured_at: TimeUs,
    next_query_at: TimeUs,
    next_seq: u64,
    outgoing: Vec<OutgoingMessage>,
    ready: Vec<Tenant>,
}

impl QuotaNode {
    /// Returns a node with empty memory. `own` must be drawn anew at every start.
    pub fn new(own: VmId, zone: AvailabilityZone, settings: QuotaSettings) -> Self {
        Self {
            own,
            zone,
            owner: Owner::default(),
            settings,
            directory: Directory::default(),
            config: None,
            promises: BTreeMap::new(),
            tenant_loans: BTreeMap::new(),
            running_since: None,
            seen_at: TimeUs(0),
            configured_at: TimeUs(0),
            next_query_at: TimeUs(0),
            next_seq: own.0,
            outgoing: Vec::new(),
            ready: Vec::new(),
        }
    }

    /// Takes over a newer configuration; an older or equal one is ignored.
    pub fn set_config(&mut self, config: QuotaConfig, now: TimeUs) {
        self.note_time(now);
        if self.config.as_ref().is_some_and(|known| known.version >= config.version) {
            return;
        }
        self.tenant_loans.retain(|tenant, _| config.tenants.iter().any(|rate| rate.tenant == *tenant));
        for rate in &config.tenants {
            let loans = self.tenant_loans.entry(rate.tenant.clone()).or_insert_with(|| TenantLoans::new(now));
            loans.set_rate(rate, 1 + other_zones(&config, &self.zone).count());
        }
        self.configured_at = now;
        self.owner.set_shares(&config, &self.zone, &self.settings, now);
        self.config = Some(config);
    }

    /// Takes over the live members as this node sees them. The node itself always counts.
    pub fn set_members(&mut self, members: &[QuotaMember], now: TimeUs) {
        self.note_time(now);
        let mut view = members.to_vec();
        if !view.iter().any(|member| member.vm == self.own) {
            view.push(QuotaMember { vm: self.own, zone: self.zone.clone() });
        }
        self.directory.update(&view);
        self.owner.review(&self.directory, &self.zone, now);
    }

    /// Decides on a request that arrives now.
    pub fn admit(&mut self, tenant: &Tenant, now: TimeUs) -> RateDecision {
        self.note_time(now);
        if let Some(loans) = self.tenant_loans.get_mut(tenant) {
            loans.note_arrival();
        }
        self.decide(tenant, now, now)
    }

    /// Decides again on a request that arrived at `arrived_at` and was told to wait. The sum of its
    /// waits stays within the settings' `max_wait_ms`.
    pub fn retry_admit(&mut self, tenant: &Tenant, arrived_at: TimeUs, now: TimeUs) -> RateDecision {
        self.note_time(now);
        if let Some(loans) = self.tenant_loans.get_mut(tenant) {
            loans.note_waiter_back();
        }
        self.decide(tenant, arrived_at, now)
    }

    /// Takes in a message from another node.
    pub fn on_message(&mut self, from: VmId, message: QuotaMessage, now: TimeUs) {
        self.note_time(now);
        match message {
            QuotaMessage::LeaseRequest { shard, seq, lease_us, established, config } => {
                self.on_lease_request(from, LeaseOffer { shard, seq, lease_us, established, config }, now);
            }
            QuotaMessage::LeaseAck { shard, seq, fresh, applied } => {
                self.owner.on_ack(from, shard, seq, fresh, applied);
            }
            QuotaMessage::TokenRequest { tenant, seq, want, reports } => {
                self.on_token_request(from, tenant, seq, want, &reports, now);
            }
            QuotaMessage::TokenLoan { tenant, seq, tokens, retry_after_ms } => {
                self.on_token_loan(from, tenant, seq, tokens, retry_after_ms, now);
            }
            QuotaMessage::NotOwner { tenant, seq, owner } => self.on_not_owner(from, tenant, seq, owner, now),
            QuotaMessage::VersionQuery { version, asker } => self.on_version_query(from, version, asker, now),
            QuotaMessage::VersionConfirmed { zone, version } => self.on_version_confirmed(&zone, version, now),
            QuotaMessage::LoanReports { tenant, reports } => self.on_reports(from, &tenant, &reports, now),
        }
    }

    /// Does what time brings: renews leases, lets loans lapse, reports and returns tokens. Call it
    /// every 10 ms.
    pub fn tick(&mut self, now: TimeUs) {
        self.note_time(now);
        self.tick_owner(now);
        self.query_versions(now);
        self.tick_loans(now);
    }

    /// Returns the messages to deliver, in order.
    pub fn take_outgoing(&mut self) -> Vec<OutgoingMessage> {
        std::mem::take(&mut self.outgoing)
    }

    /// Returns tenants whose waiting requests should ask again now.
    pub fn take_ready_tenants(&mut self) -> Vec<Tenant> {
        std::mem::take(&mut self.ready)
    }

    /// Returns the shards of this node's zone for which it lends tokens at `now`.
    pub fn lending_shards(&self, now: TimeUs) -> Vec<QuotaShard> {
        QuotaShard::all().filter(|shard| self.owner.is_lending(*shard, now)).collect()
    }

    /// Returns the zones that must confirm this node's configuration before shares that it moves
    /// rise here. A zone that stays in this list is cut off, or gone for good.
    pub fn unconfirmed_zones(&self) -> Vec<AvailabilityZone> {
        self.owner.shares.unconfirmed().iter().cloned().collect()
    }

    /// Returns whether this node has acknowledged an owner for every shard of its zone.
    pub fn has_acknowledged_owners(&self, now: TimeUs) -> bool {
        QuotaShard::all().all(|shard| self.acknowledged_owner(shard, now).is_some())
    }

    fn decide(&mut self, tenant: &Tenant, arrived_at: TimeUs, now: TimeUs) -> RateDecision {
        if self.take_token(tenant, now) {
            self.request_tokens(tenant, now);
            self.report_spent(tenant, now);
            return RateDecision::Admitted;
        }
        let Some(loans) = self.tenant_loans.get_mut(tenant) else {
            return RateDecision::Refused { retry_after_ms: UNKNOWN_TENANT_RETRY_MS };
        };
        loans.note_waiting(now);
        self.request_tokens(tenant, now);
        if self.take_token(tenant, now) {
            self.forget_waiter(tenant);
            self.report_spent(tenant, now);
            return RateDecision::Admitted;
        }
        let Some(loans) = self.tenant_loans.get_mut(tenant) else {
            return RateDecision::Refused { retry_after_ms: UNKNOWN_TENANT_RETRY_MS };
        };
        let retry_at = loans.next_chance(now).max(now.plus_ms(1));
        if retry_at > arrived_at.plus_us(self.settings.max_wait_us()) {
            loans.note_waiter_back();
            return RateDecision::Refused { retry_after_ms: retry_hint_ms(retry_at.us_since(now)) };
        }
        RateDecision::Wait { retry_at }
    }

    /// Tells lenders at once of loans that are used up where that frees their buckets.
    fn report_spent(&mut self, tenant: &Tenant, now: TimeUs) {
        let Some(loans) = self.tenant_loans.get_mut(tenant).filter(|loans| loans.has_urgent_report()) else { return };
        for found in loans.due_reports(now) {
            let message = QuotaMessage::LoanReports { tenant: tenant.clone(), reports: found.reports };
            self.send(found.lender, message, now);
        }
    }

    fn take_token(&mut self, tenant: &Tenant, now: TimeUs) -> bool {
        self.tenant_loans.get_mut(tenant).is_some_and(|loans| loans.take_token(now))
    }

    fn forget_waiter(&mut self, tenant: &Tenant) {
        if let Some(loans) = self.tenant_loans.get_mut(tenant) {
            loans.note_waiter_back();
        }
    }

    /// Asks the nearest zone's owner that may have tokens for what the tenant lacks here.
    fn request_tokens(&mut self, tenant: &Tenant, now: TimeUs) {
        for _ in 0..self.config.as_ref().map_or(0, |config| config.zones.len() + 1) {
            let Some(loans) = self.tenant_loans.get(tenant) else { return };
            let want = loans.lacking(now);
            let Some(source) = loans.open_source(now).filter(|_| want > 0) else { return };
            let owner = self.owner_of_source(tenant, source, now);
            let seq = self.take_seq();
            let Some(loans) = self.tenant_loans.get_mut(tenant) else { return };
            let Some(owner) = owner else {
                loans.close_source(source, now.plus_ms(10));
                continue;
            };
            loans.on_sent(seq, source, owner, now);
            let reports = loans.reports_for(owner);
            self.send(owner, QuotaMessage::TokenRequest { tenant: tenant.clone(), seq, want, reports }, now);
        }
    }

    /// Returns the owner to ask in the zone at `source`, where zero is this node's own zone.
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
        self.promises.get(&shard).filter(|promise| now < promise.until).map(|promise| promise.owner)
    }

    fn on_token_request(
        &mut self,
        from: VmId,
        tenant: Tenant,
        seq: u64,
        want: u64,
        reports: &[LoanReport],
        now: TimeUs,
    ) {
        let shard = QuotaShard::for_tenant(&tenant);
        if !self.owner.is_lending(shard, now) {
            let owner = self.acknowledged_owner(shard, now).filter(|owner| *owner != self.own);
            self.send(from, QuotaMessage::NotOwner { tenant, seq, owner }, now);
            return;
        }
        self.on_reports(from, &tenant, reports, now);
        let (tokens, retry_after_ms) = match self.owner.bucket(&tenant) {
            Some(bucket) => bucket.lend(from, seq, want, &self.settings, now),
            None => (0, Bucket::RETRY_MAX_MS),
        };
        self.send(from, QuotaMessage::TokenLoan { tenant, seq, tokens, retry_after_ms }, now);
    }

    fn on_token_loan(&mut self, from: VmId, tenant: Tenant, seq: u64, tokens: u64, retry_after_ms: u64, now: TimeUs) {
        let Some(loans) = self.tenant_loans.get_mut(&tenant) else { return };
        if !loans.on_loan(from, seq, tokens, retry_after_ms, &self.settings, now) {
            return;
        }
        self.wake(&tenant, from, now);
    }

    fn on_not_owner(&mut self, from: VmId, tenant: Tenant, seq: u64, owner: Option<VmId>, now: TimeUs) {
        let Some(loans) = self.tenant_loans.get_mut(&tenant) else { return };
        if loans.on_not_owner(from, seq, owner, now) {
            self.wake(&tenant, from, now);
        }
    }

    /// Lets waiting requests ask again after an answer from another node. An own answer needs no
    /// wake-up: the request that caused it is still being decided.
    fn wake(&mut self, tenant: &Tenant, from: VmId, now: TimeUs) {
        if from == self.own {
            return;
        }
        self.request_tokens(tenant, now);
        let waiting = self.tenant_loans.get(tenant).is_some_and(TenantLoans::has_waiting);
        if waiting && !self.ready.contains(tenant) {
            self.ready.push(tenant.clone());
        }
    }

    fn on_reports(&mut self, from: VmId, tenant: &Tenant, reports: &[LoanReport], now: TimeUs) {
        let Some(bucket) = self.owner.bucket(tenant) else { return };
        for report in reports {
            bucket.settle(from, *report, &self.settings, now);
        }
    }

    fn tick_owner(&mut self, now: TimeUs) {
        for shard in QuotaShard::all() {
            let preferred = self.directory.preferred_owner(&self.zone, shard) == Some(self.own);
            let other = self.acknowledged_owner(shard, now).is_some_and(|owner| owner != self.own);
            self.owner.tick_shard(shard, preferred && !other, &self.directory, &self.zone, &self.settings, now);
            self.renew(shard, now);
        }
        self.owner.lapse(&self.settings, now);
    }

    fn renew(&mut self, shard: QuotaShard, now: TimeUs) {
        if !self.owner.request_due(shard, now) {
            return;
        }
        let members: Vec<VmId> = self.directory.members(&self.zone).collect();
        let seq = self.take_seq();
        let Some(terms) = self.owner.on_requested(shard, seq, members.len(), &self.settings, now) else { return };
        let LeaseTerms { lease_us, established } = terms;
        let config = self.config_state();
        for member in members {
            self.send(member, QuotaMessage::LeaseRequest { shard, seq, lease_us, established, config }, now);
        }
    }

    fn tick_loans(&mut self, now: TimeUs) {
        let mut due = Vec::new();
        for (tenant, loans) in &mut self.tenant_loans {
            loans.tick(&self.settings, now);
            for found in loans.due_reports(now) {
                due.push((found.lender, QuotaMessage::LoanReports { tenant: tenant.clone(), reports: found.reports }));
            }
        }
        for (lender, message) in due {
            self.send(lender, message, now);
        }
    }

    fn note_time(&mut self, now: TimeUs) {
        if self.running_since.is_none() || now.us_since(self.seen_at) > PAUSE_US {
            self.running_since = Some(now);
        }
        self.seen_at = self.seen_at.max(now);
    }

    fn take_seq(&mut self) -> u64 {
        let seq = self.next_seq;
        self.next_seq = self.next_seq.wrapping_add(1);
        seq
    }

    fn send(&mut self, to: VmId, message: QuotaMessage, now: TimeUs) {
        if to == self.own {
            self.on_message(to, message, now);
        } else {
            self.outgoing.push(OutgoingMessage { to, message });
        }
    }
}

/// Returns the zones from which a node of `own_zone` borrows, in the order in which it asks them.
fn other_zones<'a>(
    config: &'a QuotaConfig,
    own_zone: &'a AvailabilityZone,
) -> impl Iterator<Item = &'a AvailabilityZone> {
    config.zones.iter().filter(move |zone| *zone != own_zone)
}
