//! Random sequences of calls at one gate against a small reference.

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
const QUEUE: usize = 6;
const PROTECTED_QUEUE: usize = QUEUE * 2;

/// One step: time passes, then something happens.
#[derive(Clone, Debug)]
enum Step {
    OfferedCall { class: Class, tenant: u8, wait_ms: u64 },
    Complete { pick: usize, completion: Completion },
    Cancel { pick: usize },
    Drain,
    Tick,
}

/// The reference knows only the time and the number of calls.
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
            12 => (class, 0..4_u8, 1..400_u64).prop_map(|(class, tenant, wait_ms)| Step::OfferedCall { class, tenant, wait_ms }),
            8 => (any::<usize>(), completion).prop_map(|(pick, completion)| Step::Complete { pick, completion }),
            3 => any::<usize>().prop_map(|pick| Step::Cancel { pick }),
            3 => Just(Step::Tick),
            1 => Just(Step::Drain),
        ];
        (0..30_000_u64, step).boxed()
    }

    fn apply(mut state: Self::State, (after_us, step): &Self::Transition) -> Self::State {
        state.now = state.now.plus_us(*after_us);
        state.calls += u64::from(matches!(step, Step::OfferedCall { .. }));
        state
    }
}

/// The gate with what its user knows of each call.
struct Checked {
    gate: AdmissionGate,
    running: BTreeMap<CallId, Class>,
    queued: BTreeMap<CallId, Class>,
    draining: bool,
}

impl Checked {
    fn offer(&mut self, call: CallId, class: Class, tenant: u8, deadline: TimeUs, now: TimeUs) {
        let tenant = format!("team-{tenant}").parse().expect("the name is valid");
        let offer = OfferedCall { call, tenant, weight: 1, class, deadline, ingress_share: BasisPoints::FULL };
        let admission = self.gate.offer(offer, now);
        match admission {
            Admission::Run => {
                assert!(self.queued.is_empty(), "{call} overtook queued calls");
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
            let class = self.queued.remove(&call).expect("only queued calls have events");
            if let QueueEvent::Start(_) = event {
                let protected_waits = self.queued.values().any(|class| *class == Class::Protected);
                assert!(class == Class::Protected || !protected_waits, "{call} overtook a protected call");
                self.running.insert(call, class);
            }
        }
    }

    fn picked(calls: &BTreeMap<CallId, Class>, pick: usize) -> Option<CallId> {
        calls.keys().nth(pick % calls.len().max(1)).copied()
    }
}

struct GateTest;

impl StateMachineTest for GateTest {
    type SystemUnderTest = Checked;
    type Reference = ReferenceMachine;

    fn init_test(_state: &Reference) -> Checked {
        let settings = AdmissionGateSettings::default()
            .initial_limit(LIMIT)
            .max_limit(LIMIT)
            .min_queue(QUEUE)
            .max_queue(QUEUE)
            .protected_queue_factor(2);
        Checked {
            gate: AdmissionGate::new(settings),
            running: BTreeMap::new(),
            queued: BTreeMap::new(),
            draining: false,
        }
    }

    fn apply(mut test: Checked, state: &Reference, (_, step): (u64, Step)) -> Checked {
        let now = state.now;
        match step {
            Step::OfferedCall { class, tenant, wait_ms } => {
                test.offer(CallId(state.calls), class, tenant, now.plus_ms(wait_ms), now);
            }
            Step::Complete { pick, completion } => {
                if let Some(call) = Checked::picked(&test.running, pick) {
                    test.running.remove(&call);
                    test.gate.complete(call, completion, now);
                }
            }
            Step::Cancel { pick } => {
                let call = Checked::picked(&test.queued, pick).or_else(|| Checked::picked(&test.running, pick));
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

    fn check_invariants(test: &Checked, _state: &Reference) {
        assert_eq!(test.gate.in_flight(), test.running.len());
        assert_eq!(test.gate.queued(), test.queued.len());
        assert!(test.running.len() <= LIMIT as usize);
        assert!(test.queued.len() <= PROTECTED_QUEUE);
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
    fn every_call_has_one_fate_and_the_classes_keep_their_order(sequential 1..200 => GateTest);
}
