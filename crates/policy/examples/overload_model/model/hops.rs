//! Calls as their callers see them: choice of target, retries, answers and cancellation.

use fulmartrestle_core::{CallId, Outcome, Reason, Refusal, TimeUs, VmId};
use fulmartrestle_policy::checks::Invariant;
use fulmartrestle_policy::{
    AttemptResult, CallResult, CompletedCall, CrashTable, CrashVerdict, FailedAttempt, RetryContext, RetryDecision,
    TargetRequirements, decide_retry,
};

use super::event::{Answer, AnswerResult, Event};
use super::fleet::{ALLOWANCE, Model};
use super::settings::Broken;
use super::table::{Attempt, Hop};

/// Tries at every hop of the baseline.
const BASELINE_TRIES: u32 = 3;
/// Part of the client's timeout that each try of the baseline waits.
const BASELINE_TIMEOUT_PART: u64 = 2;

impl Model {
    pub(super) fn start_hop(&mut self, hop: Hop) -> u64 {
        let key = self.next_id();
        self.hops.insert(key, hop);
        key
    }

    pub(super) fn try_hop(&mut self, key: u64) {
        let Some(target) = self.choose_target(key) else {
            return self.attempt_failed(key, None, AttemptResult::NoTarget);
        };
        let call = CallId(self.next_id());
        let vm = self.nodes[target].vm;
        let Some(hop) = self.hops.get_mut(&key) else { return };
        hop.attempts += 1;
        hop.tried.push(vm);
        hop.attempt = Some(call);
        let kept = hop.allowance.remaining().min(1);
        let reservation = hop.allowance.reserve(hop.allowance.remaining() - kept);
        let (node, send) = (hop.node, hop.send);
        let attempt = Attempt {
            hop: key,
            send,
            node: target,
            life: self.nodes[target].life,
            sent: self.now,
            offered: self.now,
            running: false,
            admitted: false,
            unspent: reservation.retries(),
            reservation: Some(reservation),
            child: None,
            lost: false,
            wanted: true,
        };
        self.attempts.insert(call, attempt);
        self.nodes[node].table.record_call_start(vm, self.now);
        let network_us = self.settings.deployment.network_us;
        self.after_us(network_us, Event::Arrive { call });
        if !self.is_full() {
            let timeout_us = self.settings.deployment.client_timeout_us / BASELINE_TIMEOUT_PART;
            self.after_us(timeout_us, Event::AttemptTimeout { call });
        }
    }

    fn choose_target(&mut self, key: u64) -> Option<usize> {
        let hop = self.hops.get(&key)?;
        let route = self.requests.get(&hop.request)?.route;
        let service = self.settings.deployment.routes[route].chain[hop.depth];
        let node = hop.node;
        if !self.is_full() {
            return self.next_in_turn(node, service);
        }
        let row = &mut self.nodes[node];
        let request =
            TargetRequirements { service: &self.services[service], own_zone: &row.zone_name, exclude: &hop.tried };
        let chosen = row.table.choose_target(&request, &mut self.rng, self.now)?;
        self.node_of(chosen)
    }

    fn next_in_turn(&mut self, node: usize, service: usize) -> Option<usize> {
        let targets: Vec<usize> = (0..self.nodes.len()).filter(|n| self.nodes[*n].service == service).collect();
        self.nodes[node].turn[service] += 1;
        Some(targets[self.nodes[node].turn[service] % targets.len()])
    }

