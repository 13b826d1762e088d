//! Each invariant's check catches a record in which it is broken.

use fulmartrestle_demo::measurement::{
    Arrival, LatencyOverhead, RunRecord, ScenarioEvents, SendOutcome, SendRow, TargetRecords, request_id, summarize,
};
use fulmartrestle_demo::{DemoArgs, Deployment, Invariant};
use googletest::prelude::*;

/// What one run left behind, whole and without a violation.
struct Tables {
    sends: Vec<SendRow>,
    targets: TargetRecords,
    events: ScenarioEvents,
    config_in_force_ms: u64,
}

const WITHDRAWN_US: u64 = 1_000_000;

fn deployment() -> Deployment {
    Deployment::named(DemoArgs::default().deployment)
}

fn arrival(arrival_us: u64) -> Arrival {
    Arrival { arrival_us, tenant: deployment().withdrawn_tenant, route: 0, zone: 0 }
}

fn sound() -> Tables {
    let outcome = SendOutcome::Whole { in_target_us: 500 };
    let send = SendRow { number: 7, send: 0, arrival: arrival(0), sent_us: 0, ended_us: 1_000, outcome };
    let mut targets = TargetRecords::default();
    targets.first_start_us.insert(request_id(7, 0), 100);
    targets.extra_attempts.insert(request_id(7, 0), 1);
    let events = ScenarioEvents { key_withdrawn_us: Some(WITHDRAWN_US), interrupted_by_stop: 0 };
    Tables { sends: vec![send], targets, events, config_in_force_ms: 100 }
}

/// Adds more starts at once than the tenant's burst allows.
fn exceed_burst(tables: &mut Tables) {
    let burst = deployment().tenants[deployment().withdrawn_tenant].burst;
    for number in 100..=100 + burst {
        let outcome = SendOutcome::Whole { in_target_us: 500 };
        let send = SendRow { number, send: 0, arrival: arrival(0), sent_us: 0, ended_us: 1_000, outcome };
        tables.targets.first_start_us.insert(request_id(number, 0), 100);
        tables.sends.push(send);
    }
}

fn violated(tables: &Tables) -> Vec<Invariant> {
    let args = DemoArgs::default();
    let deployment = deployment();
    let run = RunRecord {
        args: &args,
        deployment: &deployment,
        phases: &[],
        sends: &tables.sends,
        targets: &tables.targets,
        events: &tables.events,
        config_in_force_ms: tables.config_in_force_ms,
        latency_overhead: &LatencyOverhead::default(),
    };
    let report = summarize(&run);
    assert_that!(report.exit_code(), eq(u8::from(!report.violations.is_empty())));
    report.violations.iter().map(|violation| violation.invariant).collect()
}

struct Case {
    invariant: Invariant,
    break_it: fn(&mut Tables),
}

#[test]
fn each_check_catches_its_broken_invariant_and_no_other() {
    let refused = || SendOutcome::NotRun { reason: "shed".to_owned() };
    assert_that!(violated(&sound()), is_empty());
    let not_started = |tables: &mut Tables| tables.targets.first_start_us.clear();
    let mut honest = sound();
    honest.sends[0].outcome = refused();
    not_started(&mut honest);
    assert_that!(violated(&honest), is_empty());
    let cases = [
        Case { invariant: Invariant::OwnAnswer, break_it: |tables| tables.sends[0].outcome = SendOutcome::WrongAnswer },
        Case {
            invariant: Invariant::NotRunIsTrue,
            break_it: |tables| tables.sends[0].outcome = SendOutcome::NotRun { reason: "shed".to_owned() },
        },
        Case { invariant: Invariant::AtMostOnce, break_it: |tables| tables.targets.ran_twice = 1 },
        Case { invariant: Invariant::NoKeyAtTargets, break_it: |tables| tables.targets.keys_seen = 1 },
        Case {
            invariant: Invariant::WithdrawnKeyStops,
            break_it: |tables| {
                tables.targets.first_start_us.insert(request_id(7, 0), WITHDRAWN_US + 5_001_000);
            },
        },
        Case { invariant: Invariant::RateAndBurst, break_it: exceed_burst },
        Case {
            invariant: Invariant::BoundedRetries,
            break_it: |tables| {
                tables.targets.extra_attempts.insert(request_id(7, 0), 4);
            },
        },
        Case {
            invariant: Invariant::LeavingTargetIsLeftAlone,
            break_it: |tables| tables.targets.last_arrival_after_leaving_ms = 2_501,
        },
        Case { invariant: Invariant::GracefulStop, break_it: |tables| tables.events.interrupted_by_stop = 1 },
        Case { invariant: Invariant::ConfigurationInForce, break_it: |tables| tables.config_in_force_ms = 5_001 },
    ];
    for case in cases {
        let mut tables = sound();
        (case.break_it)(&mut tables);
        assert_that!(violated(&tables), elements_are![eq(&case.invariant)]);
    }
}
