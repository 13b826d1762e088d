//! Tests what a node concludes from the silence of others, when it was paused itself or has just started.

use std::net::SocketAddr;

use fulmartrestle_core::TimeUs;
use fulmartrestle_mesh::{PeerTable, Registration};
use googletest::prelude::*;

const START: TimeUs = TimeUs(1_000_000_000);

fn table() -> PeerTable {
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let mut peers = PeerTable::default();
    peers.register(&[1, 2].map(|port| Registration { address: address(port), zone: None }), START);
    peers
}

/// Guards against a node that goes on after a long pause, takes all others for gone and removes their registrations while
/// they serve.
#[gtest]
fn registrations_of_others_outlive_a_pause_of_this_process() {
    struct Case {
        name: &'static str,
        /// When a timer was due, and when it ran.
        timer_ms: (u64, u64),
        now_ms: u64,
        expired: usize,
    }
    let cases = [
        Case { name: "silent for too long", timer_ms: (59_000, 59_010), now_ms: 60_000, expired: 2 },
        Case { name: "own pause", timer_ms: (1_000, 90_000), now_ms: 90_000, expired: 0 },
        Case { name: "silent after the pause, too", timer_ms: (1_000, 90_000), now_ms: 150_000, expired: 2 },
        Case { name: "busy processor", timer_ms: (59_000, 60_500), now_ms: 60_500, expired: 2 },
    ];
    for case in cases {
        let mut peers = table();
        peers.observe_timer(START.plus_ms(case.timer_ms.0), START.plus_ms(case.timer_ms.1));
        let expired = peers.expired_registrations(START.plus_ms(case.now_ms));
        expect_that!(expired.len(), eq(case.expired), "{}", case.name);
    }
}

/// Guards against a node that takes the version in the store for the newest before another node could say otherwise.
#[gtest]
fn versions_are_not_known_right_after_the_start() {
    for (after_start_ms, expected) in [(0, false), (1_499, false), (1_500, true)] {
        let knows = table().knows_versions(START, START.plus_ms(after_start_ms));
        expect_that!(knows, eq(expected), "{after_start_ms} ms");
    }
}
