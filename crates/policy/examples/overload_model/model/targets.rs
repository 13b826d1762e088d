//! Calls as the target's node and the target see them: admission, slots, work and answers.

use fulmartrestle_core::{CallId, Class, Reason, Refusal};
use fulmartrestle_policy::checks::Invariant;
use fulmartrestle_policy::{Admission, Completion, OfferedCall, QueueEvent, RetryAllowance};

use super::event::{Answer, AnswerResult, Event};
use super::fleet::{ALLOWANCE, Model};
use super::settings::Broken;
use super::table::Hop;

/// Time after which a leaving target may not get new work, in microseconds.
const LEAVING_GRACE_US: u64 = 2_000_000;
/// How long after a protected call was shed no other call may start, in microseconds.
const SHEDDING_ORDER_US: u64 = 500_000;
/// How long it takes to notice that a VM is gone, in microseconds.
const VM_LOSS_NOTICE_US: u64 = 200_000;

impl Model {
    /// An attempt reaches its target's node.
    pub(super) fn arrive(&mut self, call: CallId) {
        let Some(attempt) = self.attempts.get_mut(&call).filter(|attempt| !attempt.lost) else { return };
        attempt.offered = self.now;
        let (node, life, key) = (attempt.node, attempt.life, attempt.hop);
        let Some(hop) = self.hops.get(&key) else { return };
        let (caller, request, deadline, send) = (hop.node, hop.request, hop.deadline, hop.send);
        if self.silent.contains(&(caller, node)) {
            return;
        }
        if !self.nodes[node].vm_up || self.nodes[node].life != life {
            let vm = self.nodes[node].vm;
            self.nodes[caller].table.record_connection_failure(vm, self.now);
            return self.lose(call, VM_LOSS_NOTICE_US);
        }
        if !self.is_full() {
            return self.arrive_without_gate(call, node);
        }
        if self.is_blocked(node, request) {
            return self.answer(call, AnswerResult::Refused(Refusal::not_run(Reason::Blocked, None)));
        }
        let Some(asked) = self.requests.get(&request) else { return };
        let class = if self.is_broken(Broken::ClassIgnored) { Class::Browse } else { self.class(request) };
        let offer = OfferedCall {
            call,
            tenant: self.tenants[asked.tenant].clone(),
            weight: self.settings.deployment.tenant_weights[asked.tenant],
            class,
            deadline,
            ingress_share: self.sends[send as usize].ingress_share,
        };
        let admission = self.nodes[node].gate.offer(offer, self.now);
        self.gate_events(node);
        self.admit(call, node, request, admission);
    }

