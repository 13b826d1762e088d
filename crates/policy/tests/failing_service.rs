//! Replays failures of a deep service whose targets refuse their calls, and tests which requests are admitted.

use std::collections::HashMap;

use fulmartrestle_core::{RouteId, Service, TimeUs, VmId};
use fulmartrestle_policy::{ArrivalMeter, CapacityAdmission, DemandMeter, Origin, Rank, TargetAttempts};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP_MS: u64 = 20;
const SLOTS: u32 = 8;
/// Calls that a target can run in each step: each holds one of its slots for 50 ms.
const CALLS_PER_STEP: f64 = SLOTS as f64 * STEP_MS as f64 / 50.0;
const HOLD_US: u64 = 50_000;
const FAILURE_START_MS: u64 = 15_000;
const END_MS: u64 = 35_000;
/// Nodes that one call is sent to, and attempts that may reach a target, as in the mesh.
const MAX_NODES: usize = 4;
const MAX_REACHED: u32 = 2;

fn route(name: &str) -> RouteId {
    name.parse().expect("a valid name")
}

fn service(name: &str) -> Service {
    name.parse().expect("a valid name")
}

struct Flow {
    name: &'static str,
    rank: u32,
    per_s: f64,
    /// Calls to the deep service, in groups that follow each other. A request ends at its first failed group.
    groups: &'static [u32],
}

/// Offered: 200 * 8 + 150 * 2 + 1,300 = 3,200 calls per second, which use 160 slots; 17 targets have 136.
const FLOWS: [Flow; 3] = [
    Flow { name: "pledge", rank: 514, per_s: 200.0, groups: &[4, 4] },
    Flow { name: "browse", rank: 516, per_s: 150.0, groups: &[2] },
    Flow { name: "lookup", rank: 518, per_s: 1_300.0, groups: &[1] },
];

#[derive(Clone, Copy)]
struct Failure {
    targets: usize,
    /// Number of targets that refuse, and the share of attempts that they refuse.
    failing: usize,
    refused_share: f64,
    /// Calls per step above which failing targets refuse all, if any.
    max_per_step: f64,
    duration_ms: u64,
    offered_factor: f64,
}

const ALL_REFUSE_HALF: Failure = Failure {
    targets: 17,
    failing: 17,
    refused_share: 0.55,
    max_per_step: f64::INFINITY,
    duration_ms: 8_500,
    offered_factor: 1.0,
};

/// The targets of the service, with their gates.
struct Targets {
    failure: Failure,
    meters: Vec<DemandMeter>,
    /// Calls that each target may still run; up to a queue of two steps.
    free: Vec<f64>,
    run_in_step: Vec<f64>,
    rng: ChaCha8Rng,
}

impl Targets {
    fn start_step(&mut self) {
        self.free.iter_mut().for_each(|free| *free = (*free + CALLS_PER_STEP).min(CALLS_PER_STEP * 2.0));
        self.run_in_step.fill(0.0);
    }

    /// Runs a call of `origin`, at another target if the first one refuses it. Returns whether one ran it.
    fn run(&mut self, origin: &Origin, fails: bool) -> bool {
        let first = self.rng.random_range(0..self.failure.targets);
        self.meters[first].record_arrival(&route("index"), origin);
        let mut reached = 0;
        for attempt in 0..MAX_NODES.min(self.failure.targets) {
            let target = (first + attempt * 7) % self.failure.targets;
            if self.free[target] < 1.0 {
                continue;
            }
            reached += 1;
            let refused = fails
                && target < self.failure.failing
                && (self.rng.random::<f64>() < self.failure.refused_share
                    || self.run_in_step[target] + 1.0 > self.failure.max_per_step);
            self.meters[target].record_attempt(refused);
            if !refused {
                self.free[target] -= 1.0;
                self.run_in_step[target] += 1.0;
                return true;
            }
            if reached == MAX_REACHED {
                break;
            }
        }
        false
    }

    fn running(&self, target: usize) -> u32 {
        let share = if self.free[target] < 1.0 { 1.0 } else { self.run_in_step[target] / CALLS_PER_STEP };
        (share.min(1.0) * f64::from(SLOTS)).round() as u32
    }
}

/// Slots of the middle service that all requests pass, and that one request holds for 50 ms for each group of calls.
const MIDDLE_SLOTS: u32 = 56;

