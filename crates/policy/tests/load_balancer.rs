//! Tests load balancing over targets whose nodes report their load.

use fulmartrestle_core::{AvailabilityZone, RateMilliPerS, Service, TimeUs, VmId};
use fulmartrestle_policy::{ContactCheck, LoadBalancer, TargetNotices, TargetReport};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOW: TimeUs = TimeUs::from_ms(10_000);

fn service() -> Service {
    "deep".parse().expect("a valid name")
}

fn zone(name: &str) -> AvailabilityZone {
    name.parse().expect("a valid name")
}

fn report(running: u32, hold_us: u32) -> TargetReport {
    TargetReport {
        service: service(),
        started_unix_ms: 0,
        notices: None,
        instance: "one".to_owned(),
        ready: true,
        limit: 10,
        running,
        waiting: 0,
        hold_us,
        cold: false,
        paced_rate: None,
        pace_percent: None,
        failed_percent: 0,
    }
}

/// Returns how often each of two targets is chosen in 1,000 choices from zone `near`.
fn count_choices(balancer: &LoadBalancer) -> [u32; 2] {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut counts = [0; 2];
    for _ in 0..1_000 {
        if let Some(node) = balancer.choose_target(&service(), &zone("near"), &[], &mut rng, NOW) {
            counts[node.0 as usize] += 1;
        }
    }
    counts
}

