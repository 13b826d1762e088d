//! Tests an admission gate with random sequences of operations against a small reference model.

use std::collections::BTreeMap;

use fulmartrestle_core::{CallId, Class, Outcome, TimeUs};
use fulmartrestle_policy::{
    Admission, AdmissionGate, AdmissionGateSettings, BasisPoints, Completion, OfferedCall, QueueEvent,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const DEFAULT_SEED: u64 = 1;
const LIMIT: u32 = 4;
const MAX_QUEUE: usize = 6;
const MAX_PROTECTED_QUEUE: usize = MAX_QUEUE * 2;

/// One operation. Time passes before each.
#[derive(Clone, Debug)]
enum Step {
    Offer { class: Class, tenant: u8, wait_ms: u64 },
    Complete { index: usize, completion: Completion },
    Cancel { index: usize },
    Drain,
    Tick,
}

/// The reference model contains only the time and the number of offered calls.
#[derive(Clone, Debug)]
struct Reference {
    now: TimeUs,
    calls: u64,
}

struct ReferenceMachine;

impl ReferenceStateMachine for ReferenceMachine {
    type State = Reference;
    type Transition = (u64, Step);

    fn init_state() -> BoxedStrategy<Self::State> {
        Just(Reference { now: TimeUs::from_ms(1), calls: 0 }).boxed()
    }

    fn transitions(_state: &Self::State) -> BoxedStrategy<Self::Transition> {
        let class = prop::sample::select(Class::ALL.to_vec());
        let completion = prop::sample::select(vec![
            Completion::Answered,
            Completion::Failed,
            Completion::TimedOut,
            Completion::TargetRefused,
            Completion::Cancelled,
        ]);
        let step = prop_oneof![
            12 => (class, 0..4_u8, 1..400_u64)
                .prop_map(|(class, tenant, wait_ms)| Step::Offer { class, tenant, wait_ms }),
            8 => (any::<usize>(), completion).prop_map(|(index, completion)| Step::Complete { index, completion }),
            3 => any::<usize>().prop_map(|index| Step::Cancel { index }),
            3 => Just(Step::Tick),
            1 => Just(Step::Drain),
        ];
        (0..30_000_u64, step).boxed()
    }

    fn apply(mut state: Self::State, (after_us, step): &Self::Transition) -> Self::State {
        state.now = state.now.plus_us(*after_us);
        state.calls += u64::from(matches!(step, Step::Offer { .. }));
        state
    }
}

/// A gate with the calls that its user expects to be running and queued.
struct GateWithModel {
    gate: AdmissionGate,
    running: BTreeMap<CallId, Class>,
    queued: BTreeMap<CallId, Class>,
    draining: bool,
}

impl GateWithModel {
    fn offer(&mut self, call: CallId, class: Class, tenant: u8, deadline: TimeUs, now: TimeUs) {
        let tenant = format!("team-{tenant}").parse().expect("the name is valid");
        let offer = OfferedCall { call, tenant, weight: 1, class, deadline, ingress_share: BasisPoints::FULL };
        let admission = self.gate.offer(offer, now);
        match admission {
            Admission::Run => {
                assert!(self.queued.is_empty(), "{call} started before queued calls");
                self.running.insert(call, class);
            }
            Admission::Queued => {
                self.queued.insert(call, class);
            }
            Admission::Refused(refusal) => assert_eq!(refusal.outcome, Outcome::NotRun),
        }
        assert!(!self.draining || matches!(admission, Admission::Refused(_)), "{call} admitted while draining");
        let shed = matches!(admission, Admission::Refused(refusal) if refusal.retry_after_ms.is_some());
        self.take_events(now);
        if shed && class == Class::Protected {
            assert!(self.queued.values().all(|class| *class == Class::Protected), "{call} shed out of order");
        }
    }

    fn take_events(&mut self, now: TimeUs) {
        for event in self.gate.take_events(now) {
            let (QueueEvent::Start(call) | QueueEvent::Drop(call, _)) = event;
            let class = self.queued.remove(&call).expect("events refer to queued calls only");
            if let QueueEvent::Start(_) = event {
                let protected_is_queued = self.queued.values().any(|class| *class == Class::Protected);
                assert!(class == Class::Protected || !protected_is_queued, "{call} started before a protected call");
                self.running.insert(call, class);
            }
        }
    }

    fn pick_call(calls: &BTreeMap<CallId, Class>, index: usize) -> Option<CallId> {
        calls.keys().nth(index % calls.len().max(1)).copied()
    }
}

struct GateTest;

impl StateMachineTest for GateTest {
    type SystemUnderTest = GateWithModel;
    type Reference = ReferenceMachine;

    fn init_test(_state: &Reference) -> GateWithModel {
        let settings = AdmissionGateSettings::default()
            .initial_limit(LIMIT)
            .max_limit(LIMIT)
            .min_queue(MAX_QUEUE)
            .max_queue(MAX_QUEUE)
            .protected_queue_factor(2);
        GateWithModel {
            gate: AdmissionGate::new(settings),
            running: BTreeMap::new(),
            queued: BTreeMap::new(),
            draining: false,
        }
    }

    fn apply(mut test: GateWithModel, state: &Reference, (_, step): (u64, Step)) -> GateWithModel {
        let now = state.now;
        match step {
            Step::Offer { class, tenant, wait_ms } => {
                test.offer(CallId(state.calls), class, tenant, now.plus_ms(wait_ms), now);
            }
            Step::Complete { index, completion } => {
                if let Some(call) = GateWithModel::pick_call(&test.running, index) {
                    test.running.remove(&call);
                    test.gate.complete(call, completion, now);
                }
            }
            Step::Cancel { index } => {
                let call = GateWithModel::pick_call(&test.queued, index)
                    .or_else(|| GateWithModel::pick_call(&test.running, index));
                if let Some(call) = call {
                    test.queued.remove(&call);
                    test.running.remove(&call);
                    test.gate.cancel(call, now);
                }
            }
            Step::Drain => {
                test.draining = true;
                test.gate.begin_drain(now);
            }
            Step::Tick => {}
        }
        test.take_events(now);
        test
    }

    fn check_invariants(test: &GateWithModel, _state: &Reference) {
        assert_eq!(test.gate.in_flight(), test.running.len());
        assert_eq!(test.gate.queued(), test.queued.len());
        assert!(test.running.len() <= LIMIT as usize);
        assert!(test.queued.len() <= MAX_PROTECTED_QUEUE);
        assert_eq!(test.gate.is_drained(), test.draining && test.running.is_empty());
        assert!(!test.draining || test.queued.is_empty());
    }
}

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: setting("FULMARTRESTLE_STEPS", 64) as u32,
        rng_seed: RngSeed::Fixed(setting("FULMARTRESTLE_SEED", DEFAULT_SEED)),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn every_call_gets_one_result_and_classes_keep_their_order(sequential 1..200 => GateTest);
}
