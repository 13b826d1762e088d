//! Tests the pace of targets and its effect on the choice of a target.

use fulmartrestle_core::{AvailabilityZone, CallId, Service, TimeUs, VmId};
use fulmartrestle_policy::{
    Admission, LoadBalancer, PaceEstimate, QueueEvent, Rank, SlotQueue, SlotRequest, TargetReport,
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOW: TimeUs = TimeUs::from_ms(10_000);

fn service() -> Service {
    "deep".parse().expect("a valid name")
}

fn zone() -> AvailabilityZone {
    "near".parse().expect("a valid name")
}

fn report(hold_us: u32, pace_percent: Option<u32>) -> TargetReport {
    TargetReport {
        service: service(),
        started_unix_ms: 0,
        notices: None,
        instance: "one".to_owned(),
        ready: true,
        limit: 10,
        running: 0,
        waiting: 0,
        hold_us,
        cold: false,
        paced_rate: None,
        pace_percent,
        failed_percent: 0,
    }
}

/// Figures that stand for nothing must not reach the senders as a pace.
#[gtest]
fn pace_is_smoothed_and_forgotten() {
    struct Case {
        name: &'static str,
        /// Figures and the times at which they arrive, in milliseconds.
        figures: &'static [(u64, u32)],
        read_at_ms: u64,
        present_percent: Option<u32>,
    }
    let cases = [
        Case { name: "none", figures: &[], read_at_ms: 0, present_percent: None },
        Case { name: "the first one counts in full", figures: &[(0, 250)], read_at_ms: 10, present_percent: Some(250) },
        Case { name: "a single outlier", figures: &[(0, 100), (5, 250)], read_at_ms: 5, present_percent: Some(105) },
        Case {
            name: "a slow period after its first quarter",
            figures: &[(0, 100), (50, 250), (100, 250), (150, 250)],
            read_at_ms: 150,
            present_percent: Some(195),
        },
        Case { name: "a second old", figures: &[(0, 250)], read_at_ms: 1_001, present_percent: None },
        Case {
            name: "old figures do not count with new ones",
            figures: &[(0, 250), (1_500, 100)],
            read_at_ms: 1_500,
            present_percent: Some(100),
        },
        Case { name: "false, high", figures: &[(0, u32::MAX)], read_at_ms: 0, present_percent: Some(2_000) },
        Case { name: "false, low", figures: &[(0, 0)], read_at_ms: 0, present_percent: Some(10) },
    ];
    for case in cases {
        let mut pace = PaceEstimate::default();
        for (at_ms, percent) in case.figures {
            pace.record_figure(*percent, NOW.plus_ms(*at_ms));
        }
        let read_at = NOW.plus_ms(case.read_at_ms);
        expect_that!(pace.present_percent(read_at), eq(case.present_percent), "{}", case.name);
        expect_that!(pace.relative_percent(read_at), none(), "no call was answered: {}", case.name);
    }
}

/// A target that is slow for good must not be counted as slow twice, by its hold time and by its pace.
#[gtest]
fn pace_is_relative_to_the_calls_in_the_mean_hold_time() {
    let mut pace = PaceEstimate::default();
    for _ in 0..100 {
        pace.record_figure(200, NOW);
        pace.record_answered_call(Some(200), NOW);
    }
    expect_that!(pace.relative_percent(NOW), some(eq(100)));
    pace.record_figure(500, NOW.plus_ms(900));
    expect_that!(pace.relative_percent(NOW.plus_ms(900)), some(eq(250)));
    pace.discard_present();
    expect_that!(pace.relative_percent(NOW.plus_ms(900)), none());
}

/// A false figure changes the share of a target within bounds: it neither empties it nor draws all calls to it.
#[gtest]
fn pace_changes_the_share_of_a_target_within_bounds() {
    struct Case {
        name: &'static str,
        pace_percent: Option<u32>,
        age_ms: u64,
        /// Share of the calls at the target, compared with one of the same hold time.
        share: f64,
    }
    let cases = [
        Case { name: "unknown", pace_percent: None, age_ms: 0, share: 0.5 },
        Case { name: "usual", pace_percent: Some(100), age_ms: 0, share: 0.5 },
        Case { name: "slow", pace_percent: Some(200), age_ms: 0, share: 1.0 / 9.0 },
        Case { name: "slow a while ago", pace_percent: Some(200), age_ms: 300, share: 1.0 / (1.0 + 1.5 * 1.5 * 1.5) },
        Case { name: "false, high", pace_percent: Some(u32::MAX), age_ms: 0, share: 1.0 / 65.0 },
        Case { name: "false, low", pace_percent: Some(0), age_ms: 0, share: 8.0 / 9.0 },
        Case { name: "older than a slow period", pace_percent: Some(u32::MAX), age_ms: 600, share: 0.5 },
    ];
    for case in cases {
        let mut balancer = LoadBalancer::default();
        balancer.record_report(VmId(0), &zone(), Some(report(20_000, case.pace_percent)), NOW);
        balancer.record_report(VmId(1), &zone(), Some(report(20_000, None)), NOW);
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let now = NOW.plus_ms(case.age_ms);
        let mut choose = || balancer.choose_target(&service(), &zone(), &[], &mut rng, now);
        let chosen = (0..4_000).filter(|_| choose() == Some(VmId(0))).count();
        expect_that!(chosen as f64 / 4e3, near(case.share, 0.03), "{}", case.name);
    }
}

const TARGETS: usize = 4;
const SENDERS: usize = 76;
const SLOTS: usize = 24;

/// Time of a call at each target at its usual pace, in milliseconds.
const HOLD_MS: [f64; TARGETS] = [140.0, 200.0, 220.0, 340.0];
const OBJECTIVE_MS: u64 = 500;
const SLOW_FACTOR: f64 = 2.5;

/// A target of the replay, with the parts of its gate that matter.
struct ReplayTarget {
    queue: SlotQueue,
    pace: PaceEstimate,
    /// Work left of the running calls, in milliseconds at the usual pace, and the pace when they started.
    running: Vec<(CallId, f64, Option<u32>)>,
}

/// Result of a replay.
#[derive(Debug, Default)]
struct Replay {
    calls: u32,
    in_time: u32,
    refused: u32,
    /// Largest number of calls at one target.
    max_load: usize,
}

/// Replays calls from [`SENDERS`] nodes to targets of which one at a time is slow, for 600 ms of each second. Reports
/// reach all senders once a second, and the one that sent the call with each response. The result is added to `replay`.
fn replay_slow_periods(calls_per_ms: f64, with_pace: bool, seed: u64, replay: &mut Replay) {
    const DURATION_MS: u64 = 30_000;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut balancers: Vec<LoadBalancer> = (0..SENDERS).map(|_| LoadBalancer::default()).collect();
    let target = |_| ReplayTarget { queue: SlotQueue::new(SLOTS), pace: PaceEstimate::default(), running: Vec::new() };
    let mut targets: Vec<ReplayTarget> = (0..TARGETS).map(target).collect();
    // The sender and the start of each call.
    let mut calls: Vec<(usize, u64)> = Vec::new();
    let mut slow = TARGETS;
    for ms in 0..DURATION_MS {
        let now = TimeUs::from_ms(ms);
        match ms % 1_000 {
            0 => slow = rng.random_range(0..TARGETS),
            600 => slow = TARGETS,
            _ => {}
        }
        for (index, target) in targets.iter_mut().enumerate() {
            let factor = if index == slow { SLOW_FACTOR } else { 1.0 };
            target.running.iter_mut().for_each(|(_, left_ms, _)| *left_ms -= 1.0 / factor);
            let ended: Vec<_> = target.running.extract_if(.., |(_, left_ms, _)| *left_ms <= 0.0).collect();
            let mut receivers = Vec::new();
            for (call, _, started_percent) in ended {
                // The figures of the targets vary from call to call.
                target.pace.record_figure((factor * rng.random_range(85.0..115.0)) as u32, now);
                target.pace.record_answered_call(started_percent, now);
                target.queue.release(call, true, now);
                let (sender, started_ms) = calls[call.0 as usize];
                replay.in_time += u32::from(ms - started_ms <= OBJECTIVE_MS);
                receivers.push(sender);
            }
            for event in target.queue.take_events() {
                match event {
                    QueueEvent::Start(call) => {
                        target.running.push((call, HOLD_MS[index], target.pace.present_percent(now)));
                    }
                    QueueEvent::Drop(..) => replay.refused += 1,
                }
            }
            if ms % 1_000 == index as u64 * 230 {
                receivers = (0..SENDERS).collect();
            }
            let load = target.queue.load();
            let pace_percent = target.pace.relative_percent(now).filter(|_| with_pace);
            let report = TargetReport {
                limit: load.limit,
                running: load.running,
                waiting: load.waiting,
                ..report(load.hold_us, pace_percent)
            };
            for sender in receivers {
                balancers[sender].record_report(VmId(index as u64), &zone(), Some(report.clone()), now);
            }
            replay.max_load = replay.max_load.max((load.running + load.waiting) as usize);
        }
        if ms < 1_000 || rng.random::<f64>() >= calls_per_ms {
            continue;
        }
        let sender = rng.random_range(0..SENDERS);
        let chosen = balancers[sender].choose_target(&service(), &zone(), &[], &mut rng, now);
        let node = chosen.expect("a usable target");
        balancers[sender].record_sent_call(node);
        let index = node.0 as usize;
        let target = &mut targets[index];
        let call = CallId(calls.len() as u64);
        calls.push((sender, ms));
        replay.calls += 1;
        match target.queue.offer(SlotRequest { call, rank: Rank(2), deadline: now.plus_ms(OBJECTIVE_MS * 2) }, now) {
            Admission::Run => target.running.push((call, HOLD_MS[index], target.pace.present_percent(now))),
            Admission::Queued => {}
            Admission::Refused(_) => replay.refused += 1,
        }
    }
}

/// Targets that are slow for 600 ms at a time must receive fewer calls while they are slow, although most reports are
/// older than that, and must not make all senders choose the same other target.
#[gtest]
fn more_calls_end_in_time_if_targets_state_their_pace() {
    struct Case {
        calls_per_ms: f64,
        /// Largest share of calls that end late, compared with the same calls to targets that state no pace.
        late_ratio: f64,
        max_load: usize,
    }
    // The targets can do 0.47 calls per millisecond at their usual pace.
    let cases = [
        Case { calls_per_ms: 0.2, late_ratio: 1.0, max_load: 60 },
        Case { calls_per_ms: 0.3, late_ratio: 0.7, max_load: 65 },
    ];
    for case in cases {
        let replay = |with_pace| {
            let mut replay = Replay::default();
            (0..4).for_each(|seed| replay_slow_periods(case.calls_per_ms, with_pace, seed, &mut replay));
            replay
        };
        let late_share = |replay: &Replay| 1.0 - f64::from(replay.in_time) / f64::from(replay.calls);
        let (with, without) = (replay(true), replay(false));
        let late_ratio = late_share(&with) / late_share(&without);
        expect_that!(late_ratio, le(case.late_ratio), "with {with:?}, without {without:?}");
        expect_that!(with.max_load, le(case.max_load), "{with:?}");
    }
}
