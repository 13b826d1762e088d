//! Computes the report of a run from its records.

use std::collections::BTreeMap;

use fulmartrestle_core::Class;
use hdrhistogram::Histogram;

use super::fairness::{TenantGoodput, worst_tenant_share};
use super::goodput::{rate_per_s, recovery_ms};
use super::invariants::{check_invariants, max_attempts_per_send, rate_limit, withdrawn_key_ms};
use super::rate::check_conformance;
use super::{RequestRow, SendRow, TargetRecords, join_sends};
use crate::DemoArgs;
use crate::deployment::Deployment;
use crate::fleet::SendOutcome;
use crate::latency_overhead::{LatencyOverhead, latency_histogram};
use crate::phase::Phase;
use crate::report::{ClassShare, DemoReport, OutcomeCount, PhaseGoodput};
use crate::scenario_events::ScenarioEvents;

/// The warm-up is this part of a run. It is excluded from the goodput before the triggers, because
/// connections are opened in it.
const WARM_UP_DIVISOR: u64 = 10;

const US_PER_S: u64 = 1_000_000;

/// Records of one run.
pub struct RunRecord<'a> {
    /// Arguments of the run.
    pub args: &'a DemoArgs,
    /// Deployment that was started.
    pub deployment: &'a Deployment,
    /// Phases of the scenario.
    pub phases: &'a [Phase],
    /// All sends, sorted by request number and send index.
    pub sends: &'a [SendRow],
    /// Records of the targets.
    pub targets: &'a TargetRecords,
    /// Events of the scenario.
    pub events: &'a ScenarioEvents,
    /// Time until the first configuration was in force on all nodes, in milliseconds.
    pub config_in_force_ms: u64,
    /// Latencies of calls through the fleet and of direct calls.
    pub latency_overhead: &'a LatencyOverhead,
}

/// Computes the report of a run.
pub fn summarize(run: &RunRecord<'_>) -> DemoReport {
    let requests = join_sends(run.sends);
    let completion_times_us = completion_times_us(run, &requests);
    let goodput = goodput_by_phase(run, &completion_times_us);
    let loaded = loaded_latency_us(run);
    let violations = check_invariants(run);
    DemoReport {
        deployment: run.args.deployment,
        scenario: run.args.scenario,
        policy: run.args.policy,
        seconds: run.args.seconds,
        seed: run.args.seed,
        requests: requests.len() as u64,
        sends: run.sends.len() as u64,
        whole: count_outcomes(&requests, |outcome| matches!(outcome, SendOutcome::Whole { .. })),
        not_run: count_outcomes(&requests, |outcome| matches!(outcome, SendOutcome::NotRun { .. })),
        unknown: count_outcomes(&requests, |outcome| matches!(outcome, SendOutcome::Unknown { .. })),
        failed: count_outcomes(&requests, |outcome| {
            matches!(outcome, SendOutcome::Failed { .. } | SendOutcome::WrongAnswer)
        }),
        goodput_per_s: rate_per_s(&completion_times_us, 0, run.run_us()),
        recovery_ms: recovery_after_triggers(run, &completion_times_us, goodput.before_per_s),
        worst_tenant_share: worst_tenant_share(&tenant_goodput(run, &requests)),
        refused_within_rate: refused_within_rate(run, &requests),
        max_tries_per_request: max_attempts_per_send(run),
        ran_twice: run.targets.ran_twice,
        keys_seen_by_targets: run.targets.keys_seen,
        withdrawn_key_ms: withdrawn_key_ms(run),
        config_in_force_ms: run.config_in_force_ms,
        added_p50_us: run.latency_overhead.added_us(0.5),
        added_p99_us: run.latency_overhead.added_us(0.99),
        direct_p50_us: run.latency_overhead.direct_us.value_at_quantile(0.5),
        direct_p99_us: run.latency_overhead.direct_us.value_at_quantile(0.99),
        loaded_p50_us: loaded.value_at_quantile(0.5),
        loaded_p99_us: loaded.value_at_quantile(0.99),
        invariant_violations: violations.len() as u64,
        violations,
        goodput,
        goodput_by_s: goodput_by_s(run, &completion_times_us),
        classes: class_shares(run, &requests),
        outcomes: outcome_counts(run.sends),
    }
}

impl RunRecord<'_> {
    fn run_us(&self) -> u64 {
        self.args.seconds * US_PER_S
    }

    fn warm_up_us(&self) -> u64 {
        self.run_us() / WARM_UP_DIVISOR
    }

    /// Returns when the first trigger begins, or the end of the run without triggers.
    fn first_trigger_us(&self) -> u64 {
        let begins = self.phases.iter().map(|phase| phase.begin_us(self.run_us()));
        begins.min().unwrap_or(self.run_us())
    }

    /// Returns when the last trigger ends, or `None` without triggers.
    fn last_trigger_end_us(&self) -> Option<u64> {
        self.phases.iter().map(|phase| phase.end_us(self.run_us())).max()
    }

    /// Returns whether a request is entitled to a response. Requests of the tenant whose key is withdrawn
    /// are not.
    fn is_entitled(&self, request: &RequestRow) -> bool {
        let withdrawn = self.events.key_withdrawn_us.is_some();
        !(withdrawn && request.arrival.tenant == self.deployment.withdrawn_tenant)
    }
}

