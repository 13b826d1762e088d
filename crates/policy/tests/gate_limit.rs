//! The adaptive limit of a gate, under a load that always uses it up.

use std::collections::BTreeMap;

use fulmartrestle_core::{CallId, Class, TimeUs};
use fulmartrestle_policy::{
    AdmissionGate, AdmissionGateSettings, BasisPoints, Completion, OfferedCall, QueueEvent, TargetHints,
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Calls that wait at the gate all the time.
const BACKLOG: usize = 8;

/// What a target does with a call, for a number of calls that run and the time.
type Target = fn(usize, TimeUs) -> (u64, Completion);

/// A gate whose target is always asked for more than it may run.
struct Load {
    gate: AdmissionGate,
    rng: ChaCha8Rng,
    ends: BTreeMap<(TimeUs, CallId), Completion>,
    next_call: u64,
}

impl Load {
    fn new(slots: Option<u32>) -> Self {
        let mut gate = AdmissionGate::new(AdmissionGateSettings::default().max_limit(200));
        gate.set_hints(TargetHints { slots, ..TargetHints::default() }, TimeUs::default());
        Self { gate, rng: ChaCha8Rng::seed_from_u64(1), ends: BTreeMap::new(), next_call: 0 }
    }

    fn run(&mut self, from: TimeUs, to: TimeUs, target: Target) -> usize {
        let mut now = from;
        while now < to {
            self.offer(now, target);
            let Some(((ends, call), completion)) = self.ends.pop_first() else { break };
            now = ends;
            self.gate.complete(call, completion, now);
            self.start(now, target);
        }
        self.gate.limit()
    }

    fn offer(&mut self, now: TimeUs, target: Target) {
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
                self.hand_over(call, now, target);
            }
        }
    }

    fn start(&mut self, now: TimeUs, target: Target) {
        for event in self.gate.take_events(now) {
            if let QueueEvent::Start(call) = event {
                self.hand_over(call, now, target);
            }
        }
    }

    fn hand_over(&mut self, call: CallId, now: TimeUs, target: Target) {
        let (mean_us, completion) = target(self.gate.in_flight(), now);
        let work_us = mean_us / 2 + self.rng.random_range(0..=mean_us);
        self.ends.insert((now.plus_us(work_us), call), completion);
    }
}

#[gtest]
fn the_limit_follows_what_the_target_can_do() {
    struct Case {
        name: &'static str,
        slots: Option<u32>,
        target: Target,
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
        let mut load = Load::new(case.slots);
        let limit = load.run(TimeUs::from_ms(1), TimeUs::from_s(8), case.target);
        expect_that!(case.limit.contains(&limit), eq(true), "{}: {limit}", case.name);
    }
}

#[gtest]
fn waiting_for_other_services_is_not_held_against_the_target() {
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
        let calls: Vec<u64> = (0..20).map(|place| round * 20 + place).collect();
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
