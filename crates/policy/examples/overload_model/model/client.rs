//! Clients of the model. A client waits for a limited time and sends the request again if it gets no
//! response.

use fulmartrestle_core::{Outcome, Refusal};
use fulmartrestle_policy::checks::Invariant;
use fulmartrestle_policy::{BasisPoints, IngressRequest, RetryAllowance};
use rand::RngExt;

use super::event::Event;
use super::fleet::{Model, RETRY_ALLOWANCE};
use super::in_flight::{Hop, Send};
use super::settings::Defect;
use super::stats::Stats;

/// Range of the delay before a client sends again, in microseconds. Clients retry aggressively and ignore
/// Retry-After.
const RESEND_US: std::ops::Range<u64> = 10_000..50_000;

impl Model {
    pub(super) fn client_send(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.done) else { return };
        request.sends += 1;
        let (zone, tenant, route, send_number) = (request.zone, request.tenant, request.route, request.sends);
        self.stats.sends += 1;
        let Some(node) = self.ingress_node(zone) else { return self.fail_send(id) };
        let timeout_us = self.settings.deployment.client_timeout_us;
        self.after_us(timeout_us, Event::ClientTimeout { request: id, send: send_number });
        let Some(ingress_share) = self.admit_at_ingress(node, tenant, route) else { return self.fail_send(id) };
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
            allowance: RetryAllowance::new(RETRY_ALLOWANCE),
            attempt: None,
        };
        let key = self.insert_hop(hop);
        if let Some(request) = self.requests.get_mut(&id) {
            request.hop = Some(key);
        }
        self.try_hop(key);
    }

    /// Returns the share that ingress admits, if it admits this call.
    fn admit_at_ingress(&mut self, node: usize, tenant: usize, route: usize) -> Option<BasisPoints> {
        if !self.uses_full_policy() {
            return Some(BasisPoints::FULL);
        }
        let draw = self.rng.random();
        let request = IngressRequest {
            chain: &self.chains[route],
            class: self.settings.deployment.routes[route].class,
            tenant: &self.tenants[tenant],
            weight: self.settings.deployment.tenant_weights[tenant],
        };
        self.nodes[node].ingress_admission.admit(request, self.now, draw).ok()
    }

    pub(super) fn finish_request(&mut self, id: u64, send: u64) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.done) else { return };
        request.done = true;
        self.sends[send as usize].answered = true;
        let class = self.settings.deployment.routes[request.route].class;
        self.stats.by_class[class.index()].answered += 1;
        Stats::count_in_bucket(&mut self.stats.answered, self.tenants.len(), request.tenant, self.now);
    }

    /// Handles a failed send: the client sends again after a short delay, up to its maximum number of
    /// sends.
    pub(super) fn fail_send(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.hop = None;
        if request.sends >= self.settings.max_client_sends {
            request.done = true;
            let class = self.settings.deployment.routes[request.route].class;
            self.stats.by_class[class.index()].lost += 1;
            return;
        }
        let delay_us = self.rng.random_range(RESEND_US);
        self.after_us(delay_us, Event::ClientSend { request: id });
    }

    pub(super) fn time_out_client(&mut self, id: u64, send: u32) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.done) else { return };
        let Some(hop) = request.hop.filter(|_| request.sends == send) else { return };
        if self.uses_full_policy() {
            self.cancel_hop(hop);
        }
        self.fail_send(id);
    }

    /// Ends a hop with a final refusal from the ingress node or a sidecar.
    pub(super) fn fail_hop(&mut self, key: u64, refusal: Refusal) {
        let Some(hop) = self.hops.remove(&key) else { return };
        let mut outcome = refusal.outcome;
        if self.has_defect(Defect::AlwaysNotRun) {
            outcome = Outcome::NotRun;
        }
        if self.uses_full_policy() {
            let outcome_is_true = outcome == Outcome::Unknown || hop.runs == 0;
            self.stats.violations.check(Invariant::HonestRefusal, outcome_is_true);
        }
        self.finish_hop(key, hop, false);
    }

    pub(super) fn finish_hop(&mut self, key: u64, hop: Hop, answered: bool) {
        if let Some(parent) = hop.parent {
            self.finish_child_call(parent, answered, hop.allowance.remaining());
            return;
        }
        let client_waits = self.requests.get(&hop.request).is_some_and(|request| request.hop == Some(key));
        match (client_waits, answered) {
            (true, true) => self.finish_request(hop.request, hop.send),
            (true, false) => self.fail_send(hop.request),
            (false, _) => {}
        }
    }
}