fn count_outcomes(requests: &[RequestRow], matches: impl Fn(&SendOutcome) -> bool) -> u64 {
    requests.iter().filter(|request| matches(&request.outcome)).count() as u64
}

/// Returns the times of the complete responses to entitled requests.
fn completion_times_us(run: &RunRecord<'_>, requests: &[RequestRow]) -> Vec<u64> {
    let complete = requests.iter().filter(|request| request.is_complete() && run.is_entitled(request));
    complete.map(|request| request.ended_us).collect()
}

fn goodput_by_phase(run: &RunRecord<'_>, completion_times_us: &[u64]) -> PhaseGoodput {
    let begin_us = run.first_trigger_us();
    let end_us = run.last_trigger_end_us().unwrap_or(run.run_us());
    PhaseGoodput {
        before_per_s: rate_per_s(completion_times_us, run.warm_up_us(), begin_us),
        during_per_s: rate_per_s(completion_times_us, begin_us, end_us),
        after_per_s: rate_per_s(completion_times_us, end_us, run.run_us()),
    }
}

fn goodput_by_s(run: &RunRecord<'_>, completion_times_us: &[u64]) -> Vec<u64> {
    let completions_in =
        |second: u64| rate_per_s(completion_times_us, second * US_PER_S, (second + 1) * US_PER_S) as u64;
    (0..run.args.seconds).map(completions_in).collect()
}

/// Returns the recovery time after the last trigger, in milliseconds, which is zero without triggers.
fn recovery_after_triggers(run: &RunRecord<'_>, completion_times_us: &[u64], before_per_s: f64) -> Option<u64> {
    match run.last_trigger_end_us() {
        None => Some(0),
        Some(end_us) => recovery_ms(completion_times_us, before_per_s, end_us, run.run_us()),
    }
}

fn tenant_goodput(run: &RunRecord<'_>, requests: &[RequestRow]) -> Vec<TenantGoodput> {
    let tenants = run.deployment.tenants.iter().enumerate();
    let goodput = |(index, spec): (usize, &crate::deployment::TenantSpec)| {
        let tenant_requests = || requests.iter().filter(|row| row.arrival.tenant == index && run.is_entitled(row));
        let allowed = spec.burst + spec.rate_per_s * run.args.seconds;
        TenantGoodput {
            weight: spec.rate_per_s as f64,
            demand: tenant_requests().count().min(allowed as usize) as f64,
            completed: tenant_requests().filter(|row| row.is_complete()).count() as f64,
        }
    };
    tenants.map(goodput).collect()
}

/// Counts requests without a complete response whose first send conformed to the tenant's rate limit. All
/// sends of the tenant count against the limit.
fn refused_within_rate(run: &RunRecord<'_>, requests: &[RequestRow]) -> u64 {
    let conforming = conforming_sends(run);
    let refused = requests.iter().filter(|row| !row.is_complete() && run.is_entitled(row));
    refused.filter(|row| conforming[row.first_send_index]).count() as u64
}

/// Returns for each send whether it conformed to its tenant's rate limit.
fn conforming_sends(run: &RunRecord<'_>) -> Vec<bool> {
    let mut result = vec![false; run.sends.len()];
    for (index, tenant) in run.deployment.tenants.iter().enumerate() {
        let mut tenant_sends: Vec<_> =
            (0..run.sends.len()).filter(|send| run.sends[*send].arrival.tenant == index).collect();
        tenant_sends.sort_by_key(|send| run.sends[*send].sent_us);
        let sent_us: Vec<_> = tenant_sends.iter().map(|send| run.sends[*send].sent_us).collect();
        for (send, conforms) in tenant_sends.into_iter().zip(check_conformance(rate_limit(tenant), &sent_us)) {
            result[send] = conforms;
        }
    }
    result
}

/// Collects the latencies outside the target under load before the first trigger. They include all queueing
/// outside the target.
fn loaded_latency_us(run: &RunRecord<'_>) -> Histogram<u64> {
    let mut loaded = latency_histogram();
    let before_triggers = run.warm_up_us()..run.first_trigger_us();
    for send in run.sends.iter().filter(|send| before_triggers.contains(&send.sent_us)) {
        if let SendOutcome::Whole { in_target_us } = send.outcome {
            loaded.saturating_record((send.ended_us - send.sent_us).saturating_sub(in_target_us));
        }
    }
    loaded
}

fn class_shares(run: &RunRecord<'_>, requests: &[RequestRow]) -> Vec<ClassShare> {
    let share = |class: Class| {
        let of_class = |row: &&RequestRow| run.deployment.routes[row.arrival.route].class == class;
        let class_requests = || requests.iter().filter(of_class).filter(|row| run.is_entitled(row));
        let whole = class_requests().filter(|row| row.is_complete()).count() as u64;
        ClassShare { class, requests: class_requests().count() as u64, whole }
    };
    Class::ALL.into_iter().map(share).collect()
}

fn outcome_counts(sends: &[SendRow]) -> Vec<OutcomeCount> {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for send in sends {
        *counts.entry(send.outcome.label()).or_default() += 1;
    }
    counts.into_iter().map(|(outcome, sends)| OutcomeCount { outcome, sends }).collect()
}
