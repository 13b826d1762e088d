//! Regression tests for faults found by the randomised simulations.

use fulmartrestle_core::{AvailabilityZone, TimeUs, Version, VmId, rendezvous_owner};
use fulmartrestle_quota::{QuotaMember, QuotaMessage, QuotaNode, QuotaSettings};
use googletest::prelude::*;

const TICK_MS: u64 = 10;

fn tick_until(node: &mut QuotaNode, from_ms: u64, until_ms: u64) {
    for ms in (from_ms..until_ms).step_by(TICK_MS as usize) {
        node.tick(TimeUs::from_ms(ms));
    }
}

/// Issue 5: a node that was paused right after its start resumed with a member view that contained
/// only itself, and lent its zone's share a second time (strict_bound, seed 2303, 60,000 steps).
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

/// Runs a node whose zone members acknowledge every lease request at once. Returns the number of ticks
/// in which the node did not lend.
fn count_ticks_without_lending(node: &mut QuotaNode, from_ms: u64, until_ms: u64) -> u64 {
    let mut ticks_without_lending = 0;
    for ms in (from_ms..until_ms).step_by(TICK_MS as usize) {
        let now = TimeUs::from_ms(ms);
        node.tick(now);
        for send in node.take_outgoing() {
            if let QuotaMessage::LeaseRequest { shard, seq, .. } = send.message {
                let ack = QuotaMessage::LeaseAck { shard, seq, recently_started: false, applied_version: Version(0) };
                node.on_message(send.to, ack, now);
            }
        }
        ticks_without_lending += u64::from(node.lending_shards(now).is_empty());
    }
    ticks_without_lending
}

/// Issue 5: in zones with more than 400 members, the next lease renewal came after the deadline by
/// which a new member has to acknowledge, so every join stopped the owner from lending for seconds.
#[gtest]
fn a_join_in_a_large_zone_does_not_stop_the_owner() {
    let zone: AvailabilityZone = "verona".parse().expect("valid zone");
    let member = |id: u64| QuotaMember { vm: VmId(id), zone: zone.clone() };
    let mut view: Vec<QuotaMember> = (1..=1_000).map(member).collect();
    let own = rendezvous_owner("quota/verona/0", view.iter().map(|member| member.vm)).expect("some member");
    let mut node = QuotaNode::new(own, zone.clone(), QuotaSettings::default());
    node.set_members(&view, TimeUs::from_ms(1_000));
    count_ticks_without_lending(&mut node, 1_000, 20_000);
    view.push(member(1_000_000));
    node.set_members(&view, TimeUs::from_ms(20_000));
    expect_that!(count_ticks_without_lending(&mut node, 20_000, 30_000), eq(0));
}
