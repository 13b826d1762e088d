//! Whether a failed attempt is followed by another one.

use fulmartrestle_core::{Fingerprint, Outcome, Reason, Refusal, Service, TimeUs, VmId};
use fulmartrestle_derive::record;

use super::{RetryAllowance, RetryBudgets};
use crate::{CrashTable, CrashVerdict};

/// Targets that may shed a request before it is given up. Trying many would load a service that is
/// full everywhere with the same request over and over.
const MAX_SHED_TARGETS: usize = 2;

/// How an attempt failed.
#[record]
#[derive(Copy, Eq)]
pub enum AttemptResult {
    /// It was refused.
    Refused(Refusal),
    /// The connection was lost while the target ran it.
    ConnectionLost,
    /// No answer came in the time given to the attempt.
    TimedOut,
    /// The answer was cut short or invalid.
    BadAnswer,
    /// There was no target to try.
    NoTarget,
}

/// An attempt that failed.
#[record]
#[derive(Copy, Eq)]
pub struct FailedAttempt {
    /// The target that was tried, if any.
    pub target: Option<VmId>,
    /// What became of the attempt.
    pub result: AttemptResult,
}

/// Everything that a retry depends on besides the shared tables.
#[derive(Clone, Copy, Debug)]
pub struct RetryContext<'a> {
    /// The service called.
    pub service: &'a Service,
    /// The request's fingerprint.
    pub fingerprint: Fingerprint,
    /// All targets tried so far, the last one included.
    pub tried: &'a [VmId],
    /// The attempt that failed just now.
    pub attempt: FailedAttempt,
    /// Whether an earlier attempt may have run.
    pub earlier_may_have_run: bool,
    /// Whether the route must run at most once.
    pub at_most_once: bool,
    /// When the caller stops waiting.
    pub deadline: TimeUs,
    /// Time that an attempt takes at least, in microseconds.
    pub least_service_us: u64,
}

/// Whether to try again.
#[record]
#[derive(Copy, Eq)]
pub enum RetryDecision {
    /// Try another target at once. The retry is already paid for.
    Retry,
    /// Give up with this refusal.
    GiveUp(Refusal),
}

/// Decides about a retry, and on a yes spends one retry of the request's allowance and, if the
/// failure hints at overload, one of the service's budget.
pub fn decide_retry(
    question: &RetryContext<'_>,
    allowance: &mut RetryAllowance,
    budgets: &mut RetryBudgets,
    crashes: &mut CrashTable,
    now: TimeUs,
) -> RetryDecision {
    let give_up = RetryDecision::GiveUp(question.final_refusal());
    if !question.is_repeatable() || !question.has_time(now) {
        return give_up;
    }
    if question.runs_unknown() && !may_run_elsewhere(question, crashes, now) {
        return RetryDecision::GiveUp(Refusal::unknown(Reason::Blocked));
    }
    if allowance.remaining() == 0 || (question.hints_at_overload() && !budgets.spend_one(question.service, now)) {
        return give_up;
    }
    if allowance.spend_one() { RetryDecision::Retry } else { give_up }
}

/// A request that crashed a target may go to one more, never to a third.
fn may_run_elsewhere(question: &RetryContext<'_>, crashes: &mut CrashTable, now: TimeUs) -> bool {
    match crashes.check(question.fingerprint, now) {
        CrashVerdict::Clear => true,
        CrashVerdict::Marked => question.tried.len() < 2,
        CrashVerdict::Blocked { .. } => false,
    }
}

impl RetryContext<'_> {
    fn runs_unknown(&self) -> bool {
        match self.attempt.result {
            AttemptResult::Refused(refusal) => refusal.outcome == Outcome::Unknown,
            AttemptResult::ConnectionLost | AttemptResult::TimedOut | AttemptResult::BadAnswer => true,
            AttemptResult::NoTarget => false,
        }
    }

    /// Returns the refusal that ends the request now. It says "not run" only if no attempt may have
    /// run.
    fn final_refusal(&self) -> Refusal {
        let last = match self.attempt.result {
            AttemptResult::Refused(refusal) => refusal,
            AttemptResult::ConnectionLost => Refusal::unknown(Reason::TargetFailed),
            AttemptResult::TimedOut => Refusal::unknown(Reason::Deadline),
            AttemptResult::BadAnswer => Refusal::unknown(Reason::BadAnswer),
            AttemptResult::NoTarget => Refusal::not_run(Reason::NoTarget, Some(NO_TARGET_RETRY_AFTER_MS)),
        };
        let outcome = if self.earlier_may_have_run { Outcome::Unknown } else { last.outcome };
        Refusal { outcome, ..last }
    }

    /// Returns whether running the request on another target is allowed and can help.
    fn is_repeatable(&self) -> bool {
        if self.at_most_once && (self.runs_unknown() || self.earlier_may_have_run) {
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

    fn has_time(&self, now: TimeUs) -> bool {
        now.plus_us(self.least_service_us) < self.deadline
    }

    /// A target that leaves says nothing about the load, so that moving its calls elsewhere needs no
    /// budget.
    fn hints_at_overload(&self) -> bool {
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

/// When to come back after no target was found, in milliseconds: about one backoff of a suspected
/// target.
const NO_TARGET_RETRY_AFTER_MS: u64 = 500;
