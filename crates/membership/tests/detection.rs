//! Joining, and detection of crashed members in fleets of several sizes.

mod fleet;

use fleet::Fleet;
use fulmartrestle_membership::MemberState;
use googletest::prelude::*;

struct Case {
    name: &'static str,
    nodes: usize,
    zones: usize,
}

const CASES: [Case; 4] = [
    Case { name: "two nodes in one zone", nodes: 2, zones: 1 },
    Case { name: "one node in each of three zones", nodes: 3, zones: 3 },
    Case { name: "12 nodes in three zones", nodes: 12, zones: 3 },
    Case { name: "60 nodes in three zones", nodes: 60, zones: 3 },
];

#[gtest]
fn joined_nodes_see_each_other_as_alive() {
    for case in CASES {
        let fleet = Fleet::start_joined(case.nodes, case.zones, 1);
        for viewer in 0..case.nodes {
            for subject in 0..case.nodes {
                expect_that!(fleet.observed_state(viewer, subject), some(eq(MemberState::Alive)), "{}", case.name);
            }
        }
    }
}

#[gtest]
fn crashed_node_is_not_reachable_within_3_s() {
    for case in CASES {
        for seed in 1..6 {
            let mut fleet = Fleet::start_joined(case.nodes, case.zones, seed);
            fleet.crash(0);
            fleet.run_ms(3_000);
            for viewer in 1..case.nodes {
                let state = fleet.observed_state(viewer, 0);
                let is_unreachable = state.is_some_and(|state| !state.is_reachable());
                expect_that!(is_unreachable, eq(true), "{}, seed {seed}, node {viewer}: {state:?}", case.name);
            }
        }
    }
}
