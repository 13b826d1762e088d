//! Clients of the model: they wait for a while, and send again at once when they get no answer.

use fulmartrestle_core::{Outcome, Refusal};
use fulmartrestle_policy::checks::Invariant;
use fulmartrestle_policy::{BasisPoints, IngressRequest, RetryAllowance};
use rand::RngExt;

use super::event::Event;
use super::fleet::{ALLOWANCE, Model};
use super::settings::Broken;
use super::stats::Stats;
use super::table::{Hop, Send};

/// Shortest and longest time before a client sends again, in microseconds. Clients retry hard: they
/// don't heed the advice when to come back.
const RESEND_US: std::ops::Range<u64> = 10_000..50_000;

impl Model {
    pub(super) fn client_send(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.done) else { return };
        request.sends += 1;
        let (zone, tenant, route, number) = (request.zone, request.tenant, request.route, request.sends);
        self.stats.sends += 1;
        let Some(node) = self.entry_node(zone) else { return self.client_failed(id) };
        let timeout_us = self.settings.deployment.client_timeout_us;
        self.after_us(timeout_us, Event::ClientTimeout { request: id, send: number });
        let Some(ingress_share) = self.ingress_share(node, tenant, route) else { return self.client_failed(id) };
        self.sends.push(Send { ingress_share, ..Send::default() });
        let hop = Hop {
            send: self.sends.len() as u64 - 1,
            request: id,
            parent: None,
            node,
            depth: 0,
            deadline: self.now.plus_us(timeout_us),
            tried: Vec::new(),
            attempts: 0,
            runs: 0,
            may_have_run: false,
            allowance: RetryAllowance::new(ALLOWANCE),
            attempt: None,
        };
        let key = self.start_hop(hop);
        if let Some(request) = self.requests.get_mut(&id) {
            request.hop = Some(key);
        }
        self.try_hop(key);
    }

    /// Returns the share that the entry's door admits, if it admits this call.
    fn ingress_share(&mut self, node: usize, tenant: usize, route: usize) -> Option<BasisPoints> {
        if !self.is_full() {
            return Some(BasisPoints::FULL);
        }
        let draw = self.rng.random();
        let check = IngressRequest {
            chain: &self.chains[route],
            class: self.settings.deployment.routes[route].class,
            tenant: &self.tenants[tenant],
            weight: self.settings.deployment.tenant_weights[tenant],
        };
        self.nodes[node].door.admit(check, self.now, draw).ok()
    }

    pub(super) fn client_answered(&mut self, id: u64, send: u64) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.done) else { return };
        request.done = true;
        self.sends[send as usize].answered = true;
        let class = self.settings.deployment.routes[request.route].class;
        self.stats.by_class[class.index()].answered += 1;
        Stats::count(&mut self.stats.answered, self.tenants.len(), request.tenant, self.now);
    }

    /// A send failed: the client sends again soon, as often as it is willing to.
    pub(super) fn client_failed(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.hop = None;
        if request.sends >= self.settings.client_sends {
            request.done = true;
            let class = self.settings.deployment.routes[request.route].class;
            self.stats.by_class[class.index()].lost += 1;
            return;
        }
        let pause_us = self.rng.random_range(RESEND_US);
        self.after_us(pause_us, Event::ClientSend { request: id });
    }

    pub(super) fn client_timeout(&mut self, id: u64, send: u32) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.done) else { return };
        let Some(hop) = request.hop.filter(|_| request.sends == send) else { return };
        if self.is_full() {
            self.cancel_hop(hop);
        }
        self.client_failed(id);
    }

    /// The entry or a sidecar gives a call up for good.
    pub(super) fn hop_failed(&mut self, key: u64, refusal: Refusal) {
        let Some(hop) = self.hops.remove(&key) else { return };
        let mut outcome = refusal.outcome;
        if self.is_broken(Broken::AlwaysNotRun) {
            outcome = Outcome::NotRun;
        }
        if self.is_full() {
            let honest = outcome == Outcome::Unknown || hop.runs == 0;
            self.stats.violations.check(Invariant::HonestRefusal, honest);
        }
        self.hop_ended(key, hop, false);
    }

    pub(super) fn hop_ended(&mut self, key: u64, hop: Hop, answered: bool) {
        if let Some(parent) = hop.parent {
            self.child_ended(parent, answered, hop.allowance.remaining());
            return;
        }
        let waits = self.requests.get(&hop.request).is_some_and(|request| request.hop == Some(key));
        match (waits, answered) {
            (true, true) => self.client_answered(hop.request, hop.send),
            (true, false) => self.client_failed(hop.request),
            (false, _) => {}
        }
    }
}
