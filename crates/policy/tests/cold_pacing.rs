//! Tests the pacing of calls to a cold target, in virtual time.

use std::collections::VecDeque;

use fulmartrestle_core::{CallId, RateMilliPerS, TimeUs};
use fulmartrestle_policy::{Admission, ColdLimit, QueueEvent, Rank, SlotQueue, SlotRequest};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SLOTS: usize = 40;
const STEP_US: u64 = 1_000;
const HOLD_US: u64 = 30_000;
const RUN_S: u64 = 20;

/// Longest time from a start to the moment of sending, and from there to the target, unless the node is paused.
const MAX_DELAY_US: u64 = 25_000;

/// A target that is warm at first, and turns cold at [`Replay::cold_at`].
struct Replay {
    name: &'static str,
    cold_per_s: f64,
    overage: f64,
    slack: f64,
    offered_per_s: f64,
    max_rate: Option<RateMilliPerS>,
    cold_at: TimeUs,
    /// Time in which the node does not run, in milliseconds from the start.
    paused_ms: std::ops::Range<u64>,
    /// Time in which the node runs, but no call gets a connection to the target.
    stalled_ms: std::ops::Range<u64>,
}

/// Returns the times at which the target received calls, those before it turned cold included.
fn run(replay: &Replay, seed: u64) -> Vec<TimeUs> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let limit = ColdLimit::new(RateMilliPerS((replay.cold_per_s * 1e3) as u64), replay.overage, replay.slack);
    let mut queue = SlotQueue::new(SLOTS);
    queue.set_max_rate(replay.max_rate, TimeUs::default());
    let mut started: VecDeque<(TimeUs, CallId)> = VecDeque::new();
    let mut running: VecDeque<(TimeUs, CallId)> = VecDeque::new();
    let mut received = Vec::new();
    for step in 0..RUN_S * 1_000_000 / STEP_US {
        let now = TimeUs(step * STEP_US);
        if replay.paused_ms.contains(&(now.0 / 1_000)) {
            continue;
        }
        queue.set_cold_limit(Some(limit), now >= replay.cold_at, now);
        while let Some(&(end, call)) = running.front()
            && end <= now
        {
            running.pop_front();
            queue.release(call, true, now);
        }
        if rng.random_bool((replay.offered_per_s * STEP_US as f64 / 1e6).min(1.0)) {
            let request = SlotRequest { call: CallId(step), rank: Rank(1), deadline: now.plus_ms(3_000) };
            if queue.offer(request, now) == Admission::Run {
                started.push_back((now.plus_us(rng.random_range(0..MAX_DELAY_US)), request.call));
            }
        }
        queue.start_waiting(now);
        for event in queue.take_events() {
            if let QueueEvent::Start(call) = event {
                started.push_back((now.plus_us(rng.random_range(0..MAX_DELAY_US)), call));
            }
        }
        started.retain(|&(ready_at, call)| {
            let has_connection = ready_at <= now && !replay.stalled_ms.contains(&(now.0 / 1_000));
            let sends = has_connection && queue.confirm_start(call, now);
            if sends {
                received.push(now.plus_us(rng.random_range(0..MAX_DELAY_US)));
                running.push_back((now.plus_us(HOLD_US), call));
            }
            !sends
        });
    }
    received.sort();
    received
}

/// Returns the most calls in a span of one second of which the last one is received when the target is cold.
fn most_in_one_second(received: &[TimeUs], cold_at: TimeUs) -> usize {
    let ends = received.iter().enumerate().filter(|(_, end)| **end >= cold_at.plus_us(MAX_DELAY_US));
    ends.map(|(index, end)| {
        received[..=index].iter().rev().take_while(|time| end.us_since(**time) <= 1_000_000).count()
    })
    .max()
    .unwrap_or_default()
}

