//! Tests the retry allowance, the retry budgets and the retry decision.

use fulmartrestle_core::{CallId, Fingerprint, Outcome, Reason, Refusal, Service, TimeUs, VmId};
use fulmartrestle_policy::{
    AttemptResult, BasisPoints, CrashTable, FailedAttempt, FleetRetryBudgets, RetryAllowance, RetryBudgetSettings,
    RetryBudgets, RetryContext, RetryDecision, decide_retry,
};
use googletest::prelude::*;

fn service() -> Service {
    "lineage".parse().expect("the name is valid")
}

#[gtest]
fn an_allowance_never_grows() {
    let mut allowance = RetryAllowance::new(3);
    let reserved = allowance.reserve(2);
    expect_that!((reserved.retries(), allowance.remaining()), eq((2, 1)));
    allowance.return_unspent(reserved, 9);
    expect_that!(allowance.remaining(), eq(3));
    let reservation = allowance.reserve(5);
    drop(reservation);
    expect_that!(allowance.spend_one(), eq(false));
}

#[gtest]
fn successes_refill_a_budget() {
    let settings = RetryBudgetSettings::default().burst(2).min_retries_per_s(0);
    let mut budgets = RetryBudgets::new(settings);
    let now = TimeUs::from_s(1);
    let spent = (0..5).filter(|_| budgets.spend_one(&service(), now)).count();
    expect_that!(spent, eq(2));
    for _ in 0..10 {
        budgets.record_success(&service(), now);
    }
    expect_that!(budgets.spend_one(&service(), now), eq(true));
    expect_that!(budgets.may_retry(&service(), now), eq(false));
}

/// Returns how many retries new budgets grant for `successes` answered requests, all spent as they are earned.
fn granted_retries(settings: RetryBudgetSettings, successes: u32) -> f64 {
    let mut budgets = RetryBudgets::new(settings);
    let now = TimeUs::from_s(1);
    let mut granted = 0;
    for _ in 0..successes {
        budgets.record_success(&service(), now);
        while budgets.spend_one(&service(), now) {
            granted += 1;
        }
    }
    f64::from(granted)
}

/// Returns how many retries new budgets contain, fractions included.
fn initial_retries(settings: RetryBudgetSettings) -> f64 {
    let mut budgets = RetryBudgets::new(settings.retry_ratio(BasisPoints(1)));
    let now = TimeUs::from_s(1);
    let mut whole = 0.0;
    while budgets.spend_one(&service(), now) {
        whole += 1.0;
    }
    let mut missing = 0;
    while !budgets.may_retry(&service(), now) {
        budgets.record_success(&service(), now);
        missing += 1;
    }
    whole + BasisPoints::FULL.fraction() - BasisPoints(missing).fraction()
}

/// Guards against shares that look small at each level but exceed the operator's ratio or slack after three levels.
#[gtest]
fn three_levels_that_spend_all_budgets_stay_below_the_ratio_and_the_slack() {
    const SUCCESSES: u32 = 20_000;
    for retry_ratio in [0.01, 0.05, 0.1, 0.2, 0.3, 0.4, 0.8] {
        let budgets = FleetRetryBudgets::for_node(retry_ratio, 0.0, 76);
        let ratio = |settings: RetryBudgetSettings| granted_retries(settings, SUCCESSES) / f64::from(SUCCESSES);
        let [resend, call, request] = [budgets.resend, budgets.call_rerun, budgets.request_rerun].map(ratio);
        expect_that!(call, gt(request * 3.0), "{retry_ratio}");
        // Requests at the first level, calls at the second and third; resends execute nothing below them.
        let extra = (1.0 + request) * (1.0 + call) * (1.0 + call + resend) - 1.0;
        expect_that!(extra, lt(retry_ratio), "{retry_ratio}: {resend} {call} {request}");
    }
    for (node_count, retry_slack) in [(1, 48.0), (3, 48.0), (76, 48.0), (95, 10.0)] {
        let budgets = FleetRetryBudgets::for_node(0.0, retry_slack, node_count);
        let initial = |settings| initial_retries(settings) * node_count as f64;
        let [resend, call, request] = [budgets.resend, budgets.call_rerun, budgets.request_rerun].map(initial);
        let sum = request + 2.0 * call + resend;
        expect_that!(sum, lt(retry_slack), "{node_count}: {resend} {call} {request}");
    }
}

