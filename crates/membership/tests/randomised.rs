//! Randomised runs of whole fleets with invariants checked at each step.
//!
//! `FULMARTRESTLE_SEED` and `FULMARTRESTLE_STEPS` widen a run. A failure names its seed and step, and
//! the disturbances are shrunk to fewer that still fail.

mod fleet;

use fleet::invariants::{Invariants, check_agreement};
use fleet::{Fault, Fleet};
use fulmartrestle_core::TimeUs;
use fulmartrestle_membership::{MembershipSettings, TargetInfo};
use googletest::prelude::*;
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};

const ZONES: usize = 3;
/// Ticks between two disturbances.
const TICKS_BETWEEN: usize = 20;
/// Quiet time after which all connected nodes must agree, in milliseconds.
const QUIET_MS: u64 = 20_000;

/// Something that happens to a fleet. Nodes are taken modulo the fleet's size.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    Crash(usize),
    Restart(usize),
    Pause(usize, u64),
    Cut(usize, usize),
    CutOff(usize),
    Heal,
    Loss(u32),
    Doubling(u32),
    Delay(u64),
    SetTarget(usize, u32),
    Leave(usize),
}

fn disturbance() -> impl Strategy<Value = Disturbance> {
    let node = any::<usize>;
    prop_oneof![
        1 => node().prop_map(Disturbance::Crash),
        2 => node().prop_map(Disturbance::Restart),
        2 => (node(), 100..20_000_u64).prop_map(|(node, ms)| Disturbance::Pause(node, ms)),
        1 => (0..ZONES - 1).prop_flat_map(|left| (Just(left), left + 1..ZONES)).prop_map(|(left, right)| Disturbance::Cut(left, right)),
        1 => (0..ZONES).prop_map(Disturbance::CutOff),
        1 => Just(Disturbance::Heal),
        1 => (0..10_u32).prop_map(Disturbance::Loss),
        1 => (0..20_u32).prop_map(Disturbance::Doubling),
        1 => (200..100_000_u64).prop_map(Disturbance::Delay),
        2 => (node(), 1..100_u32).prop_map(|(node, slots)| Disturbance::SetTarget(node, slots)),
        1 => node().prop_map(Disturbance::Leave),
    ]
}

impl Disturbance {
    fn apply(self, fleet: &mut Fleet) {
        let count = fleet.nodes.len();
        let now = fleet.now;
        match self {
            Self::Crash(node) => fleet.crash(node % count),
            Self::Restart(node) => fleet.restart(node % count),
            Self::Pause(node, ms) => fleet.pause(node % count, ms),
            Self::Cut(left, right) => fleet.network.cuts.push((left, right)),
            Self::CutOff(zone) => {
                let others = (0..ZONES).filter(|other| *other != zone);
                fleet.network.cuts = others.map(|other| (zone.min(other), zone.max(other))).collect();
            }
            Self::Heal => fleet.network.cuts.clear(),
            Self::Loss(percent) => fleet.network.loss_percent = percent,
            Self::Doubling(percent) => fleet.network.doubling_percent = percent,
            Self::Delay(most_us) => fleet.network.delay_us = (100, most_us),
            Self::SetTarget(node, slots) if fleet.is_active(node % count) => {
                fleet.nodes[node % count].membership.set_own_target(Some(target(slots)), now);
            }
            Self::Leave(node) if fleet.is_active(node % count) => fleet.nodes[node % count].membership.leave(now),
            Self::SetTarget(..) | Self::Leave(_) => {}
        }
    }
}

fn target(slots: u32) -> TargetInfo {
    let service = "pairing".parse().unwrap_or_else(|error| panic!("{error}"));
    TargetInfo { service, slots, connections: 300, warm_up_ms: 0, leaving: false, age_ms: 0 }
}

struct Run {
    name: &'static str,
    nodes: usize,
    disturbances: usize,
    cases: u32,
    settings: MembershipSettings,
    fault: Fault,
}

