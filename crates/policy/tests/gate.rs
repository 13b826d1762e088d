//! Tests the admission gate of one target.

use fulmartrestle_core::{CallId, Class, Outcome, Reason, TimeUs};
use fulmartrestle_policy::{
    Admission, AdmissionGate, AdmissionGateSettings, AdmissionLevel, BasisPoints, Completion, OfferedCall, QueueEvent,
    TargetHints,
};
use googletest::prelude::*;

fn offer(call: u64, tenant: &str, class: Class) -> OfferedCall {
    OfferedCall {
        call: CallId(call),
        tenant: tenant.parse().expect("the name is valid"),
        weight: 1,
        class,
        deadline: TimeUs::from_s(10),
        ingress_share: BasisPoints::FULL,
    }
}

fn gate(limit: u32, queue: usize) -> AdmissionGate {
    let settings = AdmissionGateSettings::default()
        .initial_limit(limit)
        .min_limit(1)
        .min_queue(queue)
        .max_queue(queue)
        .protected_queue_factor(1);
    AdmissionGate::new(settings)
}

fn dropped(events: &[QueueEvent]) -> Vec<u64> {
    let dropped_call = |event: &QueueEvent| match event {
        QueueEvent::Drop(call, refusal) if refusal.outcome == Outcome::NotRun => Some(call.0),
        _ => None,
    };
    events.iter().filter_map(dropped_call).collect()
}

fn started(events: &[QueueEvent]) -> Vec<u64> {
    let started_call = |event: &QueueEvent| match event {
        QueueEvent::Start(call) => Some(call.0),
        QueueEvent::Drop(..) => None,
    };
    events.iter().filter_map(started_call).collect()
}

