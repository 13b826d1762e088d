//! Decides whether a failed attempt is retried.

use fulmartrestle_core::{Fingerprint, Outcome, Reason, Refusal, Service, TimeUs, VmId};
use fulmartrestle_derive::record;

use super::{RetryAllowance, RetryBudgets};
use crate::{CrashTable, CrashVerdict};

/// Number of targets that may shed a request before it is given up. With more, one request would repeatedly
/// load a service that is overloaded everywhere.
const MAX_SHED_TARGETS: usize = 2;

/// Result of a failed attempt.
#[record]
#[derive(Copy, Eq)]
pub enum AttemptResult {
    /// The attempt was refused.
    Refused(Refusal),
    /// The connection was lost while the target ran the attempt.
    ConnectionLost,
    /// No response was received within the time limit of the attempt.
    TimedOut,
    /// The response was truncated or invalid.
    BadAnswer,
    /// No target was available.
    NoTarget,
}

/// An attempt that failed, with its target.
#[record]
#[derive(Copy, Eq)]
pub struct FailedAttempt {
    /// Target of the attempt, if any.
    pub target: Option<VmId>,
    /// Result of the attempt.
    pub result: AttemptResult,
}

/// Inputs of a retry decision besides the shared tables.
#[derive(Clone, Copy, Debug)]
pub struct RetryContext<'a> {
    /// Service that is called.
    pub service: &'a Service,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// All targets tried so far, including the last one.
    pub tried: &'a [VmId],
    /// The last attempt.
    pub attempt: FailedAttempt,
    /// Whether an earlier attempt may have run.
    pub earlier_may_have_run: bool,
    /// Whether the route must run at most once.
    pub at_most_once: bool,
    /// Time at which the caller stops waiting.
    pub deadline: TimeUs,
    /// Minimum time that an attempt takes, in microseconds.
    pub min_service_us: u64,
}

/// Decision about a retry.
#[record]
#[derive(Copy, Eq)]
pub enum RetryDecision {
    /// Try another target at once. The retry has been spent from the allowance and, if required, from the
    /// budget.
    Retry,
    /// Give up and return this refusal.
    GiveUp(Refusal),
}

/// Decides whether to retry. Granting a retry spends one retry of the request's allowance and, if the
/// failure may be due to overload, one of the service's budget.
pub fn decide_retry(
    context: &RetryContext<'_>,
    allowance: &mut RetryAllowance,
    budgets: &mut RetryBudgets,
    crashes: &mut CrashTable,
    now: TimeUs,
) -> RetryDecision {
    let give_up = RetryDecision::GiveUp(context.final_refusal());
    if !context.is_repeatable() || !context.has_enough_time(now) {
        return give_up;
    }
    if context.attempt_may_have_run() && !may_run_elsewhere(context, crashes, now) {
        return RetryDecision::GiveUp(Refusal::unknown(Reason::Blocked));
    }
    if allowance.remaining() == 0 || (context.indicates_overload() && !budgets.spend_one(context.service, now)) {
        return give_up;
    }
    if allowance.spend_one() { RetryDecision::Retry } else { give_up }
}

/// Returns whether a request may run on another target. A request that crashed one target may run on one
/// more, never on a third in one try.
fn may_run_elsewhere(context: &RetryContext<'_>, crashes: &mut CrashTable, now: TimeUs) -> bool {
    match crashes.check(context.fingerprint, now) {
        CrashVerdict::Clear => true,
        CrashVerdict::Marked => context.tried.len() < 2,
        CrashVerdict::Suspected => false,
        CrashVerdict::Blocked { .. } => false,
    }
}

impl RetryContext<'_> {
    fn attempt_may_have_run(&self) -> bool {
        match self.attempt.result {
            AttemptResult::Refused(refusal) => refusal.outcome == Outcome::Unknown,
            AttemptResult::ConnectionLost | AttemptResult::TimedOut | AttemptResult::BadAnswer => true,
            AttemptResult::NoTarget => false,
        }
    }

    /// Returns the refusal for giving up now. Its outcome is "not run" only if no attempt may have run.
    fn final_refusal(&self) -> Refusal {
        let last_refusal = match self.attempt.result {
            AttemptResult::Refused(refusal) => refusal,
            AttemptResult::ConnectionLost => Refusal::unknown(Reason::TargetFailed),
            AttemptResult::TimedOut => Refusal::unknown(Reason::Deadline),
            AttemptResult::BadAnswer => Refusal::unknown(Reason::BadAnswer),
            AttemptResult::NoTarget => Refusal::not_run(Reason::NoTarget, Some(NO_TARGET_RETRY_AFTER_MS)),
        };
        let outcome = if self.earlier_may_have_run { Outcome::Unknown } else { last_refusal.outcome };
        Refusal { outcome, ..last_refusal }
    }

    /// Returns whether running the request on another target is permitted and can succeed.
    fn is_repeatable(&self) -> bool {
        if self.at_most_once && (self.attempt_may_have_run() || self.earlier_may_have_run) {
            return false;
        }
        match self.attempt.result {
            AttemptResult::Refused(refusal) => match refusal.reason {
                Reason::Draining | Reason::NotReady | Reason::NoTarget | Reason::TargetFailed | Reason::BadAnswer => {
                    true
                }
                Reason::Shed => self.tried.len() < MAX_SHED_TARGETS,
                Reason::Deadline => refusal.outcome == Outcome::NotRun && self.tried.len() < MAX_SHED_TARGETS,
                _ => false,
            },
            AttemptResult::NoTarget => false,
            AttemptResult::ConnectionLost | AttemptResult::TimedOut | AttemptResult::BadAnswer => true,
        }
    }

    fn has_enough_time(&self, now: TimeUs) -> bool {
        now.plus_us(self.min_service_us) < self.deadline
    }

    /// Returns whether the failure may be due to overload. A draining target does not indicate overload, so
    /// that moving its calls to other targets needs no budget.
    fn indicates_overload(&self) -> bool {
        !matches!(
            self.attempt.result,
            AttemptResult::Refused(Refusal {
                outcome: Outcome::NotRun,
                reason: Reason::Draining | Reason::NotReady | Reason::NoTarget,
                ..
            })
        )
    }
}

/// Retry-After in milliseconds if no target was found: about one backoff of a suspected target.
const NO_TARGET_RETRY_AFTER_MS: u64 = 500;