    fn admit(&mut self, call: CallId, node: usize, request: u64, admission: Admission) {
        let sheddable = self.class(request) != Class::Protected;
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
                self.check_shedding(call, node, &refusal);
                self.answer(call, AnswerResult::Refused(refusal));
            }
        }
    }

    fn set_admitted(&mut self, call: CallId) {
        if let Some(attempt) = self.attempts.get_mut(&call) {
            attempt.admitted = true;
        }
    }

    fn arrive_without_gate(&mut self, call: CallId, node: usize) {
        let row = &self.nodes[node];
        let connections = self.settings.deployment.services[row.service].connections;
        if !row.target_up || row.waiting.len() + row.working.len() >= connections {
            return self.answer(call, AnswerResult::Refused(Refusal::not_run(Reason::Shed, None)));
        }
        self.start_work(call);
    }

    /// Does what a gate decided about its queued calls.
    pub(super) fn gate_events(&mut self, node: usize) {
        let events = self.nodes[node].gate.take_events(self.now);
        for event in &events {
            let (QueueEvent::Start(call) | QueueEvent::Drop(call, _)) = event;
            self.nodes[node].queued_sheddable.remove(call);
        }
        for event in events {
            match event {
                QueueEvent::Start(call) => self.start_work(call),
                QueueEvent::Drop(call, refusal) => {
                    self.check_shedding(call, node, &refusal);
                    self.answer(call, AnswerResult::Refused(refusal));
                }
            }
        }
    }

    /// No protected call is shed while one that matters less is queued or was preferred to it.
    fn check_shedding(&mut self, call: CallId, node: usize, refusal: &Refusal) {
        let Some(attempt) = self.attempts.get(&call) else { return };
        let Some(hop) = self.hops.get(&attempt.hop) else { return };
        if refusal.reason != Reason::Shed || self.class(hop.request) != Class::Protected {
            return;
        }
        let row = &mut self.nodes[node];
        let preferred = row.last_sheddable.is_some_and(|started| started > attempt.offered);
        row.last_protected_shed = Some(self.now);
        let in_order = row.queued_sheddable.is_empty() && !preferred;
        self.stats.violations.check(Invariant::SheddingOrder, in_order);
    }

    /// Hands a call to the target.
    pub(super) fn start_work(&mut self, call: CallId) {
        let Some(attempt) = self.attempts.get_mut(&call) else { return };
        let (node, key) = (attempt.node, attempt.hop);
        if !self.nodes[node].target_up {
            self.nodes[node].gate.complete(call, Completion::Failed, self.now);
            return self.answer(call, AnswerResult::Refused(Refusal::not_run(Reason::NoTarget, None)));
        }
        attempt.running = true;
        let Some(hop) = self.hops.get_mut(&key) else { return };
        hop.runs += 1;
        let (runs, request, depth) = (hop.runs, hop.request, hop.depth);
        self.check_start(node, runs, request);
        let crashes = self.requests.get(&request).is_some_and(|request| request.crashes_targets && depth == 0);
        if crashes {
            return self.crash_by_request(node, request);
        }
        self.nodes[node].waiting.push_back(call);
        self.use_slots(node);
    }

    fn check_start(&mut self, node: usize, runs: u32, request: u64) {
        if !self.is_full() {
            return;
        }
        let protected = self.class(request) == Class::Protected;
        let row = &mut self.nodes[node];
        if !protected {
            let shed = row.last_protected_shed;
            let in_order = shed.is_none_or(|shed| self.now.us_since(shed) >= SHEDDING_ORDER_US);
            row.last_sheddable = Some(self.now);
            self.stats.violations.check(Invariant::SheddingOrder, in_order);
        }
        let left_long_ago = row.leaving.is_some_and(|leaving| self.now.us_since(leaving) > LEAVING_GRACE_US);
        self.stats.violations.check(Invariant::LeavingTarget, !left_long_ago);
        let repeated = self.settings.at_most_once && protected && runs > 1;
        self.stats.violations.check(Invariant::AtMostOnce, !repeated);
    }

    fn crash_by_request(&mut self, node: usize, request: u64) {
        if let Some(request) = self.requests.get_mut(&request) {
            request.crashed += 1;
            self.stats.most_crashes = self.stats.most_crashes.max(request.crashed);
        }
        self.crash_target(node);
    }

    /// Begins the work of waiting calls while slots are free.
    pub(super) fn use_slots(&mut self, node: usize) {
        let service = self.nodes[node].service;
        let slots = self.settings.deployment.services[service].slots;
        while self.nodes[node].target_up && self.nodes[node].working.len() < slots {
            let Some(call) = self.nodes[node].waiting.pop_front() else { return };
            let Some(send) = self.attempts.get(&call).map(|attempt| attempt.send) else { continue };
            self.nodes[node].working.insert(call);
            let work_us = self.work_us(service);
            self.sends[send as usize].work_us += work_us;
            let life = self.nodes[node].life;
            self.after_us(work_us, Event::WorkDone { call, node, life });
        }
    }

    fn work_us(&mut self, service: usize) -> u64 {
        let phase = self.settings.phases.iter().rev().find(|phase| phase.from <= self.now);
        let deepest = service == self.settings.deployment.deepest;
        let slowdown = phase.filter(|_| deepest).map_or(1.0, |phase| phase.slowdown);
        let mean_us = self.settings.deployment.services[service].work_us as f64 * slowdown;
        (mean_us * (0.5 + 0.5 * self.exponential())) as u64
    }

    pub(super) fn work_done(&mut self, call: CallId, node: usize, life: u32) {
        if self.nodes[node].life != life || !self.nodes[node].working.contains(&call) {
            return;
        }
        if !self.settings.slots_held {
            self.nodes[node].working.remove(&call);
            self.use_slots(node);
        }
        let Some(attempt) = self.attempts.get(&call) else { return };
        let (key, retries) = (attempt.hop, attempt.unspent);
        let Some(hop) = self.hops.get(&key) else { return self.finish(call, AnswerResult::Error) };
        let Some(request) = self.requests.get(&hop.request) else { return self.finish(call, AnswerResult::Error) };
        if hop.depth + 1 == self.settings.deployment.routes[request.route].chain.len() {
            return self.finish(call, AnswerResult::Done);
        }
        let retries = if self.is_broken(Broken::AllowancePerHop) { ALLOWANCE } else { retries };
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
        let child_key = self.start_hop(child);
        if let Some(attempt) = self.attempts.get_mut(&call) {
            attempt.child = Some(child_key);
        }
        self.try_hop(child_key);
    }

    /// The call that an attempt's target waited for ended.
    pub(super) fn child_ended(&mut self, parent: CallId, answered: bool, unspent: u32) {
        let Some(attempt) = self.attempts.get_mut(&parent) else { return };
        attempt.child = None;
        attempt.unspent = unspent;
        let node = attempt.node;
        self.nodes[node].gate.record_child_end(parent, self.now);
        self.finish(parent, if answered { AnswerResult::Done } else { AnswerResult::Error });
    }

    /// The target answers.
    fn finish(&mut self, call: CallId, result: AnswerResult) {
        let Some(attempt) = self.attempts.get(&call) else { return };
        let node = attempt.node;
        self.nodes[node].working.remove(&call);
        self.nodes[node].gate.complete(call, Completion::Answered, self.now);
        self.answer(call, result);
        self.gate_events(node);
        self.use_slots(node);
    }

    pub(super) fn answer(&mut self, call: CallId, result: AnswerResult) {
        let Some(attempt) = self.attempts.get(&call) else { return };
        let (node, unspent, key) = (attempt.node, attempt.unspent, attempt.hop);
        let Some(hop) = self.hops.get(&key) else { return };
        let further = &self.chains[self.requests[&hop.request].route][hop.depth + 1..];
        let reports = self.nodes[node].door.level_reports(further, self.now);
        let level = self.nodes[node].gate.admission_level(self.now);
        let answer = Answer { call, hop: key, result, level, reports, unspent };
        let way_us = self.settings.deployment.network_us + self.late_by_us();
        self.after_us(way_us, Event::Answered(answer));
    }

    /// A cancellation reaches the target's node.
    pub(super) fn cancel_attempt(&mut self, call: CallId) {
        self.stop_work(call);
        self.attempts.remove(&call);
    }

    /// Frees everything that an attempt holds at its target.
    pub(super) fn stop_work(&mut self, call: CallId) {
        let Some(attempt) = self.attempts.get_mut(&call) else { return };
        let (node, child) = (attempt.node, attempt.child.take());
        let row = &mut self.nodes[node];
        row.gate.cancel(call, self.now);
        row.working.remove(&call);
        row.waiting.retain(|waiting| *waiting != call);
        row.queued_sheddable.remove(&call);
        if let Some(child) = child {
            self.cancel_hop(child);
        }
        if self.nodes[node].vm_up && self.is_full() {
            self.gate_events(node);
        }
        self.use_slots(node);
    }
}