/// Guards against a burst that crashes a cold target: from unused tokens, from calls that started while it was warm, or
/// from calls that were held up by a pause of the node.
#[gtest]
fn cold_target_never_receives_more_than_the_bound_in_any_second() {
    let usual = || Replay {
        name: "cold from the start",
        cold_per_s: 7.5,
        overage: 1.5,
        slack: 8.0,
        offered_per_s: 200.0,
        max_rate: None,
        cold_at: TimeUs::default(),
        paused_ms: 0..0,
        stalled_ms: 0..0,
    };
    let replays = [
        usual(),
        Replay { name: "turns cold under load", cold_at: TimeUs::from_ms(5_333), ..usual() },
        Replay { name: "turns cold after little load", offered_per_s: 4.0, cold_at: TimeUs::from_s(8), ..usual() },
        Replay { name: "node paused while cold", paused_ms: 6_000..9_500, ..usual() },
        Replay {
            name: "node paused while the target turns cold",
            cold_at: TimeUs::from_s(7),
            paused_ms: 6_990..7_800,
            ..usual()
        },
        Replay { name: "connections stall", stalled_ms: 6_000..9_000, ..usual() },
        Replay { name: "names a lower rate", max_rate: Some(RateMilliPerS(3_000)), ..usual() },
        Replay { name: "names a higher rate", max_rate: Some(RateMilliPerS(90_000)), ..usual() },
        Replay { name: "fast", cold_per_s: 60.0, overage: 1.2, ..usual() },
        Replay { name: "slow", cold_per_s: 0.8, overage: 1.2, slack: 3.0, ..usual() },
        Replay { name: "no slack", overage: 1.0, slack: 0.0, ..usual() },
    ];
    for replay in &replays {
        for seed in 0..8 {
            let received = run(replay, seed);
            let bound = replay.cold_per_s * replay.overage + replay.slack;
            let most = most_in_one_second(&received, replay.cold_at) as f64;
            expect_that!(most, le(bound - 2.0), "{}, seed {seed}", replay.name);
            // The rate is used, or no target would ever become warm.
            let idle_ms = replay.paused_ms.clone().count() + replay.stalled_ms.clone().count();
            let cold_s = RUN_S as f64 - replay.cold_at.0 as f64 / 1e6 - idle_ms as f64 / 1e3;
            let rate = (replay.cold_per_s * replay.overage).min(bound - 2.0).min(replay.offered_per_s);
            let rate = replay.max_rate.map_or(rate, |max_rate| rate.min(max_rate.0 as f64 / 1e3));
            let while_cold = received.iter().filter(|time| **time >= replay.cold_at).count() as f64;
            expect_that!(while_cold, ge((rate * (cold_s - 2.0) * 0.8).floor()), "{}, seed {seed}", replay.name);
        }
    }
}

/// Guards against a queue that takes calls which then wait for the rest of the second after a target turned cold.
#[gtest]
fn calls_are_refused_while_the_window_of_a_target_that_turned_cold_is_full() {
    let limit = ColdLimit::new(RateMilliPerS(7_500), 1.5, 8.0);
    let mut queue = SlotQueue::new(SLOTS);
    let now = TimeUs::from_s(5);
    let offer = |queue: &mut SlotQueue, call, deadline_ms, now: TimeUs| {
        queue.offer(SlotRequest { call: CallId(call), rank: Rank(1), deadline: now.plus_ms(deadline_ms) }, now)
    };
    queue.set_cold_limit(Some(limit), false, now);
    for call in 0..30 {
        assert_that!(offer(&mut queue, call, 1_000, now), eq(Admission::Run));
    }
    assert_that!(queue.paced_rate(), none());
    queue.set_cold_limit(Some(limit), true, now);
    assert_that!(queue.paced_rate(), some(eq(RateMilliPerS(11_250))));
    assert_that!(offer(&mut queue, 30, 1_000, now), matches_pattern!(Admission::Refused(_)));
    assert_that!(offer(&mut queue, 31, 10_000, now), eq(Admission::Queued));
    // Calls that started while the target was warm and were not sent yet need a start of their own.
    assert_that!(queue.confirm_start(CallId(3), now), eq(false));
    assert_that!(queue.next_start_at(), some(eq(now.plus_ms(1_100))));
    queue.set_cold_limit(Some(limit), false, now.plus_ms(10));
    assert_that!(queue.take_events(), elements_are![eq(&QueueEvent::Start(CallId(31)))]);
    assert_that!(queue.confirm_start(CallId(3), now.plus_ms(10)), eq(true));
}
