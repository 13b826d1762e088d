//! Regression tests, by issue.

use fulmartrestle_core::{CallId, Class, Fingerprint, Reason, TimeUs, VmId};
use fulmartrestle_policy::{
    Admission, AdmissionGate, AdmissionGateSettings, BasisPoints, Completion, CrashTable, CrashVerdict, OfferedCall,
    RetryBudgets,
};
use googletest::prelude::*;

fn offer(call: u64, class: Class, deadline: TimeUs) -> OfferedCall {
    OfferedCall {
        call: CallId(call),
        tenant: "team".parse().expect("the name is valid"),
        weight: 1,
        class,
        deadline,
        ingress_share: BasisPoints::FULL,
    }
}

/// Issue 4: two crashes of one target within two seconds were counted as one crash that was reported twice.
#[gtest]
fn two_crashes_of_one_target_block_a_request() {
    let mut table = CrashTable::default();
    let now = TimeUs::from_s(1);
    table.record_connection_loss(Fingerprint(7), VmId(1), CallId(1), now);
    table.record_connection_loss(Fingerprint(7), VmId(1), CallId(2), now.plus_ms(600));
    let verdict = table.check(Fingerprint(7), now.plus_ms(600));
    expect_that!(verdict, matches_pattern!(CrashVerdict::Blocked { .. }));
}

/// Issue 4: a protected call with too little time left made the gate refuse all other calls for a second.
#[gtest]
fn a_late_protected_call_does_not_block_other_calls() {
    let mut gate = AdmissionGate::new(AdmissionGateSettings::default().initial_limit(1).max_limit(1).min_limit(1));
    let mut now = TimeUs::default();
    let later = TimeUs::from_s(1_000);
    for call in 0..100 {
        gate.offer(offer(call, Class::Lookup, later), now);
        now = now.plus_ms(20);
        gate.complete(CallId(call), Completion::Answered, now);
    }
    gate.offer(offer(200, Class::Lookup, later), now);
    let too_late = gate.offer(offer(201, Class::Protected, now.plus_ms(25)), now);
    expect_that!(matches!(too_late, Admission::Refused(refusal) if refusal.reason == Reason::Deadline), eq(true));
    expect_that!(gate.offer(offer(202, Class::Lookup, later), now), eq(Admission::Queued));
}

/// Issue 4: after a change of the unit of shares, retry budgets earned only a hundredth of their ratio.
#[gtest]
fn ten_successes_earn_one_retry() {
    let service = "archive".parse().expect("the name is valid");
    let now = TimeUs::from_s(1);
    let mut budgets = RetryBudgets::default();
    while budgets.spend_one(&service, now) {}
    for _ in 0..10 {
        budgets.record_success(&service, now);
    }
    expect_that!(budgets.spend_one(&service, now), eq(true));
}
