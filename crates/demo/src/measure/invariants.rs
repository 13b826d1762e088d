//! Checks invariants on the records of callers and targets.

use super::rate::{Admission, RateLimit, count_rate_violations};
use super::summary::RunRecord;
use super::{Invariant, SendRow, Violation};
use crate::deployment::TenantSpec;
use crate::fleet::SendOutcome;
use crate::load::request_id;

/// Maximum time for which a withdrawn key may still work: the "within seconds" of
/// [`Invariant::WithdrawnKeyStops`].
const MAX_WITHDRAWN_KEY_MS: u64 = 5_000;
/// Maximum time until a confirmed configuration is in force on all nodes: the "within seconds" of
/// [`Invariant::ConfigurationInForce`].
const MAX_CONFIG_IN_FORCE_MS: u64 = 5_000;

/// Maximum time for which a draining target may get new requests: the "few seconds" of
/// [`Invariant::LeavingTargetIsLeftAlone`].
const MAX_ARRIVAL_AFTER_LEAVING_MS: u64 = 2_500;

/// Maximum attempts of one send over its whole call chain, including the first. Three retries allow one at
/// each hop after the first in a chain of four services.
const MAX_ATTEMPTS_PER_SEND: u32 = 4;

/// Checks all invariants and returns those that were violated.
pub(crate) fn check_invariants(run: &RunRecord<'_>) -> Vec<Violation> {
    let counts = [
        (Invariant::OwnAnswer, wrong_answers(run.sends)),
        (Invariant::NotRunIsTrue, false_not_run_refusals(run)),
        (Invariant::AtMostOnce, run.targets.ran_twice),
        (Invariant::NoKeyAtTargets, run.targets.keys_seen),
        (Invariant::WithdrawnKeyStops, excess(withdrawn_key_ms(run).unwrap_or(0), MAX_WITHDRAWN_KEY_MS)),
        (Invariant::RateAndBurst, admissions_over_limit(run)),
        (Invariant::BoundedRetries, excess(max_attempts_per_send(run).into(), MAX_ATTEMPTS_PER_SEND.into())),
        (
            Invariant::LeavingTargetIsLeftAlone,
            excess(run.targets.last_arrival_after_leaving_ms, MAX_ARRIVAL_AFTER_LEAVING_MS),
        ),
        (Invariant::GracefulStop, run.events.interrupted_by_stop),
        (Invariant::ConfigurationInForce, excess(run.config_in_force_ms, MAX_CONFIG_IN_FORCE_MS)),
    ];
    let violated = counts.into_iter().filter(|(_, count)| *count > 0);
    violated.map(|(invariant, count)| Violation { invariant, count }).collect()
}

fn excess(value: u64, limit: u64) -> u64 {
    value.saturating_sub(limit)
}

fn wrong_answers(sends: &[SendRow]) -> u64 {
    sends.iter().filter(|send| send.outcome == SendOutcome::WrongAnswer).count() as u64
}

/// Counts sends that were refused as not run although a target started them.
fn false_not_run_refusals(run: &RunRecord<'_>) -> u64 {
    let refused = run.sends.iter().filter(|send| matches!(send.outcome, SendOutcome::NotRun { .. }));
    let has_started = |send: &&SendRow| run.first_start_us(send).is_some();
    refused.filter(has_started).count() as u64
}

fn admissions_over_limit(run: &RunRecord<'_>) -> u64 {
    let tenants = run.deployment.tenants.iter().enumerate();
    tenants.map(|(index, tenant)| count_rate_violations(rate_limit(tenant), admissions(run, index))).sum()
}

pub(super) fn rate_limit(tenant: &TenantSpec) -> RateLimit {
    RateLimit { rate_per_s: tenant.rate_per_s, burst: tenant.burst }
}

fn admissions(run: &RunRecord<'_>, tenant: usize) -> Vec<Admission> {
    let sends = run.sends.iter().filter(|send| send.arrival.tenant == tenant);
    let admission = |send: &SendRow| {
        let started_us = run.first_start_us(send)?;
        Some(Admission { sent_us: send.sent_us, started_us })
    };
    sends.filter_map(admission).collect()
}

/// Returns the largest number of attempts that one send caused over its whole call chain.
pub(super) fn max_attempts_per_send(run: &RunRecord<'_>) -> u32 {
    let extra = run.targets.extra_attempts.values().copied().max().unwrap_or(0);
    1 + extra
}

/// Returns the time from the confirmed withdrawal of a key to the last start of a request with that key, in
/// milliseconds, or `None` if no key was withdrawn.
pub(super) fn withdrawn_key_ms(run: &RunRecord<'_>) -> Option<u64> {
    let withdrawn_us = run.events.key_withdrawn_us?;
    let with_key = run.sends.iter().filter(|send| send.arrival.tenant == run.deployment.withdrawn_tenant);
    let last_start_us = with_key.filter_map(|send| run.first_start_us(send)).max().unwrap_or(0);
    Some(last_start_us.saturating_sub(withdrawn_us) / 1_000)
}

impl RunRecord<'_> {
    /// Returns when a target first started this send, in microseconds since the start of the load.
    fn first_start_us(&self, send: &SendRow) -> Option<u64> {
        self.targets.first_start_us.get(&request_id(send.request_number, send.send_index)).copied()
    }
}
