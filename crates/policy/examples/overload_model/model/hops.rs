//! Caller side of calls: choice of target, retries, responses and cancellation.

use fulmartrestle_core::{CallId, Outcome, Reason, Refusal, TimeUs, VmId};
use fulmartrestle_policy::checks::Invariant;
use fulmartrestle_policy::{
    AttemptResult, CallResult, CompletedCall, CrashTable, CrashVerdict, FailedAttempt, RetryContext, RetryDecision,
    TargetRequirements, decide_retry,
};

use super::event::{Event, Response, ResponseKind};
use super::fleet::{Model, RETRY_ALLOWANCE};
use super::in_flight::{Attempt, Hop};
use super::settings::Defect;

/// Maximum tries at every hop of the baseline.
const BASELINE_MAX_TRIES: u32 = 3;
/// Divisor of the client's timeout that gives the time limit of each try of the baseline.
const BASELINE_TIMEOUT_DIVISOR: u64 = 2;

impl Model {
    pub(super) fn insert_hop(&mut self, hop: Hop) -> u64 {
        let key = self.next_id();
        self.hops.insert(key, hop);
        key
    }

    pub(super) fn try_hop(&mut self, key: u64) {
        let Some(target) = self.choose_target(key) else {
            return self.fail_attempt(key, None, AttemptResult::NoTarget);
        };
        let call = CallId(self.next_id());
        let vm = self.nodes[target].vm;
        let Some(hop) = self.hops.get_mut(&key) else { return };
        hop.attempts += 1;
        hop.tried.push(vm);
        hop.attempt = Some(call);
        let own_retries = hop.allowance.remaining().min(1);
        let reservation = hop.allowance.reserve(hop.allowance.remaining() - own_retries);
        let (node, send) = (hop.node, hop.send);
        let attempt = Attempt {
            hop: key,
            send,
            node: target,
            generation: self.nodes[target].generation,
            sent: self.now,
            offered: self.now,
            running: false,
            admitted: false,
            unspent: reservation.retries(),
            reservation: Some(reservation),
            child: None,
            lost: false,
            caller_waits: true,
        };
        self.attempts.insert(call, attempt);
        self.nodes[node].target_table.record_call_start(vm, self.now);
        let network_us = self.settings.deployment.network_us;
        self.after_us(network_us, Event::AttemptArrived { call });
        if !self.uses_full_policy() {
            let timeout_us = self.settings.deployment.client_timeout_us / BASELINE_TIMEOUT_DIVISOR;
            self.after_us(timeout_us, Event::AttemptTimeout { call });
        }
    }

    fn choose_target(&mut self, key: u64) -> Option<usize> {
        let hop = self.hops.get(&key)?;
        let route = self.requests.get(&hop.request)?.route;
        let service = self.settings.deployment.routes[route].chain[hop.depth];
        let node = hop.node;
        if !self.uses_full_policy() {
            return self.choose_round_robin(node, service);
        }
        let node_state = &mut self.nodes[node];
        let request = TargetRequirements {
            service: &self.services[service],
            own_zone: &node_state.zone_name,
            exclude: &hop.tried,
        };
        let chosen_vm = node_state.target_table.choose_target(&request, &mut self.rng, self.now)?;
        self.node_index(chosen_vm)
    }

    fn choose_round_robin(&mut self, node: usize, service: usize) -> Option<usize> {
        let targets: Vec<usize> = (0..self.nodes.len()).filter(|n| self.nodes[*n].service == service).collect();
        self.nodes[node].round_robin_index[service] += 1;
        Some(targets[self.nodes[node].round_robin_index[service] % targets.len()])
    }

    /// Handles a failed attempt of a hop, by another attempt or a final refusal.
    pub(super) fn fail_attempt(&mut self, key: u64, target: Option<VmId>, result: AttemptResult) {
        let Some(hop) = self.hops.get_mut(&key) else { return };
        hop.attempt = None;
        let decision = if self.uses_full_policy() {
            self.decide_full_retry(key, target, result)
        } else {
            self.decide_baseline_retry(key, result)
        };
        match decision {
            RetryDecision::GiveUp(refusal) => self.fail_hop(key, refusal),
            RetryDecision::Retry => {
                self.count_retry(key);
                self.try_hop(key);
            }
        }
    }

    fn count_retry(&mut self, key: u64) {
        let Some(hop) = self.hops.get(&key) else { return };
        let send = &mut self.sends[hop.send as usize];
        send.retries += 1;
        self.stats.max_retries = self.stats.max_retries.max(send.retries);
        let bounded = send.retries <= RETRY_ALLOWANCE;
        if self.uses_full_policy() {
            self.stats.violations.check(Invariant::BoundedRetries, bounded);
        }
    }