    /// Settles a hop whose attempt failed: by another attempt or by a final refusal.
    pub(super) fn attempt_failed(&mut self, key: u64, target: Option<VmId>, result: AttemptResult) {
        let Some(hop) = self.hops.get_mut(&key) else { return };
        hop.attempt = None;
        let again =
            if self.is_full() { self.retry_full(key, target, result) } else { self.retry_baseline(key, result) };
        match again {
            RetryDecision::GiveUp(refusal) => self.hop_failed(key, refusal),
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
        self.stats.most_retries = self.stats.most_retries.max(send.retries);
        let bounded = send.retries <= ALLOWANCE;
        if self.is_full() {
            self.stats.violations.check(Invariant::BoundedRetries, bounded);
        }
    }

    fn retry_baseline(&mut self, key: u64, _result: AttemptResult) -> RetryDecision {
        let tries = self.hops.get(&key).map_or(0, |hop| hop.attempts);
        if tries < BASELINE_TRIES {
            return RetryDecision::Retry;
        }
        RetryDecision::GiveUp(Refusal::unknown(Reason::TargetFailed))
    }

    fn retry_full(&mut self, key: u64, target: Option<VmId>, result: AttemptResult) -> RetryDecision {
        let gave_up = RetryDecision::GiveUp(Refusal::unknown(Reason::Cancelled));
        let at_most_once = self.is_at_most_once(key);
        let Some(hop) = self.hops.get_mut(&key) else { return gave_up };
        let Some(request) = self.requests.get(&hop.request) else { return gave_up };
        let route = &self.chains[request.route];
        let question = RetryContext {
            service: &route[hop.depth],
            fingerprint: request.fingerprint,
            tried: &hop.tried,
            attempt: FailedAttempt { target, result },
            earlier_may_have_run: hop.may_have_run,
            at_most_once,
            deadline: hop.deadline,
            least_service_us: 0,
        };
        let node = &mut self.nodes[hop.node];
        let mut no_marks = CrashTable::default();
        let ignored = self.settings.broken == Some(Broken::CrashMarksIgnored);
        let crashes = if ignored { &mut no_marks } else { &mut node.crashes };
        let decision = decide_retry(&question, &mut hop.allowance, &mut node.budgets, crashes, self.now);
        let unknown = match result {
            AttemptResult::Refused(refusal) => refusal.outcome == Outcome::Unknown,
            AttemptResult::NoTarget => false,
            AttemptResult::ConnectionLost | AttemptResult::TimedOut | AttemptResult::BadAnswer => true,
        };
        hop.may_have_run |= unknown;
        decision
    }

    fn is_at_most_once(&self, key: u64) -> bool {
        let protected =
            self.hops.get(&key).is_some_and(|hop| self.class(hop.request) == fulmartrestle_core::Class::Protected);
        self.settings.at_most_once && protected && !self.is_broken(Broken::AtMostOnceIgnored)
    }

    /// A blocked request is refused before it reaches a target.
    pub(super) fn is_blocked(&self, node: usize, request: u64) -> bool {
        let Some(request) = self.requests.get(&request) else { return false };
        let verdict = self.nodes[node].crashes.check(request.fingerprint, self.now);
        self.is_full() && !self.is_broken(Broken::CrashMarksIgnored) && matches!(verdict, CrashVerdict::Blocked { .. })
    }

    /// An answer reaches the caller's node, which may not wait for it any more.
    pub(super) fn answered(&mut self, answer: Answer) {
        let Some(attempt) = self.attempts.get(&answer.call) else { return self.late_answer(&answer) };
        let (key, node) = (attempt.hop, attempt.node);
        if self.hops.get(&key).is_some_and(|hop| self.silent.contains(&(hop.node, node))) {
            return;
        }
        let Some(mut attempt) = self.attempts.remove(&answer.call) else { return };
        if !attempt.wanted {
            self.stats.late_answers += 1;
            return;
        }
        let Some(hop) = self.hops.get_mut(&key) else { return };
        if self.settings.mode == super::settings::Mode::Full {
            self.stats.violations.check(Invariant::AnswerIntegrity, hop.attempt == Some(answer.call));
        }
        if let Some(reservation) = attempt.reservation.take().filter(|_| answer.result != AnswerResult::Lost) {
            hop.allowance.return_unspent(reservation, answer.unspent);
        }
        let (caller, request) = (hop.node, hop.request);
        let vm = self.nodes[node].vm;
        self.learn(caller, node, vm, &attempt, &answer, request);
        self.settle(key, vm, answer.result);
    }

    /// An answer of an attempt that was given up is dropped.
    fn late_answer(&mut self, answer: &Answer) {
        self.stats.late_answers += 1;
        if !self.is_broken(Broken::LateAnswersTaken) {
            return;
        }
        let Some(hop) = self.hops.get(&answer.hop) else { return };
        self.stats.violations.check(Invariant::AnswerIntegrity, hop.attempt == Some(answer.call));
    }

    fn learn(&mut self, caller: usize, node: usize, vm: VmId, attempt: &Attempt, answer: &Answer, request: u64) {
        let service = &self.services[self.nodes[node].service];
        let result = match answer.result {
            AnswerResult::Done | AnswerResult::Error => CallResult::Answered,
            AnswerResult::Refused(_) => CallResult::Refused,
            AnswerResult::Lost => CallResult::ConnectionLost,
        };
        let fingerprint = self.requests.get(&request).map(|request| request.fingerprint);
        let row = &mut self.nodes[caller];
        let latency_us = self.now.us_since(attempt.sent);
        row.table.record_call_end(vm, CompletedCall { latency_us, result }, self.now);
        match (result, fingerprint) {
            (CallResult::Answered, Some(fingerprint)) => row.crashes.record_answer(fingerprint),
            (CallResult::ConnectionLost, Some(fingerprint)) => {
                row.crashes.record_connection_loss(fingerprint, vm, answer.call, self.now)
            }
            _ => {}
        }
        if answer.result != AnswerResult::Lost {
            row.door.record_level(service, vm, answer.level, self.now);
            for report in &answer.reports {
                row.door.record_level_report(vm, report, self.now);
            }
        }
        if answer.result == AnswerResult::Done {
            row.budgets.record_success(service, self.now);
        }
    }

    fn settle(&mut self, key: u64, vm: VmId, result: AnswerResult) {
        match result {
            AnswerResult::Done => {
                if let Some(hop) = self.hops.remove(&key) {
                    self.hop_ended(key, hop, true);
                }
            }
            AnswerResult::Error if self.is_full() => self.hop_failed(key, Refusal::unknown(Reason::TargetFailed)),
            AnswerResult::Error => self.attempt_failed(key, Some(vm), AttemptResult::BadAnswer),
            AnswerResult::Refused(refusal) => self.attempt_failed(key, Some(vm), AttemptResult::Refused(refusal)),
            AnswerResult::Lost => self.attempt_failed(key, Some(vm), AttemptResult::ConnectionLost),
        }
    }

    pub(super) fn attempt_timeout(&mut self, call: CallId) {
        let Some(attempt) = self.attempts.get_mut(&call) else { return };
        attempt.wanted = false;
        let (key, vm) = (attempt.hop, self.nodes[attempt.node].vm);
        if self.hops.get(&key).is_some_and(|hop| hop.attempt == Some(call)) {
            self.attempt_failed(key, Some(vm), AttemptResult::TimedOut);
        }
    }

    /// The caller of a hop gave up: its attempt is cancelled, and so are the calls below.
    pub(super) fn cancel_hop(&mut self, key: u64) {
        let Some(hop) = self.hops.remove(&key) else { return };
        let Some(call) = hop.attempt else { return };
        let Some(attempt) = self.attempts.get_mut(&call) else { return };
        attempt.wanted = false;
        let vm = self.nodes[attempt.node].vm;
        let end = CompletedCall { latency_us: self.now.us_since(attempt.sent), result: CallResult::TimedOut };
        self.nodes[hop.node].table.record_call_end(vm, end, self.now);
        let network_us = self.settings.deployment.network_us;
        self.after_us(network_us, Event::Cancel { call });
    }

    /// A silent connection was replaced, and the calls on the old one are lost.
    pub(super) fn connection_replaced(&mut self, from: usize, to: usize) {
        self.silent.remove(&(from, to));
        let vm = self.nodes[to].vm;
        self.nodes[from].table.record_silent_connection(vm, self.now);
        if self.nodes[to].vm_up {
            self.nodes[from].table.record_working_connection(vm, self.now);
        } else {
            self.nodes[from].table.record_connection_failure(vm, self.now);
        }
        let hop_node = |hop: u64| self.hops.get(&hop).map(|hop| hop.node);
        let on_it = |attempt: &Attempt| attempt.node == to && attempt.wanted && hop_node(attempt.hop) == Some(from);
        let lost: Vec<CallId> =
            self.attempts.iter().filter(|(_, attempt)| on_it(attempt)).map(|(call, _)| *call).collect();
        for call in lost {
            self.lose(call, 0);
        }
    }

    /// The caller notices after a while that an attempt's connection is gone. What still runs there
    /// is cancelled, because the target's node sees the same.
    pub(super) fn lose(&mut self, call: CallId, after_us: u64) {
        let Some(attempt) = self.attempts.get_mut(&call) else { return };
        attempt.lost = true;
        let hop = attempt.hop;
        let level = fulmartrestle_policy::AdmissionLevel::default();
        let answer = Answer { call, hop, result: AnswerResult::Lost, level, reports: Vec::new(), unspent: 0 };
        self.stop_work(call);
        self.after_us(after_us, Event::Answered(answer));
    }

    pub(super) fn late_by_us(&self) -> u64 {
        let (until, by_us): (TimeUs, u64) = self.late_until;
        if self.now < until { by_us } else { 0 }
    }
}
