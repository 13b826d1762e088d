//! Randomised runs of whole fleets with invariants checked at each step.
//!
//! `FULMARTRESTLE_SEED` and `FULMARTRESTLE_STEPS` widen a run; a failure names its seed and step.

mod fleet;

use fleet::invariants::{Invariants, check_agreement};
use fleet::{Fault, Fleet};
use fulmartrestle_core::TimeUs;
use fulmartrestle_membership::{MembershipSettings, TargetInfo};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ZONES: usize = 3;
/// Quiet time after which all connected nodes must agree, in milliseconds.
const QUIET_MS: u64 = 20_000;

struct Run {
    name: &'static str,
    nodes: usize,
    steps: usize,
    settings: MembershipSettings,
    fault: Fault,
}

fn run(name: &'static str, nodes: usize, steps: usize) -> Run {
    Run { name, nodes, steps, settings: MembershipSettings::default(), fault: Fault::None }
}

/// Disturbs the fleet in one random way.
fn disturb(fleet: &mut Fleet, random: &mut ChaCha8Rng) {
    let node = random.random_range(0..fleet.nodes.len());
    let now = fleet.now;
    match random.random_range(0..12) {
        0 => fleet.crash(node),
        1 | 2 => fleet.restart(node),
        3 | 4 => fleet.pause(node, random.random_range(100..20_000)),
        5 => {
            let left = random.random_range(0..ZONES - 1);
            fleet.network.cuts.push((left, random.random_range(left + 1..ZONES)));
        }
        6 => fleet.network.cuts = (0..ZONES).filter(|zone| *zone != 1).map(|zone| (zone.min(1), zone.max(1))).collect(),
        7 => fleet.network.cuts.clear(),
        8 => fleet.network.loss_percent = random.random_range(0..10),
        9 => fleet.network.doubling_percent = random.random_range(0..20),
        10 => fleet.network.delay_us = (100, random.random_range(200..100_000)),
        _ if fleet.is_active(node) => {
            let target = TargetInfo {
                service: "pairing".parse().unwrap_or_else(|error| panic!("{error}")),
                slots: random.random_range(1..100),
                connections: 300,
                warm_up_ms: 0,
                leaving: false,
                age_ms: 0,
            };
            fleet.nodes[node].membership.set_own_target(Some(target), now);
        }
        _ => {}
    }
}

/// Lets the disturbances end: what crashed stays down, all else goes on.
fn calm(fleet: &mut Fleet) {
    fleet.network = fleet::Network::default();
    for node in &mut fleet.nodes {
        node.paused_until = TimeUs::default();
    }
}

/// Runs one fleet and returns the first violation.
fn violation(run: &Run, seed: u64) -> Option<String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::new(run.nodes, ZONES, run.settings.clone(), seed);
    fleet.fault = run.fault;
    fleet.measure_bytes = true;
    fleet.join_all();
    let mut invariants = Invariants::default();
    for step in 0..run.steps {
        if step % 20 == 19 {
            disturb(&mut fleet, &mut random);
        }
        fleet.step();
        if let Err(reason) = invariants.check(&fleet) {
            return Some(format!("{}, seed {seed}, step {step}: {reason}", run.name));
        }
    }
    calm(&mut fleet);
    fleet.run_ms(QUIET_MS);
    let agreement = check_agreement(&fleet);
    agreement.err().map(|reason| format!("{}, seed {seed}, after quiet time: {reason}", run.name))
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|text| text.parse().ok())
}

#[gtest]
fn invariants_hold_in_disturbed_fleets() {
    let first_seed = env_number("FULMARTRESTLE_SEED").unwrap_or(1);
    let steps = env_number("FULMARTRESTLE_STEPS").map(|steps| steps as usize);
    let runs = [(run("three nodes", 3, 2_000), 4), (run("nine nodes", 9, 2_000), 3), (run("fifty nodes", 50, 400), 1)];
    for (mut run, seeds) in runs {
        run.steps = steps.unwrap_or(run.steps);
        for seed in first_seed..first_seed + seeds {
            expect_that!(violation(&run, seed), none());
        }
    }
}

#[gtest]
fn broken_variants_are_caught() {
    let settings = MembershipSettings::default;
    let never_ms = 100_000_000;
    let broken = [
        Run { fault: Fault::LosesAccusations, ..run("members don't hear accusations", 6, 2_000) },
        Run { fault: Fault::RaisesIncarnations, ..run("rows are changed on the way", 6, 2_000) },
        Run {
            settings: MembershipSettings { dead_retention_ms: 0, ..settings() },
            ..run("dead members are forgotten at once", 9, 4_000)
        },
        Run {
            settings: MembershipSettings { suspicion_timeout_ms: never_ms, ..settings() },
            ..run("suspicions never end", 6, 2_000)
        },
        Run {
            settings: MembershipSettings { reconnect_interval_ms: never_ms, ..settings() },
            ..run("lost members are never tried", 6, 2_000)
        },
    ];
    for run in broken {
        let caught = (1..6).find_map(|seed| violation(&run, seed));
        expect_that!(caught, some(anything()), "{}", run.name);
        println!("{}", caught.unwrap_or_default());
    }
}