#[gtest]
fn calls_go_to_the_target_with_the_shortest_wait() {
    struct Case {
        name: &'static str,
        zones: [&'static str; 2],
        reports: [TargetReport; 2],
        chosen: [u32; 2],
    }
    let not_ready = TargetReport { ready: false, ..report(0, 20_000) };
    let cold =
        |waiting| TargetReport { cold: true, waiting, paced_rate: Some(RateMilliPerS(11_250)), ..report(0, 50_000) };
    let cases = [
        Case {
            name: "own zone while it has free slots",
            zones: ["near", "far"],
            reports: [report(6, 20_000), report(0, 20_000)],
            chosen: [1_000, 0],
        },
        Case {
            name: "another zone when the own one is full",
            zones: ["near", "far"],
            reports: [report(10, 20_000), report(2, 20_000)],
            chosen: [0, 1_000],
        },
        Case {
            name: "mostly the faster of two",
            zones: ["near", "near"],
            reports: [report(5, 40_000), report(5, 20_000)],
            chosen: [111, 889],
        },
        Case {
            name: "a fast one in another zone rather than a slow one",
            zones: ["near", "far"],
            reports: [report(3, 370_000), report(3, 160_000)],
            chosen: [0, 1_000],
        },
        Case {
            name: "mostly the slow one when the fast one is overfull",
            zones: ["near", "near"],
            reports: [report(2, 370_000), report(15, 160_000)],
            chosen: [970, 30],
        },
        Case {
            name: "rather a warm one than one that is paced because it is cold",
            zones: ["near", "near"],
            reports: [cold(0), report(0, 50_000)],
            chosen: [130, 870],
        },
        Case {
            name: "none that would wait for its turn at a cold one",
            zones: ["near", "far"],
            reports: [cold(3), report(0, 50_000)],
            chosen: [0, 1_000],
        },
        Case {
            name: "never a target that is not ready",
            zones: ["near", "far"],
            reports: [not_ready, report(10, 20_000)],
            chosen: [0, 1_000],
        },
    ];
    for case in cases {
        let mut balancer = LoadBalancer::default();
        for (node, report) in case.reports.into_iter().enumerate() {
            balancer.record_report(VmId(node as u64), &zone(case.zones[node]), Some(report), NOW);
        }
        let counts = count_choices(&balancer);
        for (count, expected) in counts.into_iter().zip(case.chosen) {
            // The targets of one zone are drawn with probabilities, those of two zones are compared.
            let tolerance = if case.zones[0] == case.zones[1] { 50 } else { 0 };
            expect_that!(count.abs_diff(expected), le(tolerance), "{}: {counts:?}", case.name);
        }
    }
}

#[gtest]
fn a_target_that_refused_is_chosen_if_it_is_the_only_one() {
    let mut balancer = LoadBalancer::default();
    balancer.record_report(VmId(0), &zone("near"), Some(report(10, 20_000)), NOW);
    balancer.record_refusal(VmId(0), NOW);
    assert_that!(count_choices(&balancer), eq([1_000, 0]));
}

#[gtest]
fn an_unreachable_node_is_retried_after_its_backoff() {
    let mut balancer = LoadBalancer::default();
    balancer.record_report(VmId(0), &zone("near"), Some(report(0, 20_000)), NOW);
    balancer.record_failure(VmId(0), NOW);
    assert_that!(count_choices(&balancer), eq([0, 0]));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let later = NOW.plus_ms(200);
    assert_that!(balancer.choose_target(&service(), &zone("near"), &[], &mut rng, later), some(eq(VmId(0))));
}

#[gtest]
fn a_node_without_recent_updates_is_not_chosen() {
    let mut balancer = LoadBalancer::default();
    balancer.record_report(VmId(0), &zone("near"), Some(report(0, 20_000)), NOW);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let later = NOW.plus_ms(3_000);
    assert_that!(balancer.choose_target(&service(), &zone("near"), &[], &mut rng, later), none());
}

/// Time of a call at the target of each zone in the replay, in milliseconds. Speeds differ like those of the
/// deployments.
const REPLAY_HOLD_MS: [u64; 3] = [780, 470, 340];

/// Slots of each target in the replay.
const REPLAY_SLOTS: u32 = 36;

/// Result of a replay.
#[derive(Debug, Default)]
struct Replay {
    calls: u32,
    /// Calls by target.
    sent: [u32; 3],
    /// Calls that found all slots of their target in use.
    queued: u32,
}

/// Replays calls from entry nodes in all zones. Reports reach all of them once a second, and with each response.
fn replay_calls(calls_per_s: f64, entries_per_zone: usize) -> Replay {
    const DURATION_MS: u64 = 20_000;
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let zones = ["a", "b", "c"].map(zone);
    let mut balancers: Vec<LoadBalancer> = (0..3 * entries_per_zone).map(|_| LoadBalancer::default()).collect();
    // The calls that run on each target: when each ends, and the entry node that sent it.
    let mut running: [Vec<(u64, usize)>; 3] = Default::default();
    let mut replay = Replay::default();
    for ms in 0..DURATION_MS {
        let now = TimeUs::from_ms(ms);
        for (target, calls) in running.iter_mut().enumerate() {
            let ended: Vec<usize> = calls.iter().filter(|(end_ms, _)| *end_ms <= ms).map(|(_, entry)| *entry).collect();
            calls.retain(|(end_ms, _)| *end_ms > ms);
            let hold_us = REPLAY_HOLD_MS[target] as u32 * 1_000;
            let report = TargetReport { limit: REPLAY_SLOTS, ..report(calls.len() as u32, hold_us) };
            let node = VmId(target as u64);
            if ms % 1_000 == target as u64 * 300 {
                for balancer in &mut balancers {
                    balancer.record_report(node, &zones[target], Some(report.clone()), now);
                }
            }
            // Each response carries a report, too.
            for entry in ended {
                balancers[entry].record_report(node, &zones[target], Some(report.clone()), now);
            }
        }
        if ms < 1_000 || rng.random::<f64>() >= calls_per_s / 1e3 {
            continue;
        }
        let entry = rng.random_range(0..balancers.len());
        let chosen = balancers[entry].choose_target(&service(), &zones[entry % 3], &[], &mut rng, now);
        let node = chosen.expect("a usable target");
        let target = node.0 as usize;
        balancers[entry].record_sent_call(node);
        replay.calls += 1;
        replay.sent[target] += 1;
        replay.queued += u32::from(running[target].len() >= REPLAY_SLOTS as usize);
        running[target].push((ms + REPLAY_HOLD_MS[target], entry));
    }
    replay
}

/// Callers whose zone has only a slow target, while fast ones elsewhere have free slots: a fifth of the calls of one
/// zone took longer than their objective although the fleet was half idle.
#[gtest]
fn a_slow_target_receives_few_calls_while_others_have_free_slots() {
    // A quarter of what the targets can do together.
    let replay = replay_calls(57.0, 5);
    assert_that!(f64::from(replay.sent[0]), le(f64::from(replay.calls) * 0.1), "{replay:?}");
    assert_that!(replay.queued, eq(0), "{replay:?}");
}

/// Old reports must not send all callers to the same fast target until it is full.
#[gtest]
fn callers_with_old_reports_do_not_fill_one_target() {
    // Two thirds of what the targets can do together.
    let replay = replay_calls(150.0, 5);
    assert_that!(f64::from(replay.queued), le(f64::from(replay.calls) * 0.02), "{replay:?}");
}

/// Guards against calls that go to silent nodes while others are heard, and against a node that is cut off itself and
/// then sends nothing anywhere.
#[gtest]
fn silent_nodes_are_chosen_only_if_there_are_no_others() {
    struct Case {
        name: &'static str,
        zones: [&'static str; 2],
        silent: [bool; 2],
        chosen: [u32; 2],
    }
    let cases = [
        Case { name: "own zone silent", zones: ["near", "far"], silent: [true, false], chosen: [0, 1_000] },
        Case { name: "other zone silent", zones: ["near", "far"], silent: [false, true], chosen: [1_000, 0] },
        Case { name: "one of two silent", zones: ["near", "near"], silent: [true, false], chosen: [0, 1_000] },
        Case { name: "all silent", zones: ["near", "far"], silent: [true, true], chosen: [1_000, 0] },
    ];
    for case in cases {
        let mut balancer = LoadBalancer::default();
        for (node, name) in (0..).map(VmId).zip(case.zones) {
            balancer.record_report(node, &zone(name), Some(report(0, 20_000)), NOW);
            balancer.record_sign(node, NOW);
        }
        let mut now = NOW;
        for (node, _) in (0..).map(VmId).zip(case.silent).filter(|(_, silent)| *silent) {
            let sent_at = now;
            while balancer.contact().check_waiting(node, sent_at, now) != ContactCheck::Lost {
                now = now.plus_ms(10);
            }
        }
        let counts = count_choices(&balancer);
        expect_that!(counts, eq(case.chosen), "{}", case.name);
        let heard = balancer.has_heard_target(&service(), &[], now);
        expect_that!(heard, eq(case.silent != [true, true]), "{}", case.name);
        // The first sign of life ends the silence.
        balancer.record_sign(VmId(0), now);
        expect_that!(balancer.has_heard_target(&service(), &[VmId(1)], now), eq(true), "{}", case.name);
    }
}

/// Calls must not reach an evacuated zone, also while no other zone has a target, and return afterwards.
#[gtest]
fn targets_of_evacuated_zones_are_not_chosen() {
    let mut balancer = LoadBalancer::default();
    balancer.record_report(VmId(0), &zone("near"), Some(report(0, 20_000)), NOW);
    balancer.record_report(VmId(1), &zone("far"), Some(report(0, 20_000)), NOW);
    for (evacuated, chosen) in [(&[][..], [1_000, 0]), (&["near"], [0, 1_000]), (&["near", "far"], [0, 0])] {
        balancer.set_evacuated(evacuated.iter().map(|name| zone(name)).collect());
        expect_that!(count_choices(&balancer), eq(chosen), "{evacuated:?}");
    }
    balancer.set_evacuated(Default::default());
    expect_that!(count_choices(&balancer), eq([1_000, 0]));
}

/// Guards against a target that has said that it leaves, and is chosen again because its node has started again and
/// reports a response without that notice.
#[gtest]
fn a_run_that_leaves_is_not_chosen_whatever_its_node_reports_later() {
    struct Case {
        name: &'static str,
        notices: &'static [Option<TargetNotices>],
        started_unix_ms: i64,
        chosen: bool,
    }
    const PLAIN: TargetNotices = TargetNotices { max_rate: None, leaving: false };
    const LIMITED: TargetNotices = TargetNotices { max_rate: Some(RateMilliPerS(9_000)), leaving: false };
    const LEAVING: TargetNotices = TargetNotices { max_rate: None, leaving: true };
    let cases = [
        Case { name: "no notice", notices: &[None, Some(PLAIN)], started_unix_ms: 0, chosen: true },
        Case { name: "it leaves", notices: &[Some(LEAVING)], started_unix_ms: 0, chosen: false },
        Case { name: "its node knows of none", notices: &[Some(LEAVING), None], started_unix_ms: 0, chosen: false },
        Case {
            name: "its node heard a response without one",
            notices: &[Some(LEAVING), None, Some(PLAIN), Some(LIMITED), Some(PLAIN), None],
            started_unix_ms: 0,
            chosen: false,
        },
        Case { name: "the next run", notices: &[Some(LEAVING), None], started_unix_ms: 1, chosen: true },
    ];
    for case in cases {
        let mut balancer = LoadBalancer::default();
        let last = case.notices.len() - 1;
        for (index, notices) in case.notices.iter().enumerate() {
            let started_unix_ms = if index == last { case.started_unix_ms } else { 0 };
            let report = TargetReport { notices: *notices, started_unix_ms, ..report(0, 20_000) };
            balancer.record_report(VmId(0), &zone("near"), Some(report), NOW);
        }
        expect_that!(count_choices(&balancer)[0] > 0, eq(case.chosen), "{}", case.name);
    }
}
