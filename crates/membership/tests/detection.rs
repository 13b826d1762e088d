//! Crashes, pauses and replacements as the other members see them.

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
    Case { name: "two in one zone", nodes: 2, zones: 1 },
    Case { name: "one in each of three zones", nodes: 3, zones: 3 },
    Case { name: "a small fleet", nodes: 12, zones: 3 },
    Case { name: "a zone's worth", nodes: 60, zones: 3 },
];

#[gtest]
fn joined_nodes_know_each_other() {
    for case in CASES {
        let fleet = Fleet::joined(case.nodes, case.zones, 1);
        for viewer in 0..case.nodes {
            for subject in 0..case.nodes {
                expect_that!(fleet.view(viewer, subject), some(eq(MemberState::Alive)), "{}", case.name);
            }
        }
    }
}

#[gtest]
fn a_crashed_node_is_out_of_use_within_3_s() {
    for case in CASES {
        for seed in 1..6 {
            let mut fleet = Fleet::joined(case.nodes, case.zones, seed);
            fleet.crash(0);
            fleet.run_ms(3_000);
            for viewer in 1..case.nodes {
                let state = fleet.view(viewer, 0);
                let is_out = state.is_some_and(|state| !state.is_reachable());
                expect_that!(is_out, eq(true), "{}, seed {seed}, node {viewer}: {state:?}", case.name);
            }
        }
    }
}
