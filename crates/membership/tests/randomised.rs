//! Property tests that run simulated fleets with random disturbances and check the invariants after each tick.
//!
//! `FULMARTRESTLE_SEED` selects the seed and `FULMARTRESTLE_STEPS` the number of ticks. A failure reports its seed
//! and tick, and the shrunk sequence of disturbances.

mod fleet;

use fleet::invariants::{Invariants, check_agreement};
use fleet::{Fleet, InjectedFault};
use fulmartrestle_core::TimeUs;
use fulmartrestle_membership::{MembershipSettings, TargetInfo};
use googletest::prelude::*;
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};

const ZONES: usize = 3;
/// Number of ticks after each disturbance.
const TICKS_PER_DISTURBANCE: usize = 20;
/// Time without disturbances after which all running nodes must agree, in milliseconds.
const CONVERGENCE_MS: u64 = 20_000;

/// A disturbance of a fleet. Node numbers are taken modulo the size of the fleet.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    Crash(usize),
    Restart(usize),
    Pause(usize, u64),
    Partition(usize, usize),
    IsolateZone(usize),
    HealPartitions,
    Loss(u32),
    Duplication(u32),
    Delay(u64),
    SetTarget(usize, u32),
    Leave(usize),
}

fn any_disturbance() -> impl Strategy<Value = Disturbance> {
    let node = any::<usize>;
    prop_oneof![
        1 => node().prop_map(Disturbance::Crash),
        2 => node().prop_map(Disturbance::Restart),
        2 => (node(), 100..20_000_u64).prop_map(|(node, ms)| Disturbance::Pause(node, ms)),
        1 => (0..ZONES - 1).prop_flat_map(|left| (Just(left), left + 1..ZONES)).prop_map(|(left, right)| Disturbance::Partition(left, right)),
        1 => (0..ZONES).prop_map(Disturbance::IsolateZone),
        1 => Just(Disturbance::HealPartitions),
        1 => (0..10_u32).prop_map(Disturbance::Loss),
        1 => (0..20_u32).prop_map(Disturbance::Duplication),
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
            Self::Partition(left, right) => fleet.network.partitions.push((left, right)),
            Self::IsolateZone(zone) => {
                let others = (0..ZONES).filter(|other| *other != zone);
                fleet.network.partitions = others.map(|other| (zone.min(other), zone.max(other))).collect();
            }
            Self::HealPartitions => fleet.network.partitions.clear(),
            Self::Loss(percent) => fleet.network.loss_percent = percent,
            Self::Duplication(percent) => fleet.network.duplication_percent = percent,
            Self::Delay(max_us) => fleet.network.delay_us = (100, max_us),
            Self::SetTarget(node, slots) if fleet.is_active(node % count) => {
                fleet.nodes[node % count].membership.set_local_target(Some(target(slots)), now);
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
    injected_fault: InjectedFault,
}

fn run(name: &'static str, nodes: usize, disturbances: usize, cases: u32) -> Run {
    Run {
        name,
        nodes,
        disturbances,
        cases,
        settings: MembershipSettings::default(),
        injected_fault: InjectedFault::None,
    }
}

/// Heals the network and resumes paused nodes. Crashed nodes stay down.
fn end_disturbances(fleet: &mut Fleet) {
    fleet.network = fleet::Network::default();
    for node in &mut fleet.nodes {
        node.paused_until = TimeUs::default();
    }
}

/// Runs one fleet through `disturbances` and returns the first violation of an invariant.
fn find_violation(run: &Run, seed: u64, disturbances: &[Disturbance]) -> Option<String> {
    let mut fleet = Fleet::new(run.nodes, ZONES, run.settings.clone(), seed);
    fleet.injected_fault = run.injected_fault;
    fleet.measure_bytes = true;
    fleet.join_all();
    let mut invariants = Invariants::default();
    for (index, disturbance) in disturbances.iter().enumerate() {
        disturbance.apply(&mut fleet);
        for tick in 0..TICKS_PER_DISTURBANCE {
            fleet.run_tick();
            if let Err(reason) = invariants.check(&fleet) {
                let elapsed_ticks = index * TICKS_PER_DISTURBANCE + tick;
                return Some(format!("{}, seed {seed}, tick {elapsed_ticks}: {reason}", run.name));
            }
        }
    }
    end_disturbances(&mut fleet);
    fleet.run_ms(CONVERGENCE_MS);
    let agreement = check_agreement(&fleet);
    agreement.err().map(|reason| format!("{}, seed {seed}, after the disturbances: {reason}", run.name))
}

/// Runs all cases for a seed, and returns the first violation with the shrunk sequence of disturbances.
fn find_shrunk_violation(run: &Run, seed: u64, max_shrink_iters: u32) -> Option<String> {
    let config = Config { cases: run.cases, max_shrink_iters, failure_persistence: None, ..Config::default() };
    let mut seed_bytes = [0; 32];
    seed_bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &seed_bytes));
    let outcome = runner.run(&vec(any_disturbance(), run.disturbances), |disturbances| {
        find_violation(run, seed, &disturbances).map_or(Ok(()), |reason| Err(TestCaseError::fail(reason)))
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
fn invariants_hold_under_random_disturbances() {
    let seed = env_number("FULMARTRESTLE_SEED").unwrap_or(1);
    let disturbances = env_number("FULMARTRESTLE_STEPS").map(|steps| steps as usize / TICKS_PER_DISTURBANCE);
    let runs = [run("three nodes", 3, 100, 4), run("nine nodes", 9, 100, 3), run("fifty nodes", 50, 20, 1)];
    for mut run in runs {
        run.disturbances = disturbances.unwrap_or(run.disturbances);
        expect_that!(find_shrunk_violation(&run, seed, 30), none());
    }
}

#[gtest]
fn invariants_detect_injected_faults() {
    let settings = MembershipSettings::default;
    let never_ms = 100_000_000;
    let faulty_runs = [
        Run { injected_fault: InjectedFault::DropAccusations, ..run("accusations are dropped", 6, 100, 5) },
        Run {
            injected_fault: InjectedFault::RaiseIncarnations,
            ..run("incarnations are raised in transit", 6, 100, 5)
        },
        Run {
            settings: MembershipSettings { dead_retention_ms: 0, ..settings() },
            ..run("dead members are not retained", 9, 200, 5)
        },
        Run {
            settings: MembershipSettings { suspicion_timeout_ms: never_ms, ..settings() },
            ..run("suspicions never expire", 6, 100, 5)
        },
        Run {
            settings: MembershipSettings { reconnect_interval_ms: never_ms, ..settings() },
            ..run("no reconnection attempts", 6, 4, 40)
        },
    ];
    for run in faulty_runs {
        let violation = find_shrunk_violation(&run, 1, 0);
        expect_that!(violation, some(anything()), "{}", run.name);
    }
}
