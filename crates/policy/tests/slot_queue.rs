//! Tests the slots of a target and the queue in front of them.

use fulmartrestle_core::{CallId, Reason, TimeUs};
use fulmartrestle_policy::{Admission, QueueEvent, Rank, SlotQueue, SlotRequest};
use googletest::prelude::*;

const HOLD_MS: u64 = 20;

fn request(call: u64, rank: Rank, deadline_ms: u64) -> SlotRequest {
    SlotRequest { call: CallId(call), rank, deadline: TimeUs::from_ms(deadline_ms) }
}

/// Returns a queue whose slots are all in use and whose mean hold time is [`HOLD_MS`]: calls `0..limit`
/// have been running since 1,000 ms.
fn full_queue(limit: usize) -> SlotQueue {
    let mut queue = SlotQueue::new(limit);
    for _ in 0..100 {
        queue.offer(request(1_000, Rank(2), 9_000), TimeUs::from_ms(0));
        queue.release(CallId(1_000), true, TimeUs::from_ms(HOLD_MS));
    }
    for call in 0..limit as u64 {
        queue.offer(request(call, Rank(2), 9_000), TimeUs::from_ms(1_000));
    }
    queue
}

#[gtest]
fn the_most_urgent_waiting_call_starts_first() {
    struct Case {
        name: &'static str,
        ranks: Vec<u32>,
        starts: Vec<u64>,
    }
    let cases = [
        Case { name: "in order of arrival", ranks: vec![4, 4, 4], starts: vec![10, 11, 12] },
        Case { name: "by urgency", ranks: vec![8, 2, 4], starts: vec![11, 12, 10] },
        Case { name: "calls before new requests", ranks: vec![4, 3], starts: vec![11, 10] },
    ];
    for case in cases {
        let mut queue = full_queue(1);
        for (index, rank) in case.ranks.iter().enumerate() {
            let offered = queue.offer(request(10 + index as u64, Rank(*rank), 9_000), TimeUs::from_ms(1_000));
            expect_that!(offered, eq(Admission::Queued), "{}", case.name);
        }
        let mut ended = 0;
        for start in case.starts {
            queue.release(CallId(ended), true, TimeUs::from_ms(1_020));
            expect_that!(queue.take_events(), eq(&vec![QueueEvent::Start(CallId(start))]), "{}", case.name);
            ended = start;
        }
    }
}

#[gtest]
fn calls_that_would_wait_too_long_are_refused_with_retry_after() {
    struct Case {
        name: &'static str,
        waiting: u64,
        remaining_ms: u64,
        queued: bool,
    }
    let cases = [
        Case { name: "short wait", waiting: 0, remaining_ms: 500, queued: true },
        Case { name: "wait longer than a third of the time left", waiting: 0, remaining_ms: 50, queued: false },
        Case { name: "long queue", waiting: 7, remaining_ms: 400, queued: false },
        Case { name: "long queue, long deadline", waiting: 7, remaining_ms: 5_000, queued: true },
    ];
    for case in cases {
        let mut queue = full_queue(1);
        for call in 0..case.waiting {
            queue.offer(request(10 + call, Rank(4), 9_000), TimeUs::from_ms(1_000));
        }
        let offered = queue.offer(request(99, Rank(4), 1_000 + case.remaining_ms), TimeUs::from_ms(1_000));
        match offered {
            Admission::Queued => expect_that!(case.queued, eq(true), "{}", case.name),
            Admission::Refused(refusal) => {
                expect_that!(case.queued, eq(false), "{}", case.name);
                expect_that!(refusal.reason, eq(Reason::Shed));
                expect_that!(refusal.retry_after_ms, some(ge(100)));
            }
            Admission::Run => fail!("{}: ran on a full target", case.name).and_log_failure(),
        }
    }
}

#[gtest]
fn a_full_queue_drops_its_least_urgent_call_for_a_more_urgent_one() {
    let mut queue = full_queue(1);
    for call in 0..8 {
        queue.offer(request(10 + call, Rank(4), 900_000), TimeUs::from_ms(1_000));
    }
    let same_rank = queue.offer(request(50, Rank(4), 900_000), TimeUs::from_ms(1_000));
    assert_that!(same_rank, matches_pattern!(Admission::Refused(anything())));
    assert_that!(queue.offer(request(51, Rank(2), 900_000), TimeUs::from_ms(1_000)), eq(Admission::Queued));
    let events = queue.take_events();
    assert_that!(events, elements_are![matches_pattern!(QueueEvent::Drop(eq(&CallId(17)), anything()))]);
}

#[gtest]
fn a_waiting_call_that_is_cancelled_never_starts() {
    let mut queue = full_queue(1);
    queue.offer(request(10, Rank(4), 9_000), TimeUs::from_ms(1_000));
    queue.release(CallId(10), false, TimeUs::from_ms(1_001));
    queue.release(CallId(0), true, TimeUs::from_ms(1_020));
    assert_that!(queue.take_events(), is_empty());
    assert_that!(queue.is_idle(), eq(true));
}
