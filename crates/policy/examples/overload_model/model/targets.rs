//! Target side of calls: admission, slots, work and responses.

use fulmartrestle_core::{CallId, Class, Reason, Refusal};
use fulmartrestle_policy::checks::Invariant;
use fulmartrestle_policy::{Admission, Completion, OfferedCall, QueueEvent, RetryAllowance};

use super::event::{Event, Response, ResponseKind};
use super::fleet::{Model, RETRY_ALLOWANCE};
use super::in_flight::Hop;
use super::settings::Defect;

/// Time after which a leaving target must not get new calls, in microseconds.
const LEAVING_GRACE_US: u64 = 2_000_000;
/// Time after a protected call was shed during which no other call may start, in microseconds.
const PROTECTED_ONLY_US: u64 = 500_000;
/// Time until the loss of a VM is detected, in microseconds.
const VM_LOSS_DETECTION_US: u64 = 200_000;

impl Model {
    /// Handles an attempt that reaches its target's node.
    pub(super) fn receive_attempt(&mut self, call: CallId) {
        let Some(attempt) = self.attempts.get_mut(&call).filter(|attempt| !attempt.lost) else { return };
        attempt.offered = self.now;
        let (node, generation, key) = (attempt.node, attempt.generation, attempt.hop);
        let Some(hop) = self.hops.get(&key) else { return };
        let (caller, request, deadline, send) = (hop.node, hop.request, hop.deadline, hop.send);
        if self.silent_connections.contains(&(caller, node)) {
            return;
        }
        if !self.nodes[node].vm_up || self.nodes[node].generation != generation {
            let vm = self.nodes[node].vm;
            self.nodes[caller].target_table.record_connection_failure(vm, self.now);
            return self.lose_attempt(call, VM_LOSS_DETECTION_US);
        }
        if !self.uses_full_policy() {
            return self.receive_without_gate(call, node);
        }
        if self.is_blocked(node, request) {
            return self.send_response(call, ResponseKind::Refused(Refusal::not_run(Reason::Blocked, None)));
        }
        let Some(request_state) = self.requests.get(&request) else { return };
        let class = if self.has_defect(Defect::ClassIgnored) { Class::Browse } else { self.class_of(request) };
        let offer = OfferedCall {
            call,
            tenant: self.tenants[request_state.tenant].clone(),
            weight: self.settings.deployment.tenant_weights[request_state.tenant],
            class,
            deadline,
            ingress_share: self.sends[send as usize].ingress_share,
        };
        let admission = self.nodes[node].gate.offer(offer, self.now);
        self.apply_queue_events(node);
        self.apply_admission(call, node, request, admission);
    }

    fn apply_admission(&mut self, call: CallId, node: usize, request: u64, admission: Admission) {
        let sheddable = self.class_of(request) != Class::Protected;
        match admission {
            Admission::Run => {
                self.set_admitted(call);
                self.start_work(call);
            }
            Admission::Queued => {
                self.set_admitted(call);
                if sheddable {
                    self.nodes[node].queued_sheddable.insert(call);
                }
            }
            Admission::Refused(refusal) => {
                self.check_shedding_order(call, node, &refusal);
                self.send_response(call, ResponseKind::Refused(refusal));
            }
        }
    }

    fn set_admitted(&mut self, call: CallId) {
        if let Some(attempt) = self.attempts.get_mut(&call) {
            attempt.admitted = true;
        }
    }

    fn receive_without_gate(&mut self, call: CallId, node: usize) {
        let node_state = &self.nodes[node];
        let connections = self.settings.deployment.services[node_state.service].connections;
        if !node_state.target_up || node_state.waiting.len() + node_state.working.len() >= connections {
            return self.send_response(call, ResponseKind::Refused(Refusal::not_run(Reason::Shed, None)));
        }
        self.start_work(call);
    }

    /// Starts and drops queued calls as decided by the gate of a node.
    pub(super) fn apply_queue_events(&mut self, node: usize) {
        let events = self.nodes[node].gate.take_events(self.now);
        for event in &events {
            let (QueueEvent::Start(call) | QueueEvent::Drop(call, _)) = event;
            self.nodes[node].queued_sheddable.remove(call);
        }
        for event in events {
            match event {
                QueueEvent::Start(call) => self.start_work(call),
                QueueEvent::Drop(call, refusal) => {
                    self.check_shedding_order(call, node, &refusal);
                    self.send_response(call, ResponseKind::Refused(refusal));
                }
            }
        }
    }

