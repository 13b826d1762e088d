//! Tests the adaptive concurrency limit of a gate under a load that always exceeds it.

use std::collections::BTreeMap;

use fulmartrestle_core::{CallId, Class, TimeUs};
use fulmartrestle_policy::{
    AdmissionGate, AdmissionGateSettings, BasisPoints, Completion, OfferedCall, QueueEvent, TargetHints,
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of calls that are always queued at the gate.
const BACKLOG: usize = 8;

/// Returns the mean latency in microseconds and the result of a call, given the number of running calls and
/// the time.
type TargetModel = fn(usize, TimeUs) -> (u64, Completion);

/// A gate that is always offered more calls than it may run.
struct SaturatedGate {
    gate: AdmissionGate,
    rng: ChaCha8Rng,
    completions: BTreeMap<(TimeUs, CallId), Completion>,
    next_call: u64,
}

impl SaturatedGate {
    fn new(slots: Option<u32>) -> Self {
        let mut gate = AdmissionGate::new(AdmissionGateSettings::default().max_limit(200));
        gate.set_hints(TargetHints { slots, ..TargetHints::default() }, TimeUs::default());
        Self { gate, rng: ChaCha8Rng::seed_from_u64(1), completions: BTreeMap::new(), next_call: 0 }
    }

    fn run(&mut self, from: TimeUs, to: TimeUs, target: TargetModel) -> usize {
        let mut now = from;
        while now < to {
            self.fill_queue(now, target);
            let Some(((ends_at, call), completion)) = self.completions.pop_first() else { break };
            now = ends_at;
            self.gate.complete(call, completion, now);
            self.start_queued(now, target);
        }
        self.gate.limit()
    }

    fn fill_queue(&mut self, now: TimeUs, target: TargetModel) {
        while self.gate.queued() < BACKLOG {
            self.next_call += 1;
            let call = CallId(self.next_call);
            let offer = OfferedCall {
                call,
                tenant: "team".parse().expect("the name is valid"),
                weight: 1,
                class: Class::Lookup,
                deadline: now.plus_ms(100_000),
                ingress_share: BasisPoints::FULL,
            };
            if self.gate.offer(offer, now) == fulmartrestle_policy::Admission::Run {
                self.start_call(call, now, target);
            }
        }
    }

    fn start_queued(&mut self, now: TimeUs, target: TargetModel) {
        for event in self.gate.take_events(now) {
            if let QueueEvent::Start(call) = event {
                self.start_call(call, now, target);
            }
        }
    }

    fn start_call(&mut self, call: CallId, now: TimeUs, target: TargetModel) {
        let (mean_us, completion) = target(self.gate.in_flight(), now);
        let work_us = mean_us / 2 + self.rng.random_range(0..=mean_us);
        self.completions.insert((now.plus_us(work_us), call), completion);
    }
}

#[gtest]
fn the_limit_follows_the_capacity_of_the_target() {
    struct Case {
        name: &'static str,
        slots: Option<u32>,
        target: TargetModel,
        limit: std::ops::RangeInclusive<usize>,
    }
    let cases = [
        Case {
            name: "more calls don't slow the target",
            slots: None,
            target: |_, _| (10_000, Completion::Answered),
            limit: 150..=200,
        },
        Case {
            name: "more than 40 calls wait inside the target",
            slots: None,
            target: |in_flight, _| (10_000 * in_flight.max(40) as u64 / 40, Completion::Answered),
            limit: 30..=75,
        },
        Case {
            name: "the target refuses more than 30 calls",
            slots: Some(100),
            target: |in_flight, _| {
                if in_flight > 30 { (1_000, Completion::TargetRefused) } else { (10_000, Completion::Answered) }
            },
            limit: 15..=40,
        },
        Case {
            name: "more than 30 calls time out",
            slots: Some(100),
            target: |in_flight, _| {
                if in_flight > 30 { (50_000, Completion::TimedOut) } else { (10_000, Completion::Answered) }
            },
            limit: 15..=45,
        },
        Case {
            name: "long calls in many slots",
            slots: Some(150),
            target: |_, _| (300_000, Completion::Answered),
            limit: 140..=150,
        },
        Case {
            name: "ten times slower for another reason",
            slots: Some(100),
            target: |_, now| (if now < TimeUs::from_s(3) { 10_000 } else { 100_000 }, Completion::Answered),
            limit: 70..=200,
        },
    ];
    for case in cases {
        let mut saturated = SaturatedGate::new(case.slots);
        let limit = saturated.run(TimeUs::from_ms(1), TimeUs::from_s(8), case.target);
        expect_that!(case.limit.contains(&limit), eq(true), "{}: {limit}", case.name);
    }
}

#[gtest]
fn waiting_for_child_calls_does_not_lower_the_limit() {
    let mut gate = AdmissionGate::new(AdmissionGateSettings::default());
    let now = TimeUs::from_ms(1);
    let offer = |call| OfferedCall {
        call: CallId(call),
        tenant: "team".parse().expect("the name is valid"),
        weight: 1,
        class: Class::Lookup,
        deadline: TimeUs::from_s(1_000),
        ingress_share: BasisPoints::FULL,
    };
    let mut limits = Vec::new();
    for round in 0..400_u64 {
        let start = now.plus_ms(round * 100);
        let calls: Vec<u64> = (0..20).map(|index| round * 20 + index).collect();
        let wait_ms = if round < 100 { 1 } else { 80 };
        for call in &calls {
            gate.offer(offer(*call), start);
            gate.record_child_start(CallId(*call), start.plus_ms(1));
            gate.record_child_end(CallId(*call), start.plus_ms(1 + wait_ms));
            gate.complete(CallId(*call), Completion::Answered, start.plus_ms(2 + wait_ms));
        }
        limits.push(gate.limit());
    }
    expect_that!(limits.iter().min(), some(ge(&20)));
}
