//! Tests load balancing over targets whose nodes report their load.

use fulmartrestle_core::{AvailabilityZone, Service, TimeUs, VmId};
use fulmartrestle_policy::{LoadBalancer, TargetReport};
use googletest::prelude::*;
use rand::SeedableRng;
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
        instance: "one".to_owned(),
        ready: true,
        limit: 10,
        running,
        waiting: 0,
        hold_us,
        cold: false,
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
            name: "the faster of two",
            zones: ["near", "near"],
            reports: [report(5, 40_000), report(5, 20_000)],
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
        expect_that!(count_choices(&balancer), eq(case.chosen), "{}", case.name);
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