#[gtest]
fn a_failed_attempt_is_retried_only_if_safe_and_useful() {
    struct Case {
        name: &'static str,
        result: AttemptResult,
        tried: u64,
        at_most_once: bool,
        earlier_may_have_run: bool,
        crash_count: u64,
        allowance: u32,
        deadline_ms: u64,
        /// `None` for a retry, else the outcome and reason of the final refusal.
        final_refusal: Option<(Outcome, Reason)>,
    }
    let shed = AttemptResult::Refused(Refusal::not_run(Reason::Shed, Some(200)));
    let draining = AttemptResult::Refused(Refusal::not_run(Reason::Draining, None));
    let forbidden = AttemptResult::Refused(Refusal::not_run(Reason::Forbidden, None));
    let base = || Case {
        name: "",
        result: AttemptResult::ConnectionLost,
        tried: 1,
        at_most_once: false,
        earlier_may_have_run: false,
        crash_count: 0,
        allowance: 2,
        deadline_ms: 1_000,
        final_refusal: None,
    };
    let target_failed = Some((Outcome::Unknown, Reason::TargetFailed));
    let cases = [
        Case { name: "lost", ..base() },
        Case { name: "lost, at most once", at_most_once: true, final_refusal: target_failed, ..base() },
        Case { name: "lost, no allowance", allowance: 0, final_refusal: target_failed, ..base() },
        Case { name: "lost, no time", deadline_ms: 11, final_refusal: target_failed, ..base() },
        Case { name: "first crash", crash_count: 1, ..base() },
        Case {
            name: "first crash, second target tried",
            crash_count: 1,
            tried: 2,
            final_refusal: Some((Outcome::Unknown, Reason::Blocked)),
            ..base()
        },
        Case {
            name: "second crash",
            crash_count: 2,
            final_refusal: Some((Outcome::Unknown, Reason::Blocked)),
            ..base()
        },
        Case { name: "shed once", result: shed, ..base() },
        Case {
            name: "too long a queue",
            result: AttemptResult::Refused(Refusal::not_run(Reason::Deadline, None)),
            ..base()
        },
        Case {
            name: "too late at the target",
            result: AttemptResult::Refused(Refusal::unknown(Reason::Deadline)),
            final_refusal: Some((Outcome::Unknown, Reason::Deadline)),
            ..base()
        },
        Case { name: "shed once, at most once", result: shed, at_most_once: true, ..base() },
        Case {
            name: "shed twice",
            result: shed,
            tried: 2,
            final_refusal: Some((Outcome::NotRun, Reason::Shed)),
            ..base()
        },
        Case {
            name: "shed after a lost attempt",
            result: shed,
            tried: 2,
            earlier_may_have_run: true,
            final_refusal: Some((Outcome::Unknown, Reason::Shed)),
            ..base()
        },
        Case { name: "draining, at most once", result: draining, at_most_once: true, ..base() },
        Case {
            name: "draining after a lost attempt, at most once",
            result: draining,
            at_most_once: true,
            earlier_may_have_run: true,
            final_refusal: Some((Outcome::Unknown, Reason::Draining)),
            ..base()
        },
        Case {
            name: "forbidden",
            result: forbidden,
            final_refusal: Some((Outcome::NotRun, Reason::Forbidden)),
            ..base()
        },
        Case {
            name: "no target",
            result: AttemptResult::NoTarget,
            tried: 0,
            final_refusal: Some((Outcome::NotRun, Reason::NoTarget)),
            ..base()
        },
    ];
    for case in cases {
        let now = TimeUs::from_ms(10);
        let mut crashes = CrashTable::default();
        for target in 0..case.crash_count {
            crashes.record_connection_loss(Fingerprint(7), VmId(target), CallId(target), now);
        }
        let tried: Vec<VmId> = (0..case.tried).map(VmId).collect();
        let service = service();
        let context = RetryContext {
            service: &service,
            fingerprint: Fingerprint(7),
            tried: &tried,
            attempt: FailedAttempt { target: tried.last().copied(), result: case.result },
            earlier_may_have_run: case.earlier_may_have_run,
            at_most_once: case.at_most_once,
            deadline: TimeUs::from_ms(case.deadline_ms),
            min_service_us: 2_000,
        };
        let mut allowance = RetryAllowance::new(case.allowance);
        let decision = decide_retry(&context, &mut allowance, &mut RetryBudgets::default(), &mut crashes, now);
        let final_refusal = match decision {
            RetryDecision::Retry => None,
            RetryDecision::GiveUp(refusal) => Some((refusal.outcome, refusal.reason)),
        };
        expect_that!(final_refusal, eq(case.final_refusal), "{}", case.name);
        let spent = case.allowance - allowance.remaining();
        expect_that!(spent, eq(u32::from(case.final_refusal.is_none())), "{}", case.name);
    }
}