fn run(name: &'static str, nodes: usize, disturbances: usize, cases: u32) -> Run {
    Run { name, nodes, disturbances, cases, settings: MembershipSettings::default(), fault: Fault::None }
}

/// Lets the disturbances end: what crashed stays down, all else goes on.
fn calm(fleet: &mut Fleet) {
    fleet.network = fleet::Network::default();
    for node in &mut fleet.nodes {
        node.paused_until = TimeUs::default();
    }
}

/// Runs one fleet and returns the first violation.
fn violation(run: &Run, seed: u64, disturbances: &[Disturbance]) -> Option<String> {
    let mut fleet = Fleet::new(run.nodes, ZONES, run.settings.clone(), seed);
    fleet.fault = run.fault;
    fleet.measure_bytes = true;
    fleet.join_all();
    let mut invariants = Invariants::default();
    for (index, disturbance) in disturbances.iter().enumerate() {
        disturbance.apply(&mut fleet);
        for tick in 0..TICKS_BETWEEN {
            fleet.step();
            if let Err(reason) = invariants.check(&fleet) {
                let step = index * TICKS_BETWEEN + tick;
                return Some(format!("{}, seed {seed}, step {step}: {reason}", run.name));
            }
        }
    }
    calm(&mut fleet);
    fleet.run_ms(QUIET_MS);
    let agreement = check_agreement(&fleet);
    agreement.err().map(|reason| format!("{}, seed {seed}, after quiet time: {reason}", run.name))
}

/// Runs all cases of a fixed seed and returns the first violation with the shrunk disturbances.
fn first_violation(run: &Run, seed: u64, max_shrink_iters: u32) -> Option<String> {
    let config = Config { cases: run.cases, max_shrink_iters, failure_persistence: None, ..Config::default() };
    let mut seed_bytes = [0; 32];
    seed_bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &seed_bytes));
    let outcome = runner.run(&vec(disturbance(), run.disturbances), |disturbances| {
        violation(run, seed, &disturbances).map_or(Ok(()), |reason| Err(TestCaseError::fail(reason)))
    });
    match outcome {
        Ok(()) => None,
        Err(TestError::Fail(reason, shrunk)) => Some(format!("{reason}; disturbances: {shrunk:?}")),
        Err(TestError::Abort(reason)) => Some(format!("aborted: {reason}")),
    }
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|text| text.parse().ok())
}

#[gtest]
fn invariants_hold_in_disturbed_fleets() {
    let seed = env_number("FULMARTRESTLE_SEED").unwrap_or(1);
    let disturbances = env_number("FULMARTRESTLE_STEPS").map(|steps| steps as usize / TICKS_BETWEEN);
    let runs = [run("three nodes", 3, 100, 4), run("nine nodes", 9, 100, 3), run("fifty nodes", 50, 20, 1)];
    for mut run in runs {
        run.disturbances = disturbances.unwrap_or(run.disturbances);
        expect_that!(first_violation(&run, seed, 30), none());
    }
}

#[gtest]
fn broken_variants_are_caught() {
    let settings = MembershipSettings::default;
    let never_ms = 100_000_000;
    let broken = [
        Run { fault: Fault::LosesAccusations, ..run("members don't hear accusations", 6, 100, 5) },
        Run { fault: Fault::RaisesIncarnations, ..run("rows are changed on the way", 6, 100, 5) },
        Run {
            settings: MembershipSettings { dead_retention_ms: 0, ..settings() },
            ..run("dead members are forgotten at once", 9, 200, 5)
        },
        Run {
            settings: MembershipSettings { suspicion_timeout_ms: never_ms, ..settings() },
            ..run("suspicions never end", 6, 100, 5)
        },
        Run {
            settings: MembershipSettings { reconnect_interval_ms: never_ms, ..settings() },
            ..run("lost members are never tried", 6, 4, 40)
        },
    ];
    for run in broken {
        let caught = first_violation(&run, 1, 0);
        expect_that!(caught, some(anything()), "{}", run.name);
    }
}
