//! Faults that were found in randomised runs.

use fulmartrestle_core::{TimeUs, VmId};
use fulmartrestle_quota::{QuotaNode, QuotaSettings};
use googletest::prelude::*;

const TICK_MS: u64 = 10;

fn tick_until(node: &mut QuotaNode, from_ms: u64, until_ms: u64) {
    for ms in (from_ms..until_ms).step_by(TICK_MS as usize) {
        node.tick(TimeUs::from_ms(ms));
    }
}

/// Issue 5: a node that was paused right after its start woke up with a view of itself alone and
/// lent its zone's share a second time (strict_bound, seed 2303, 60,000 steps).
#[gtest]
fn a_node_paused_at_its_start_waits_for_its_member_view() {
    let zone = "verona".parse().expect("valid zone");
    let mut node = QuotaNode::new(VmId(7), zone, QuotaSettings::default());
    node.set_members(&[], TimeUs::from_ms(1_000));
    tick_until(&mut node, 1_000, 1_100);
    tick_until(&mut node, 10_000, 12_500);
    expect_that!(node.lending_shards(TimeUs::from_ms(12_490)), is_empty());
    tick_until(&mut node, 12_500, 19_000);
    expect_that!(node.lending_shards(TimeUs::from_ms(18_990)), not(is_empty()));
}