#[derive(Debug, Default)]
struct Outcome {
    /// Requests that ended well while the service failed, by route.
    served: HashMap<&'static str, f64>,
    /// Time of middle slots, in milliseconds, that failed requests held while the service failed.
    wasted_ms: f64,
    /// Admitted share of pledges in each step.
    pledge_shares: Vec<f64>,
    /// Calls of requests that ended well, in each step.
    useful_calls: Vec<f64>,
}

impl Outcome {
    fn served(&self) -> f64 {
        self.served.values().sum()
    }

    /// Returns the mean useful calls of the steps in a range of milliseconds.
    fn mean_useful_calls(&self, from_ms: u64, to_ms: u64) -> f64 {
        let steps = &self.useful_calls[(from_ms / STEP_MS) as usize..(to_ms / STEP_MS) as usize];
        steps.iter().sum::<f64>() / steps.len() as f64
    }

    /// Returns the time from the end of the failure until a second with 95 % of the useful calls before it.
    fn recovery_ms(&self, failure: &Failure) -> Option<u64> {
        let normal = self.mean_useful_calls(FAILURE_START_MS - 5_000, FAILURE_START_MS);
        let end_ms = FAILURE_START_MS + failure.duration_ms;
        (end_ms..END_MS - 1_000)
            .step_by(100)
            .find(|from_ms| self.mean_useful_calls(*from_ms, from_ms + 1_000) >= normal * 0.95)
            .map(|from_ms| from_ms - end_ms)
    }
}

/// Runs the load. With `reports_refusals` false, admission behaves as it does without knowing the refusals.
fn replay(failure: &Failure, reports_refusals: bool, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut targets = Targets {
        failure: *failure,
        meters: (0..failure.targets).map(|_| DemandMeter::default()).collect(),
        free: vec![0.0; failure.targets],
        run_in_step: vec![0.0; failure.targets],
        rng: ChaCha8Rng::seed_from_u64(seed + 1),
    };
    targets.meters.iter_mut().for_each(|meter| meter.record_hold_time(&route("index"), HOLD_US));
    let mut middle = DemandMeter::default();
    FLOWS.iter().for_each(|flow| middle.record_hold_time(&route(flow.name), HOLD_US * flow.groups.len() as u64));
    let mut free_middle_ms = 0.0;
    let mut arrivals = ArrivalMeter::default();
    let mut admission = CapacityAdmission::default();
    admission.set_failing_service_admission(true);
    let mut outcome = Outcome::default();
    let mut last_refused_shares = vec![0.0; failure.targets];
    for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
        let now = TimeUs::from_ms(now_ms);
        let fails = (FAILURE_START_MS..FAILURE_START_MS + failure.duration_ms).contains(&now_ms);
        targets.start_step();
        let middle_step_ms = f64::from(MIDDLE_SLOTS) * STEP_MS as f64;
        free_middle_ms = (free_middle_ms + middle_step_ms).min(middle_step_ms * 2.0);
        let started_free_ms = free_middle_ms;
        let mut useful_calls = 0.0;
        for flow in &FLOWS {
            let origin = Origin { route: route(flow.name), rank: Rank(flow.rank) };
            let share = admission.admitted_share(&origin.route, origin.rank, now);
            if flow.name == "pledge" {
                outcome.pledge_shares.push(share);
            }
            let expected = flow.per_s * failure.offered_factor * STEP_MS as f64 / 1e3;
            for _ in 0..expected as u32 + u32::from(rng.random::<f64>() < expected.fract()) {
                let admitted = rng.random::<f64>() < share;
                arrivals.record_request(&origin.route, origin.rank, admitted);
                if !admitted {
                    continue;
                }
                middle.record_arrival(&origin.route, &origin);
                let (mut held_ms, mut succeeds) = (0.0, free_middle_ms >= HOLD_US as f64 / 1e3);
                for calls in flow.groups {
                    if succeeds {
                        held_ms += HOLD_US as f64 / 1e3;
                        succeeds = (0..*calls).fold(true, |all, _| targets.run(&origin, fails) && all);
                    }
                }
                free_middle_ms -= held_ms;
                middle.record_hold_time(&origin.route, (held_ms * 1e3) as u64);
                useful_calls += f64::from(u8::from(succeeds) * flow.groups.iter().sum::<u32>() as u8);
                if fails {
                    outcome.wasted_ms += if succeeds { 0.0 } else { held_ms };
                    *outcome.served.entry(flow.name).or_default() += f64::from(u8::from(succeeds));
                }
            }
        }
        outcome.useful_calls.push(useful_calls);
        for (target, last_refused_share) in last_refused_shares.iter_mut().enumerate() {
            let running = targets.running(target);
            let meter = &mut targets.meters[target];
            let closed = meter.close_elapsed_window(SLOTS, running, 0, now);
            let mut report = meter.report(&service("deep"), SLOTS);
            let refused_share = report.attempts.refused_share();
            let changed = closed && (refused_share - *last_refused_share).abs() >= 0.15;
            if changed || (now_ms / STEP_MS + target as u64).is_multiple_of(1_000 / STEP_MS) {
                *last_refused_share = refused_share;
                if !reports_refusals {
                    report.attempts = TargetAttempts::default();
                }
                admission.record_report(VmId(target as u64), Some(report), Vec::new(), now);
            }
        }
        let running = ((started_free_ms - free_middle_ms) / STEP_MS as f64).min(f64::from(MIDDLE_SLOTS));
        middle.close_elapsed_window(MIDDLE_SLOTS, running.round() as u32, 0, now);
        arrivals.close_elapsed_window(now);
        if now_ms.is_multiple_of(200) {
            let report = middle.report(&service("middle"), MIDDLE_SLOTS);
            admission.record_report(VmId(1_000), Some(report), arrivals.report(), now);
        }
    }
    outcome
}

