//! Tests the pacing of calls to a target that names a maximum rate, in virtual time.

use std::collections::VecDeque;

use fulmartrestle_core::{CallId, RateMilliPerS, TimeUs};
use fulmartrestle_policy::{Admission, QueueEvent, Rank, SlotQueue, SlotRequest};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SLOTS: usize = 40;
const STEP_US: u64 = 2_000;
const RUN_S: u64 = 30;

/// Length of the windows in which starts are counted, in seconds.
const WINDOW_S: u64 = 4;

/// Offers calls for [`RUN_S`] seconds and returns the times at which calls started.
fn run_calls(queue: &mut SlotQueue, offered_per_s: f64, hold_us: u64, seed: u64) -> Vec<TimeUs> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut ends: VecDeque<(TimeUs, CallId)> = VecDeque::new();
    let mut starts = Vec::new();
    for step in 0..RUN_S * 1_000_000 / STEP_US {
        let now = TimeUs(step * STEP_US);
        while let Some(&(end, call)) = ends.front()
            && end <= now
        {
            ends.pop_front();
            queue.release(call, true, now);
        }
        if rng.random_bool((offered_per_s * STEP_US as f64 / 1e6).min(1.0)) {
            let request = SlotRequest { call: CallId(step), rank: Rank(1), deadline: now.plus_ms(2_000) };
            if queue.offer(request, now) == Admission::Run {
                starts.push(now);
                ends.push_back((now.plus_us(hold_us), request.call));
            }
        }
        if queue.next_start_at().is_some_and(|next| next <= now) {
            queue.start_waiting(now);
        }
        for event in queue.take_events() {
            if let QueueEvent::Start(call) = event {
                starts.push(now);
                ends.push_back((now.plus_us(hold_us), call));
            }
        }
    }
    starts
}

fn most_in_window(starts: &[TimeUs]) -> usize {
    let in_window = |first: &TimeUs| {
        let end = first.plus_ms(WINDOW_S * 1_000);
        starts.iter().filter(|start| **start >= *first && **start < end).count()
    };
    starts.iter().map(in_window).max().unwrap_or_default()
}

#[gtest]
fn calls_start_as_often_as_the_maximum_rate_allows() {
    for (seed, max_rate_milli) in [0, 300, 1_000, 9_400, 25_000, 80_000].into_iter().enumerate() {
        let mut queue = SlotQueue::new(SLOTS);
        queue.set_max_rate(Some(RateMilliPerS(max_rate_milli)), TimeUs::default());
        let starts = run_calls(&mut queue, 150.0, 160_000, seed as u64);
        let per_s = max_rate_milli as f64 / 1e3;
        let allowed = per_s * WINDOW_S as f64 * 1.5 + 5.0;
        expect_that!(most_in_window(&starts) as f64, le(allowed), "at most, {per_s} per second");
        // The rate is used, and a target that takes nothing is still asked from time to time.
        let expected = per_s.max(0.2) * RUN_S as f64 * 0.9;
        expect_that!(starts.len() as f64, ge(expected.floor()), "at least, {per_s} per second");
    }
}

#[gtest]
fn rate_that_is_lifted_no_longer_binds() {
    let now = TimeUs::from_s(1);
    let mut queue = SlotQueue::new(SLOTS);
    let offer = |queue: &mut SlotQueue, call| {
        queue.offer(SlotRequest { call: CallId(call), rank: Rank(1), deadline: now.plus_ms(5_000) }, now)
    };
    queue.set_max_rate(Some(RateMilliPerS(2_000)), now);
    assert_that!(offer(&mut queue, 0), eq(Admission::Run));
    assert_that!(offer(&mut queue, 1), eq(Admission::Queued));
    assert_that!(queue.next_start_at(), some(eq(now.plus_ms(500))));
    queue.set_max_rate(None, now);
    assert_that!(queue.take_events(), elements_are![eq(&QueueEvent::Start(CallId(1)))]);
    assert_that!(offer(&mut queue, 2), eq(Admission::Run));
    assert_that!(queue.next_start_at(), none());
}

#[gtest]
fn load_names_the_slots_that_the_maximum_rate_uses() {
    let mut queue = SlotQueue::new(SLOTS);
    run_calls(&mut queue, 150.0, 400_000, 1);
    assert_that!(queue.load().usable, eq(SLOTS as u32));
    queue.set_max_rate(Some(RateMilliPerS(9_400)), TimeUs::from_s(RUN_S));
    // 9.4 calls a second that hold a slot for 0.4 s each.
    assert_that!(queue.load().usable, eq(4));
    assert_that!(queue.load().limit, eq(SLOTS as u32));
}
