//! Targets that fail a part of their attempts, beside healthy ones of their service.

use fulmartrestle_core::{AvailabilityZone, Service, TimeUs, VmId};
use fulmartrestle_policy::{AttemptEnd, FailureMeter, LoadBalancer, TargetReport};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TARGETS: u64 = 5;
const CALLS_PER_S: u64 = 100;
const REPORT_INTERVAL_MS: u64 = 1_000;

fn service() -> Service {
    "maps".parse().expect("a valid name")
}

fn zone() -> AvailabilityZone {
    "milano".parse().expect("a valid name")
}

fn report(failed_percent: u32) -> TargetReport {
    TargetReport {
        service: service(),
        instance: "one".to_owned(),
        started_unix_ms: 0,
        notices: None,
        ready: true,
        limit: 60,
        running: 5,
        waiting: 0,
        hold_us: 50_000,
        cold: false,
        paced_rate: None,
        pace_percent: None,
        failed_percent,
    }
}

/// Calls of one second, and those of them that failed.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    calls: u64,
    /// Calls that went to the failing targets.
    to_failing: u64,
    failed: u64,
}

/// Plays ten seconds of calls. The first `failing` targets fail half of their attempts from 2 s to 7 s. Reports come once a
/// second, those of single targets at different moments.
fn play(failing: u64) -> Vec<Second> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut balancer = LoadBalancer::default();
    let mut meters: Vec<FailureMeter> = (0..TARGETS).map(|_| FailureMeter::default()).collect();
    let mut seconds = vec![Second::default(); 10];
    let start = TimeUs::from_ms(10_000);
    let step_ms = 1_000 / CALLS_PER_S;
    for step in 0..CALLS_PER_S * 10 {
        let elapsed_ms = step * step_ms;
        let now = start.plus_ms(elapsed_ms);
        for target in 0..TARGETS {
            if step == 0 || elapsed_ms % REPORT_INTERVAL_MS == target * REPORT_INTERVAL_MS / TARGETS {
                let failed_percent = meters[target as usize].failed_percent(now);
                balancer.record_report(VmId(target), &zone(), Some(report(failed_percent)), now);
            }
        }
        let node = balancer.choose_target(&service(), &zone(), &[], &mut rng, now).expect("a target");
        let is_failing = node.0 < failing;
        let failed = is_failing && (2_000..7_000).contains(&elapsed_ms) && rng.random::<f64>() < 0.5;
        let end = if failed { AttemptEnd::Failed } else { AttemptEnd::Answered };
        meters[node.0 as usize].record_attempt(end, now);
        let second = &mut seconds[(elapsed_ms / 1_000) as usize];
        second.calls += 1;
        second.to_failing += u64::from(is_failing);
        second.failed += u64::from(failed);
    }
    seconds
}

/// A target that failed half of its calls got as many as the others: a fifth of the calls of its service failed for as long
/// as it did.
#[gtest]
fn failing_targets_are_avoided_until_they_recover() {
    for failing in [1, 2] {
        let seconds = play(failing);
        let usual = 100 * failing / TARGETS;
        let failed: u64 = seconds[4..7].iter().map(|second| second.failed).sum();
        // Without the shares, half of the usual calls of the failing targets fail.
        expect_that!(failed, lt(3 * usual / 2 / 3), "{failing} failing: {seconds:?}");
        let recovered: u64 = seconds[9].to_failing;
        expect_that!(recovered, gt(usual / 2), "{failing} failing: {seconds:?}");
    }
}

/// If all targets fail alike, the fault lies elsewhere, and none of them is better.
#[gtest]
fn targets_that_fail_alike_share_the_calls() {
    let seconds = play(TARGETS);
    let calls: u64 = seconds.iter().map(|second| second.calls).sum();
    expect_that!(calls, eq(CALLS_PER_S * 10));
    let mut balancer = LoadBalancer::default();
    let now = TimeUs::from_ms(10_000);
    for target in 0..2 {
        balancer.record_report(VmId(target), &zone(), Some(report(50)), now);
    }
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut choose = || balancer.choose_target(&service(), &zone(), &[], &mut rng, now);
    let first = (0..1_000).filter(|_| choose() == Some(VmId(0))).count();
    expect_that!(first, all!(gt(440), lt(560)));
}

#[gtest]
fn share_of_failures_follows_the_last_seconds() {
    struct Case {
        name: &'static str,
        /// Attempts, 10 ms apart, of which every n-th fails; 0 for none.
        attempts: u64,
        every: u64,
        /// Time after the last attempt, in milliseconds.
        later_ms: u64,
        percent: std::ops::RangeInclusive<u32>,
    }
    let cases = [
        Case { name: "nothing measured", attempts: 0, every: 0, later_ms: 0, percent: 0..=0 },
        Case { name: "healthy", attempts: 200, every: 0, later_ms: 0, percent: 0..=0 },
        Case { name: "a single failure", attempts: 1, every: 1, later_ms: 0, percent: 0..=20 },
        Case { name: "half", attempts: 400, every: 2, later_ms: 0, percent: 45..=50 },
        Case { name: "all", attempts: 400, every: 1, later_ms: 0, percent: 90..=100 },
        Case { name: "all, a while ago", attempts: 400, every: 1, later_ms: 12_000, percent: 0..=5 },
    ];
    for case in &cases {
        let mut meter = FailureMeter::default();
        let mut now = TimeUs::from_ms(5_000);
        for attempt in 1..=case.attempts {
            now = now.plus_ms(10);
            let fails = case.every > 0 && attempt % case.every == 0;
            meter.record_attempt(if fails { AttemptEnd::Failed } else { AttemptEnd::Answered }, now);
        }
        let percent = meter.failed_percent(now.plus_ms(case.later_ms));
        expect_that!(case.percent.contains(&percent), eq(true), "{}: {percent}", case.name);
        meter.clear();
        expect_that!(meter.failed_percent(now), eq(0), "{}", case.name);
    }
}

/// In an overload, targets whose calls had failed and targets whose attempts were late were avoided, and the load moved
/// from one to the other.
#[gtest]
fn failures_of_other_services_do_not_count() {
    let now = TimeUs::from_ms(5_000);
    let mut meter = FailureMeter::default();
    for _ in 0..100 {
        meter.record_attempt(AttemptEnd::Answered, now);
        meter.record_attempt(AttemptEnd::Late, now);
        meter.record_failed_call(now);
        meter.record_attempt(AttemptEnd::Error, now);
    }
    expect_that!(meter.failed_percent(now), eq(0));
    for _ in 0..100 {
        meter.record_attempt(AttemptEnd::Error, now);
    }
    expect_that!(meter.failed_percent(now), all!(ge(45), le(50)));
}
