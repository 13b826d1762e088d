//! Randomised runs of 3 to 50 nodes in 3 zones: messages lost, doubled, late and out of order, zones
//! cut, the log down, answers lost, nodes paused and restarted, operators racing.
//!
//! `FULMARTRESTLE_SEED` and `FULMARTRESTLE_STEPS` widen the runs; a failure prints its seed and the
//! shortest steps that bring it about.

mod support;

use fulmartrestle_config::plan::{IntentChange, Plan};
use fulmartrestle_config::propagation::ConfigNode;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use support::sim::{Broken, Sim};
use support::{first_plan, id, key_id, plan_with, tenant_row};

const DEFAULT_SEED: u64 = 20_261_203;
const DEFAULT_STEPS: usize = 25;
const CASES: u32 = 24;

/// Time that the log keeps records, in milliseconds: short, so that runs outlast it.
const RETENTION_MS: u64 = 60_000;

/// The time in which every reachable node must have a change in force, in milliseconds.
const IN_FORCE_MS: u64 = 11_000;

/// The time after which every confirm is settled, in milliseconds.
const SETTLED_MS: u64 = 31_000;

#[derive(Clone, Debug)]
enum Step {
    Wait {
        ms: u64,
    },
    Confirm {
        node: usize,
        kind: u8,
    },
    /// Two operators change the same tenant at once.
    Race {
        left: usize,
        right: usize,
    },
    Pause {
        node: usize,
        ms: u64,
    },
    Restart {
        node: usize,
    },
    CutZone {
        zone: usize,
        cut: bool,
    },
    CutLog {
        zone: usize,
        cut: bool,
    },
    LogDown {
        down: bool,
    },
    LoseAppends {
        count: u32,
    },
    Lossy {
        lossy: bool,
    },
    /// All messages between nodes are lost, or no longer.
    Mute {
        mute: bool,
    },
    SlowLog {
        delay_ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..50_usize;
    prop_oneof![
        4 => (10..6_000_u64).prop_map(|ms| Step::Wait { ms }),
        4 => (node.clone(), 0..4_u8).prop_map(|(node, kind)| Step::Confirm { node, kind }),
        2 => (node.clone(), node.clone()).prop_map(|(left, right)| Step::Race { left, right }),
        1 => (node.clone(), 100..90_000_u64).prop_map(|(node, ms)| Step::Pause { node, ms }),
        3 => node.prop_map(|node| Step::Restart { node }),
        1 => (0..3_usize, any::<bool>()).prop_map(|(zone, cut)| Step::CutZone { zone, cut }),
        1 => (0..3_usize, any::<bool>()).prop_map(|(zone, cut)| Step::CutLog { zone, cut }),
        1 => any::<bool>().prop_map(|down| Step::LogDown { down }),
        1 => (1..4_u32).prop_map(|count| Step::LoseAppends { count }),
        1 => any::<bool>().prop_map(|lossy| Step::Lossy { lossy }),
        2 => any::<bool>().prop_map(|mute| Step::Mute { mute }),
        1 => (3..1_200_u64).prop_map(|delay_ms| Step::SlowLog { delay_ms }),
    ]
}

/// Makes a plan at a node, as far as it has a configuration.
fn plan_at(node: &ConfigNode, change: impl FnOnce() -> IntentChange, random: u8) -> Option<Plan> {
    let config = node.replica().config().filter(|_| node.is_ready())?;
    plan_with(config, vec![change()], random).ok().map(|planned| planned.plan)
}

fn change(kind: u8, random: u8) -> IntentChange {
    match kind {
        0 => IntentChange::SetTenant(tenant_row("alpi", u64::from(random))),
        1 => IntentChange::GrantKey(id("lago")),
        2 => IntentChange::WithdrawKey(key_id("lago-1")),
        _ => IntentChange::SetRoute(support::route_row("extra", &format!("/extra-{random}"), "profiles")),
    }
}

fn run(seed: u64, node_count: usize, steps: &[Step], broken: Option<Broken>) -> std::result::Result<(), String> {
    let mut sim = Sim::with_retention(seed, node_count, &first_plan(), RETENTION_MS);
    sim.broken = broken;
    sim.run_ms(6_000)?;
    for (index, step) in steps.iter().enumerate() {
        take_step(&mut sim, step, index as u8)?;
        sim.run_ms(50)?;
    }
    sim.heal();
    sim.run_ms(IN_FORCE_MS)?;
    sim.check_converged()?;
    let withdrawn = sim.reference().config().unwrap().tenant_for_key("lago-1").is_none();
    if withdrawn && sim.nodes_accepting("lago-1") > 0 {
        return Err("a withdrawn key still works".to_owned());
    }
    sim.run_ms(SETTLED_MS - IN_FORCE_MS)
}

fn take_step(sim: &mut Sim, step: &Step, random: u8) -> std::result::Result<(), String> {
    let count = sim.slots.len();
    match step {
        Step::Wait { ms } => sim.run_ms(*ms)?,
        Step::Confirm { node, kind } => {
            let plan = plan_at(&sim.slots[node % count].node, || change(*kind, random), random);
            plan.iter().for_each(|plan| sim.confirm(node % count, plan));
        }
        Step::Race { left, right } => {
            let plans = [left, right].map(|node| {
                let rate = 100 + u64::from(random) + (node % count) as u64;
                plan_at(&sim.slots[node % count].node, || IntentChange::SetTenant(tenant_row("alpi", rate)), random)
            });
            for (node, plan) in [left, right].into_iter().zip(plans) {
                plan.iter().for_each(|plan| sim.confirm(node % count, plan));
            }
        }
        Step::Pause { node, ms } => sim.pause(node % count, *ms),
        // When the last node that knows the configuration goes and the log has trimmed it, it is gone:
        // `docs/CONFIGURATION.md` states that limit.
        Step::Restart { node } => {
            let others = sim.slots.iter().enumerate().filter(|(index, _)| *index != node % count);
            if others.into_iter().any(|(_, slot)| slot.node.is_ready()) {
                sim.restart(node % count);
            }
        }
        Step::CutZone { zone, cut } => sim.zone_cut[*zone] = *cut,
        Step::CutLog { zone, cut } => sim.log_cut[*zone] = *cut,
        Step::LogDown { down } => sim.log_is_down = *down,
        Step::LoseAppends { count } => sim.lost_appends += count,
        Step::Lossy { lossy } => sim.lossy = *lossy,
        Step::Mute { mute } => sim.mute = *mute,
        Step::SlowLog { delay_ms } => sim.log_delay_ms = *delay_ms,
    }
    Ok(())
}

fn from_env<T: std::str::FromStr>(name: &str, default: T) -> T {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[gtest]
fn invariants_hold_under_random_faults() {
    let (seed, steps) = (from_env("FULMARTRESTLE_SEED", DEFAULT_SEED), from_env("FULMARTRESTLE_STEPS", DEFAULT_STEPS));
    let config =
        Config { cases: CASES, rng_seed: RngSeed::Fixed(seed), failure_persistence: None, ..Config::default() };
    let scenario = (any::<u64>(), 3..=12_usize, prop::collection::vec(step(), steps));
    let result = TestRunner::new(config).run(&scenario, |(run_seed, node_count, steps)| {
        run(run_seed, node_count, &steps, None).map_err(TestCaseError::fail)
    });
    if let Err(error) = result {
        panic!("FULMARTRESTLE_SEED={seed} FULMARTRESTLE_STEPS={steps}: {error}");
    }
}

#[gtest]
fn fifty_nodes_keep_the_invariants() {
    let steps = [
        Step::Lossy { lossy: true },
        Step::Confirm { node: 4, kind: 0 },
        Step::Race { left: 7, right: 33 },
        Step::Wait { ms: 2_000 },
        Step::CutLog { zone: 1, cut: true },
        Step::Restart { node: 10 },
        Step::Confirm { node: 3, kind: 2 },
        Step::Wait { ms: 5_000 },
        Step::CutZone { zone: 2, cut: true },
        Step::Restart { node: 11 },
        Step::LoseAppends { count: 2 },
        Step::Confirm { node: 0, kind: 1 },
        Step::Wait { ms: 8_000 },
    ];
    assert_that!(run(DEFAULT_SEED, 50, &steps, None), ok(anything()));
}

#[gtest]
fn broken_variants_are_caught() {
    struct Case {
        broken: Broken,
        error: &'static str,
    }
    let cases = [
        Case { broken: Broken::ReadsOtherRecords, error: "has another hash at offset" },
        Case { broken: Broken::GoesBack, error: "went back from" },
        Case { broken: Broken::ServesTooEarly, error: "after a restart, it had" },
        Case { broken: Broken::TellsWrongOutcome, error: "was told Decided" },
        Case { broken: Broken::WritesAfterRefusal, error: "was told NotAppended" },
        Case { broken: Broken::StaysBehind, error: "the log ends at" },
        Case { broken: Broken::KeepsOldKeys, error: "a withdrawn key still works" },
    ];
    let steps = [
        Step::Confirm { node: 1, kind: 0 },
        Step::Wait { ms: 6_000 },
        Step::Race { left: 1, right: 2 },
        Step::Wait { ms: 6_000 },
        Step::LogDown { down: true },
        Step::Confirm { node: 1, kind: 2 },
        Step::Wait { ms: 2_000 },
        Step::LogDown { down: false },
        Step::Confirm { node: 1, kind: 1 },
        Step::Wait { ms: 6_000 },
        Step::Restart { node: 0 },
        Step::Wait { ms: 20_000 },
        Step::Confirm { node: 1, kind: 2 },
    ];
    assert_that!(run(7, 6, &steps, None), ok(anything()));
    for case in cases {
        let error = run(7, 6, &steps, Some(case.broken)).err();
        expect_that!(error, some(contains_substring(case.error)), "{:?}", case.broken);
    }
}