    /// Checks that no protected call is shed while a less important one is queued or was started in its
    /// place.
    fn check_shedding_order(&mut self, call: CallId, node: usize, refusal: &Refusal) {
        let Some(attempt) = self.attempts.get(&call) else { return };
        let Some(hop) = self.hops.get(&attempt.hop) else { return };
        if refusal.reason != Reason::Shed || self.class_of(hop.request) != Class::Protected {
            return;
        }
        let node_state = &mut self.nodes[node];
        let others_preferred = node_state.last_sheddable.is_some_and(|started| started > attempt.offered);
        node_state.last_protected_shed = Some(self.now);
        let in_order = node_state.queued_sheddable.is_empty() && !others_preferred;
        self.stats.violations.check(Invariant::SheddingOrder, in_order);
    }

    /// Sends a call to the target.
    pub(super) fn start_work(&mut self, call: CallId) {
        let Some(attempt) = self.attempts.get_mut(&call) else { return };
        let (node, key) = (attempt.node, attempt.hop);
        if !self.nodes[node].target_up {
            self.nodes[node].gate.complete(call, Completion::Failed, self.now);
            return self.send_response(call, ResponseKind::Refused(Refusal::not_run(Reason::NoTarget, None)));
        }
        attempt.running = true;
        let Some(hop) = self.hops.get_mut(&key) else { return };
        hop.runs += 1;
        let (runs, request, depth) = (hop.runs, hop.request, hop.depth);
        self.check_start_invariants(node, runs, request);
        let crashes = self.requests.get(&request).is_some_and(|request| request.crashes_targets && depth == 0);
        if crashes {
            return self.crash_by_request(node, request);
        }
        self.nodes[node].waiting.push_back(call);
        self.fill_slots(node);
    }

    fn check_start_invariants(&mut self, node: usize, runs: u32, request: u64) {
        if !self.uses_full_policy() {
            return;
        }
        let protected = self.class_of(request) == Class::Protected;
        let node_state = &mut self.nodes[node];
        if !protected {
            let shed = node_state.last_protected_shed;
            let in_order = shed.is_none_or(|shed| self.now.us_since(shed) >= PROTECTED_ONLY_US);
            node_state.last_sheddable = Some(self.now);
            self.stats.violations.check(Invariant::SheddingOrder, in_order);
        }
        let is_past_leaving_grace =
            node_state.leaving.is_some_and(|leaving| self.now.us_since(leaving) > LEAVING_GRACE_US);
        self.stats.violations.check(Invariant::LeavingTarget, !is_past_leaving_grace);
        let repeated = self.settings.at_most_once && protected && runs > 1;
        self.stats.violations.check(Invariant::AtMostOnce, !repeated);
    }

    fn crash_by_request(&mut self, node: usize, request: u64) {
        if let Some(request) = self.requests.get_mut(&request) {
            request.crashed += 1;
            self.stats.max_crashes = self.stats.max_crashes.max(request.crashed);
        }
        self.crash_target(node);
    }

    /// Starts the work of waiting calls while slots are free.
    pub(super) fn fill_slots(&mut self, node: usize) {
        let service = self.nodes[node].service;
        let slots = self.settings.deployment.services[service].slots;
        while self.nodes[node].target_up && self.nodes[node].working.len() < slots {
            let Some(call) = self.nodes[node].waiting.pop_front() else { return };
            let Some(send) = self.attempts.get(&call).map(|attempt| attempt.send) else { continue };
            self.nodes[node].working.insert(call);
            let work_us = self.work_us(service);
            self.sends[send as usize].work_us += work_us;
            let generation = self.nodes[node].generation;
            self.after_us(work_us, Event::WorkDone { call, node, generation });
        }
    }

    fn work_us(&mut self, service: usize) -> u64 {
        let phase = self.settings.phases.iter().rev().find(|phase| phase.from <= self.now);
        let deepest = service == self.settings.deployment.deepest;
        let slowdown = phase.filter(|_| deepest).map_or(1.0, |phase| phase.slowdown);
        let mean_us = self.settings.deployment.services[service].work_us as f64 * slowdown;
        (mean_us * (0.5 + 0.5 * self.draw_exponential())) as u64
    }

