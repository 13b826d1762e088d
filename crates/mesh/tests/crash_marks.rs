//! Tests the exchange of crash marks between nodes.

use fulmartrestle_core::{CallId, Fingerprint, TimeUs, VmId};
use fulmartrestle_mesh::CrashMarkLog;
use fulmartrestle_policy::{AnsweredRequests, CrashEvidence, CrashMark, CrashTable};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SENDER: VmId = VmId(1);
const NOW: TimeUs = TimeUs::from_s(100);

fn mark(request: u64, target: VmId) -> CrashMark {
    CrashMark {
        fingerprint: Fingerprint(request),
        target,
        attempt: CallId(request),
        age_ms: 0,
        evidence: CrashEvidence::Conclusive,
    }
}

#[gtest]
fn every_crash_reaches_a_node_that_loses_messages() {
    for seed in 0..50 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut log = CrashMarkLog::default();
        let mut receiver = CrashTable::default();
        let (mut received, mut confirmed) = (0, 0);
        for step in 0..400 {
            let now = NOW.plus_ms(step * 40);
            if step < 50 {
                let foreign = mark(1_000 + step, VmId(2));
                log.append(SENDER, vec![mark(step, SENDER), foreign], now);
            }
            let notices = log.notices_from(confirmed, now);
            if rng.random_bool(0.5) {
                continue;
            }
            received = received.max(notices.end());
            for mark in notices.marks(SENDER) {
                receiver.merge_mark(mark, now);
            }
            // The receiver's run ends once, and what it had confirmed no longer counts.
            if step == 200 {
                receiver = CrashTable::default();
                received = 0;
            }
            if rng.random_bool(0.5) || step == 200 {
                confirmed = received;
            }
        }
        assert_that!(receiver.len(), eq(50), "seed {seed}");
    }
}

#[gtest]
fn one_message_carries_a_bounded_number_of_crashes() {
    let mut log = CrashMarkLog::default();
    log.append(SENDER, (0..10_000).map(|request| mark(request, SENDER)).collect(), NOW);
    let notices = log.notices_from(0, NOW);
    assert_that!(notices.notices.len(), all!(ge(1), le(48)));
    // The oldest ones were dropped from the bounded log.
    assert_that!(notices.first, eq(10_000 - 4_096));
    assert_that!(log.notices_from(10_000, NOW).notices, is_empty());
}

#[gtest]
fn answered_requests_are_remembered_for_one_run_and_bounded() {
    let mut answered = AnsweredRequests::default();
    answered.record(Fingerprint(0));
    assert_that!(answered.contains(Fingerprint(0)), eq(true));
    for request in 1..=1_024 {
        answered.record(Fingerprint(request));
        answered.record(Fingerprint(request));
    }
    assert_that!(answered.contains(Fingerprint(0)), eq(false));
    assert_that!(answered.contains(Fingerprint(1)), eq(true));
    answered.clear();
    assert_that!(answered.contains(Fingerprint(1)), eq(false));
}