struct Case {
    name: &'static str,
    failure: Failure,
    /// Bounds of the admitted share of pledges from one second after the start of the failure to its end.
    pledge_share: (f64, f64),
    /// Requests that end well, and wasted work for each of them, in relation to a run without the reports of refusals.
    min_served: f64,
    max_wasted: f64,
    max_recovery_ms: u64,
}

/// Guards against admitting requests whose calls would mostly be refused, as seen at the deepest service: 17 % of the
/// admitted ones were served. Also guards against shedding routes for refusals that repetitions hide.
#[gtest]
fn requests_that_would_mostly_fail_are_refused_at_ingress() {
    let untouched = |name, failure| Case {
        name,
        failure,
        pledge_share: (0.99, 1.0),
        min_served: 0.98,
        max_wasted: 1.02,
        max_recovery_ms: 1_000,
    };
    let cases = [
        Case {
            name: "all targets refuse half",
            failure: ALL_REFUSE_HALF,
            pledge_share: (0.02, 0.08),
            min_served: 1.25,
            max_wasted: 0.6,
            max_recovery_ms: 2_000,
        },
        // No call shows whether the targets work again, except those of the few probing requests.
        Case {
            name: "all targets refuse all",
            failure: Failure { refused_share: 1.0, ..ALL_REFUSE_HALF },
            pledge_share: (0.02, 0.08),
            min_served: 0.5,
            max_wasted: 0.6,
            max_recovery_ms: 3_000,
        },
        untouched("nothing refused", Failure { refused_share: 0.0, ..ALL_REFUSE_HALF }),
        untouched("a few refused", Failure { refused_share: 0.15, ..ALL_REFUSE_HALF }),
        untouched("one of 17 refuses all", Failure { failing: 1, refused_share: 1.0, ..ALL_REFUSE_HALF }),
        untouched(
            "one of 5 refuses all",
            Failure { targets: 5, failing: 1, refused_share: 1.0, offered_factor: 0.2, ..ALL_REFUSE_HALF },
        ),
    ];
    for case in cases {
        let baseline = replay(&case.failure, false, 1);
        let found = replay(&case.failure, true, 1);
        let from = (FAILURE_START_MS + 1_000) / STEP_MS;
        let to = (FAILURE_START_MS + case.failure.duration_ms) / STEP_MS;
        let shares = &found.pledge_shares[from as usize..to as usize];
        let (min_share, max_share) = case.pledge_share;
        expect_that!(shares, each(all!(ge(&min_share), le(&max_share))), "{}", case.name);
        expect_that!(found.served(), ge(baseline.served() * case.min_served), "{}", case.name);
        let max_wasted_ms = baseline.wasted_ms * found.served().max(1.0) / baseline.served().max(1.0) * case.max_wasted;
        expect_that!(found.wasted_ms, le(max_wasted_ms), "{}", case.name);
        expect_that!(found.recovery_ms(&case.failure), some(le(case.max_recovery_ms)), "{}", case.name);
    }
}