    pub(super) fn finish_own_work(&mut self, call: CallId, node: usize, generation: u32) {
        if self.nodes[node].generation != generation || !self.nodes[node].working.contains(&call) {
            return;
        }
        if !self.settings.hold_slots_during_child_calls {
            self.nodes[node].working.remove(&call);
            self.fill_slots(node);
        }
        let Some(attempt) = self.attempts.get(&call) else { return };
        let (key, retries) = (attempt.hop, attempt.unspent);
        let Some(hop) = self.hops.get(&key) else { return self.finish(call, ResponseKind::Error) };
        let Some(request) = self.requests.get(&hop.request) else { return self.finish(call, ResponseKind::Error) };
        if hop.depth + 1 == self.settings.deployment.routes[request.route].chain.len() {
            return self.finish(call, ResponseKind::Done);
        }
        let retries = if self.has_defect(Defect::AllowancePerHop) { RETRY_ALLOWANCE } else { retries };
        let child = Hop {
            parent: Some(call),
            node,
            depth: hop.depth + 1,
            deadline: hop.deadline,
            tried: Vec::new(),
            attempts: 0,
            runs: 0,
            may_have_run: false,
            allowance: RetryAllowance::new(retries),
            attempt: None,
            ..*hop
        };
        self.nodes[node].gate.record_child_start(call, self.now);
        let child_key = self.insert_hop(child);
        if let Some(attempt) = self.attempts.get_mut(&call) {
            attempt.child = Some(child_key);
        }
        self.try_hop(child_key);
    }

    /// Handles the end of a child call that an attempt's target waited for.
    pub(super) fn finish_child_call(&mut self, parent: CallId, answered: bool, unspent: u32) {
        let Some(attempt) = self.attempts.get_mut(&parent) else { return };
        attempt.child = None;
        attempt.unspent = unspent;
        let node = attempt.node;
        self.nodes[node].gate.record_child_end(parent, self.now);
        self.finish(parent, if answered { ResponseKind::Done } else { ResponseKind::Error });
    }

    /// Completes a call with a response of the target.
    fn finish(&mut self, call: CallId, kind: ResponseKind) {
        let Some(attempt) = self.attempts.get(&call) else { return };
        let node = attempt.node;
        self.nodes[node].working.remove(&call);
        self.nodes[node].gate.complete(call, Completion::Answered, self.now);
        self.send_response(call, kind);
        self.apply_queue_events(node);
        self.fill_slots(node);
    }

    pub(super) fn send_response(&mut self, call: CallId, kind: ResponseKind) {
        let Some(attempt) = self.attempts.get(&call) else { return };
        let (node, unspent, key) = (attempt.node, attempt.unspent, attempt.hop);
        let Some(hop) = self.hops.get(&key) else { return };
        let remaining_chain = &self.chains[self.requests[&hop.request].route][hop.depth + 1..];
        let reports = self.nodes[node].ingress_admission.level_reports(remaining_chain, self.now);
        let level = self.nodes[node].gate.admission_level(self.now);
        let response = Response { call, hop: key, kind, level, reports, unspent };
        let latency_us = self.settings.deployment.network_us + self.response_delay_us();
        self.after_us(latency_us, Event::ResponseArrived(response));
    }

    /// Handles a cancellation that reaches the target's node.
    pub(super) fn receive_cancellation(&mut self, call: CallId) {
        self.release_attempt(call);
        self.attempts.remove(&call);
    }

    /// Releases the slot and queue positions that an attempt occupies at its target, and cancels its child
    /// call.
    pub(super) fn release_attempt(&mut self, call: CallId) {
        let Some(attempt) = self.attempts.get_mut(&call) else { return };
        let (node, child) = (attempt.node, attempt.child.take());
        let node_state = &mut self.nodes[node];
        node_state.gate.cancel(call, self.now);
        node_state.working.remove(&call);
        node_state.waiting.retain(|waiting| *waiting != call);
        node_state.queued_sheddable.remove(&call);
        if let Some(child) = child {
            self.cancel_hop(child);
        }
        if self.nodes[node].vm_up && self.uses_full_policy() {
            self.apply_queue_events(node);
        }
        self.fill_slots(node);
    }
}