/// Offers one call more to a gate with one slot and a full queue of two, and checks which call is shed.
#[gtest]
fn a_full_queue_sheds_the_least_important_call() {
    struct Case {
        name: &'static str,
        queued: [(&'static str, Class); 2],
        offered: (&'static str, Class),
        dropped: Vec<u64>,
        refused: bool,
    }
    use Class::{Browse, Lookup, Protected};
    let cases = [
        Case {
            name: "protected evicts browsing",
            queued: [("a", Browse), ("a", Lookup)],
            offered: ("a", Protected),
            dropped: vec![1],
            refused: false,
        },
        Case {
            name: "protected evicts lookup",
            queued: [("a", Lookup), ("a", Protected)],
            offered: ("b", Protected),
            dropped: vec![1],
            refused: false,
        },
        Case {
            name: "lookup evicts the tenant's own browsing",
            queued: [("a", Browse), ("b", Browse)],
            offered: ("a", Lookup),
            dropped: vec![1],
            refused: false,
        },
        Case {
            name: "lookup evicts no other tenant's fair share",
            queued: [("a", Lookup), ("b", Browse)],
            offered: ("a", Lookup),
            dropped: vec![],
            refused: true,
        },
        Case {
            name: "browsing evicts no higher class",
            queued: [("a", Lookup), ("b", Protected)],
            offered: ("c", Browse),
            dropped: vec![],
            refused: true,
        },
        Case {
            name: "small tenant evicts large one",
            queued: [("a", Browse), ("a", Browse)],
            offered: ("b", Browse),
            dropped: vec![2],
            refused: false,
        },
        Case {
            name: "large tenant evicts no call",
            queued: [("a", Browse), ("a", Browse)],
            offered: ("a", Browse),
            dropped: vec![],
            refused: true,
        },
    ];
    for case in cases {
        let mut gate = gate(1, 2);
        let now = TimeUs::from_ms(1);
        assert_that!(gate.offer(offer(0, "x", Browse), now), eq(Admission::Run));
        for (call, (tenant, class)) in (1..).zip(case.queued) {
            expect_that!(gate.offer(offer(call, tenant, class), now), eq(Admission::Queued), "{}", case.name);
        }
        let admission = gate.offer(offer(3, case.offered.0, case.offered.1), now);
        expect_that!(matches!(admission, Admission::Refused(_)), eq(case.refused), "{}", case.name);
        expect_that!(dropped(&gate.take_events(now)), eq(&case.dropped), "{}", case.name);
    }
}

#[gtest]
fn queued_calls_start_by_class_and_then_fairly() {
    let mut gate = gate(1, 8);
    let now = TimeUs::from_ms(1);
    gate.offer(offer(0, "x", Class::Browse), now);
    let queued = [
        ("a", Class::Browse),
        ("a", Class::Lookup),
        ("a", Class::Lookup),
        ("b", Class::Lookup),
        ("b", Class::Protected),
    ];
    for (call, (tenant, class)) in (1..).zip(queued) {
        gate.offer(offer(call, tenant, class), now);
    }
    let mut order = Vec::new();
    let mut running = 0;
    for step in 1..=5 {
        gate.complete(CallId(running), Completion::Answered, now.plus_ms(step));
        let events = started(&gate.take_events(now.plus_ms(step)));
        running = events[0];
        order.extend(events);
    }
    expect_that!(order, eq(&vec![5, 2, 4, 3, 1]));
}

#[gtest]
fn a_cancelled_call_frees_its_slot_or_queue_position() {
    let mut gate = gate(1, 2);
    let now = TimeUs::from_ms(1);
    gate.offer(offer(0, "a", Class::Browse), now);
    gate.offer(offer(1, "a", Class::Browse), now);
    gate.offer(offer(2, "a", Class::Browse), now);
    gate.cancel(CallId(1), now);
    expect_that!(gate.queued(), eq(1));
    gate.cancel(CallId(0), now);
    expect_that!(started(&gate.take_events(now)), eq(&vec![2]));
    expect_that!(gate.in_flight(), eq(1));
}

#[gtest]
fn a_drain_refuses_new_and_queued_calls_and_waits_for_running_ones() {
    let mut gate = gate(1, 2);
    let now = TimeUs::from_ms(1);
    gate.offer(offer(0, "a", Class::Protected), now);
    gate.offer(offer(1, "a", Class::Protected), now);
    gate.begin_drain(now);
    expect_that!(dropped(&gate.take_events(now)), eq(&vec![1]));
    let refused = gate.offer(offer(2, "a", Class::Protected), now);
    expect_that!(matches!(refused, Admission::Refused(refusal) if refusal.reason == Reason::Draining), eq(true));
    expect_that!(gate.is_drained(), eq(false));
    gate.complete(CallId(0), Completion::Answered, now.plus_ms(5));
    expect_that!(gate.is_drained(), eq(true));
}

#[gtest]
fn hints_only_lower_the_limit() {
    struct Case {
        name: &'static str,
        hints: TargetHints,
        limit: usize,
    }
    let cases = [
        Case { name: "no hints", hints: TargetHints::default(), limit: 20 },
        Case { name: "few slots", hints: TargetHints { slots: Some(8), ..TargetHints::default() }, limit: 8 },
        Case {
            name: "few connections",
            hints: TargetHints { slots: Some(35), connections: Some(6), ..TargetHints::default() },
            limit: 6,
        },
        Case { name: "zero slots", hints: TargetHints { slots: Some(0), ..TargetHints::default() }, limit: 20 },
        Case { name: "one slot", hints: TargetHints { slots: Some(1), ..TargetHints::default() }, limit: 2 },
        Case {
            name: "more than the maximum limit",
            hints: TargetHints { slots: Some(9_999), ..TargetHints::default() },
            limit: 300,
        },
    ];
    for case in cases {
        let mut gate = AdmissionGate::new(AdmissionGateSettings::default().max_limit(300));
        gate.set_hints(case.hints, TimeUs::from_ms(1));
        expect_that!(gate.limit(), eq(case.limit), "{}", case.name);
    }
}

#[gtest]
fn a_queued_call_is_dropped_at_its_deadline() {
    let mut gate = gate(1, 4);
    gate.offer(offer(0, "a", Class::Lookup), TimeUs::from_ms(1));
    let mut short_deadline = offer(1, "a", Class::Lookup);
    short_deadline.deadline = TimeUs::from_ms(50);
    expect_that!(gate.offer(short_deadline, TimeUs::from_ms(1)), eq(Admission::Queued));
    expect_that!(gate.take_events(TimeUs::from_ms(40)), is_empty());
    expect_that!(dropped(&gate.take_events(TimeUs::from_ms(60))), eq(&vec![1]));
    expect_that!(gate.queued(), eq(0));
}

/// Offers a surge of calls to a gate and returns the admissions, the queue events and the final admission
/// level.
fn surge(start: TimeUs) -> (Vec<Admission>, Vec<QueueEvent>, AdmissionLevel) {
    let mut gate = gate(4, 8);
    let (mut admissions, mut events) = (Vec::new(), Vec::new());
    for call in 0..2_000 {
        let now = start.plus_us(call * 1_000);
        let class = Class::ALL[call as usize % Class::ALL.len()];
        let tenant = if call % 4 == 0 { "small" } else { "large" };
        let offer = OfferedCall { deadline: now.plus_ms(200), ..offer(call, tenant, class) };
        admissions.push(gate.offer(offer, now));
        if call >= 10 && call % 2 == 0 {
            gate.complete(CallId(call - 10), Completion::Answered, now);
        }
        events.extend(gate.take_events(now));
    }
    (admissions, events, gate.admission_level(start.plus_ms(2_000)))
}

/// A daily peak that occurs an hour later must not need other settings.
#[gtest]
fn a_surge_is_handled_the_same_at_any_time_of_day() {
    let first = surge(TimeUs::from_s(1));
    let an_hour_later = surge(TimeUs::from_s(3_601));
    expect_that!(first.2.is_shedding(), eq(true));
    expect_that!(first == an_hour_later, eq(true));
}