    fn decide_baseline_retry(&mut self, key: u64, _result: AttemptResult) -> RetryDecision {
        let tries = self.hops.get(&key).map_or(0, |hop| hop.attempts);
        if tries < BASELINE_MAX_TRIES {
            return RetryDecision::Retry;
        }
        RetryDecision::GiveUp(Refusal::unknown(Reason::TargetFailed))
    }

    fn decide_full_retry(&mut self, key: u64, target: Option<VmId>, result: AttemptResult) -> RetryDecision {
        let fallback = RetryDecision::GiveUp(Refusal::unknown(Reason::Cancelled));
        let at_most_once = self.is_at_most_once(key);
        let Some(hop) = self.hops.get_mut(&key) else { return fallback };
        let Some(request) = self.requests.get(&hop.request) else { return fallback };
        let services = &self.chains[request.route];
        let context = RetryContext {
            service: &services[hop.depth],
            fingerprint: request.fingerprint,
            tried: &hop.tried,
            attempt: FailedAttempt { target, result },
            earlier_may_have_run: hop.may_have_run,
            at_most_once,
            deadline: hop.deadline,
            min_service_us: 0,
        };
        let node = &mut self.nodes[hop.node];
        let mut no_marks = CrashTable::default();
        let marks_ignored = self.settings.defect == Some(Defect::CrashMarksIgnored);
        let crashes = if marks_ignored { &mut no_marks } else { &mut node.crashes };
        let decision = decide_retry(&context, &mut hop.allowance, &mut node.budgets, crashes, self.now);
        let outcome_is_unknown = match result {
            AttemptResult::Refused(refusal) => refusal.outcome == Outcome::Unknown,
            AttemptResult::NoTarget => false,
            AttemptResult::ConnectionLost | AttemptResult::TimedOut | AttemptResult::BadAnswer => true,
        };
        hop.may_have_run |= outcome_is_unknown;
        decision
    }

    fn is_at_most_once(&self, key: u64) -> bool {
        let protected =
            self.hops.get(&key).is_some_and(|hop| self.class_of(hop.request) == fulmartrestle_core::Class::Protected);
        self.settings.at_most_once && protected && !self.has_defect(Defect::AtMostOnceIgnored)
    }

    /// Returns whether a request is blocked and must be refused before it reaches a target.
    pub(super) fn is_blocked(&self, node: usize, request: u64) -> bool {
        let Some(request) = self.requests.get(&request) else { return false };
        let verdict = self.nodes[node].crashes.check(request.fingerprint, self.now);
        self.uses_full_policy()
            && !self.has_defect(Defect::CrashMarksIgnored)
            && matches!(verdict, CrashVerdict::Blocked { .. })
    }

    /// Handles a response that reaches the caller's node, which may no longer wait for it.
    pub(super) fn receive_response(&mut self, response: Response) {
        let Some(attempt) = self.attempts.get(&response.call) else { return self.receive_late_response(&response) };
        let (key, node) = (attempt.hop, attempt.node);
        if self.hops.get(&key).is_some_and(|hop| self.silent_connections.contains(&(hop.node, node))) {
            return;
        }
        let Some(mut attempt) = self.attempts.remove(&response.call) else { return };
        if !attempt.caller_waits {
            self.stats.late_responses += 1;
            return;
        }
        let Some(hop) = self.hops.get_mut(&key) else { return };
        if self.settings.mode == super::settings::Mode::Full {
            self.stats.violations.check(Invariant::AnswerIntegrity, hop.attempt == Some(response.call));
        }
        if let Some(reservation) = attempt.reservation.take().filter(|_| response.kind != ResponseKind::Lost) {
            hop.allowance.return_unspent(reservation, response.unspent);
        }
        let (caller, request) = (hop.node, hop.request);
        let vm = self.nodes[node].vm;
        self.record_response_at_caller(caller, node, vm, &attempt, &response, request);
        self.finish_attempt(key, vm, response.kind);
    }

    /// Drops a response to an attempt that was given up.
    fn receive_late_response(&mut self, response: &Response) {
        self.stats.late_responses += 1;
        if !self.has_defect(Defect::LateResponsesAccepted) {
            return;
        }
        let Some(hop) = self.hops.get(&response.hop) else { return };
        self.stats.violations.check(Invariant::AnswerIntegrity, hop.attempt == Some(response.call));
    }

