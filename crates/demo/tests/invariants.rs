//! The check of each invariant detects a run that violates it.

use fulmartrestle_demo::measurement::{
    Arrival, LatencyOverhead, RunRecord, ScenarioEvents, SendOutcome, SendRow, TargetRecords, request_id, summarize,
};
use fulmartrestle_demo::{DemoArgs, Deployment, Invariant};
use googletest::prelude::*;

/// Records of one run.
struct Records {
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

/// Returns records without a violation.
fn conforming_records() -> Records {
    let outcome = SendOutcome::Whole { in_target_us: 500 };
    let send = SendRow { request_number: 7, send_index: 0, arrival: arrival(0), sent_us: 0, ended_us: 1_000, outcome };
    let mut targets = TargetRecords::default();
    targets.first_start_us.insert(request_id(7, 0), 100);
    targets.extra_attempts.insert(request_id(7, 0), 1);
    let events = ScenarioEvents { key_withdrawn_us: Some(WITHDRAWN_US), interrupted_by_stop: 0 };
    Records { sends: vec![send], targets, events, config_in_force_ms: 100 }
}

/// Adds one more simultaneous start than the tenant's burst allows.
fn exceed_burst(records: &mut Records) {
    let burst = deployment().tenants[deployment().withdrawn_tenant].burst;
    for request_number in 100..=100 + burst {
        let outcome = SendOutcome::Whole { in_target_us: 500 };
        let send = SendRow { request_number, send_index: 0, arrival: arrival(0), sent_us: 0, ended_us: 1_000, outcome };
        records.targets.first_start_us.insert(request_id(request_number, 0), 100);
        records.sends.push(send);
    }
}

fn violated_invariants(records: &Records) -> Vec<Invariant> {
    let args = DemoArgs::default();
    let deployment = deployment();
    let run = RunRecord {
        args: &args,
        deployment: &deployment,
        phases: &[],
        sends: &records.sends,
        targets: &records.targets,
        events: &records.events,
        config_in_force_ms: records.config_in_force_ms,
        latency_overhead: &LatencyOverhead::default(),
    };
    let report = summarize(&run);
    assert_that!(report.exit_code(), eq(u8::from(!report.violations.is_empty())));
    report.violations.iter().map(|violation| violation.invariant).collect()
}

struct Case {
    invariant: Invariant,
    violate: fn(&mut Records),
}

#[test]
fn each_check_detects_only_violations_of_its_own_invariant() {
    let refused = || SendOutcome::NotRun { reason: "shed".to_owned() };
    assert_that!(violated_invariants(&conforming_records()), is_empty());
    let clear_starts = |records: &mut Records| records.targets.first_start_us.clear();
    let mut truly_refused = conforming_records();
    truly_refused.sends[0].outcome = refused();
    clear_starts(&mut truly_refused);
    assert_that!(violated_invariants(&truly_refused), is_empty());
    let cases = [
        Case {
            invariant: Invariant::OwnAnswer,
            violate: |records| records.sends[0].outcome = SendOutcome::WrongAnswer,
        },
        Case {
            invariant: Invariant::NotRunIsTrue,
            violate: |records| records.sends[0].outcome = SendOutcome::NotRun { reason: "shed".to_owned() },
        },
        Case { invariant: Invariant::AtMostOnce, violate: |records| records.targets.ran_twice = 1 },
        Case { invariant: Invariant::NoKeyAtTargets, violate: |records| records.targets.keys_seen = 1 },
        Case {
            invariant: Invariant::WithdrawnKeyStops,
            violate: |records| {
                records.targets.first_start_us.insert(request_id(7, 0), WITHDRAWN_US + 5_001_000);
            },
        },
        Case { invariant: Invariant::RateAndBurst, violate: exceed_burst },
        Case {
            invariant: Invariant::BoundedRetries,
            violate: |records| {
                records.targets.extra_attempts.insert(request_id(7, 0), 4);
            },
        },
        Case {
            invariant: Invariant::LeavingTargetIsLeftAlone,
            violate: |records| records.targets.last_arrival_after_leaving_ms = 2_501,
        },
        Case { invariant: Invariant::GracefulStop, violate: |records| records.events.interrupted_by_stop = 1 },
        Case { invariant: Invariant::ConfigurationInForce, violate: |records| records.config_in_force_ms = 5_001 },
    ];
    for case in cases {
        let mut records = conforming_records();
        (case.violate)(&mut records);
        assert_that!(violated_invariants(&records), elements_are![eq(&case.invariant)]);
    }
}