    fn record_response_at_caller(
        &mut self,
        caller: usize,
        node: usize,
        vm: VmId,
        attempt: &Attempt,
        response: &Response,
        request: u64,
    ) {
        let service = &self.services[self.nodes[node].service];
        let result = match response.kind {
            ResponseKind::Done | ResponseKind::Error => CallResult::Answered,
            ResponseKind::Refused(_) => CallResult::Refused,
            ResponseKind::Lost => CallResult::ConnectionLost,
        };
        let fingerprint = self.requests.get(&request).map(|request| request.fingerprint);
        let node_state = &mut self.nodes[caller];
        let latency_us = self.now.us_since(attempt.sent);
        node_state.target_table.record_call_end(vm, CompletedCall { latency_us, result }, self.now);
        match (result, fingerprint) {
            (CallResult::Answered, Some(fingerprint)) => node_state.crashes.record_response(fingerprint),
            (CallResult::ConnectionLost, Some(fingerprint)) => {
                node_state.crashes.record_connection_loss(fingerprint, vm, response.call, self.now)
            }
            _ => {}
        }
        if response.kind != ResponseKind::Lost {
            node_state.ingress_admission.record_level(service, vm, response.level, self.now);
            for report in &response.reports {
                node_state.ingress_admission.record_level_report(vm, report, self.now);
            }
        }
        if response.kind == ResponseKind::Done {
            node_state.budgets.record_success(service, self.now);
        }
    }

    fn finish_attempt(&mut self, key: u64, vm: VmId, result: ResponseKind) {
        match result {
            ResponseKind::Done => {
                if let Some(hop) = self.hops.remove(&key) {
                    self.finish_hop(key, hop, true);
                }
            }
            ResponseKind::Error if self.uses_full_policy() => {
                self.fail_hop(key, Refusal::unknown(Reason::TargetFailed))
            }
            ResponseKind::Error => self.fail_attempt(key, Some(vm), AttemptResult::BadAnswer),
            ResponseKind::Refused(refusal) => self.fail_attempt(key, Some(vm), AttemptResult::Refused(refusal)),
            ResponseKind::Lost => self.fail_attempt(key, Some(vm), AttemptResult::ConnectionLost),
        }
    }

    pub(super) fn time_out_attempt(&mut self, call: CallId) {
        let Some(attempt) = self.attempts.get_mut(&call) else { return };
        attempt.caller_waits = false;
        let (key, vm) = (attempt.hop, self.nodes[attempt.node].vm);
        if self.hops.get(&key).is_some_and(|hop| hop.attempt == Some(call)) {
            self.fail_attempt(key, Some(vm), AttemptResult::TimedOut);
        }
    }

    /// Cancels a hop whose caller gave up, with its attempt and the calls below.
    pub(super) fn cancel_hop(&mut self, key: u64) {
        let Some(hop) = self.hops.remove(&key) else { return };
        let Some(call) = hop.attempt else { return };
        let Some(attempt) = self.attempts.get_mut(&call) else { return };
        attempt.caller_waits = false;
        let vm = self.nodes[attempt.node].vm;
        let end = CompletedCall { latency_us: self.now.us_since(attempt.sent), result: CallResult::TimedOut };
        self.nodes[hop.node].target_table.record_call_end(vm, end, self.now);
        let network_us = self.settings.deployment.network_us;
        self.after_us(network_us, Event::CancellationArrived { call });
    }

    /// Replaces a silent connection; the calls on the old one are lost.
    pub(super) fn replace_connection(&mut self, from: usize, to: usize) {
        self.silent_connections.remove(&(from, to));
        let vm = self.nodes[to].vm;
        self.nodes[from].target_table.record_silent_connection(vm, self.now);
        if self.nodes[to].vm_up {
            self.nodes[from].target_table.record_working_connection(vm, self.now);
        } else {
            self.nodes[from].target_table.record_connection_failure(vm, self.now);
        }
        let hop_node = |hop: u64| self.hops.get(&hop).map(|hop| hop.node);
        let uses_connection =
            |attempt: &Attempt| attempt.node == to && attempt.caller_waits && hop_node(attempt.hop) == Some(from);
        let lost: Vec<CallId> =
            self.attempts.iter().filter(|(_, attempt)| uses_connection(attempt)).map(|(call, _)| *call).collect();
        for call in lost {
            self.lose_attempt(call, 0);
        }
    }

    /// Loses an attempt with its connection; the caller detects that after `after_us`. The running work is
    /// cancelled, because the target's node detects the loss as well.
    pub(super) fn lose_attempt(&mut self, call: CallId, after_us: u64) {
        let Some(attempt) = self.attempts.get_mut(&call) else { return };
        attempt.lost = true;
        let hop = attempt.hop;
        let level = fulmartrestle_policy::AdmissionLevel::default();
        let response = Response { call, hop, kind: ResponseKind::Lost, level, reports: Vec::new(), unspent: 0 };
        self.release_attempt(call);
        self.after_us(after_us, Event::ResponseArrived(response));
    }

    pub(super) fn response_delay_us(&self) -> u64 {
        let (until, by_us): (TimeUs, u64) = self.response_delay;
        if self.now < until { by_us } else { 0 }
    }
}
