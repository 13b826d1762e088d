//! Dissemination of rows, targets, broadcasts and digests, and handling of unreachable zones and replaced members.

mod fleet;

use fleet::{Fleet, zone_name};
use fulmartrestle_core::{AvailabilityZone, VmId};
use fulmartrestle_membership::{MemberState, MembershipError, MembershipMessage, MembershipSettings, TargetInfo};
use googletest::prelude::*;

fn target(slots: u32) -> TargetInfo {
    let service = "lineage".parse().unwrap_or_else(|error| panic!("{error}"));
    TargetInfo { service, slots, connections: 1_200, warm_up_ms: 500, leaving: false, age_ms: 7_000 }
}

fn count_nodes(fleet: &Fleet, predicate: impl Fn(usize) -> bool) -> usize {
    (0..fleet.nodes.len()).filter(|index| predicate(*index)).count()
}

#[gtest]
fn target_and_its_age_reach_all_nodes_within_a_second() {
    let mut fleet = Fleet::start_joined(30, 3, 1);
    let (vm, now) = (fleet.vm(4), fleet.now);
    fleet.nodes[4].membership.set_local_target(Some(target(180)), now);
    fleet.run_ms(1_000);
    let observed_target =
        |viewer: usize| fleet.nodes[viewer].membership.member(vm, fleet.now).and_then(|row| row.target);
    let has_target = |viewer| {
        observed_target(viewer).is_some_and(|target| target.slots == 180 && (7_900..8_100).contains(&target.age_ms))
    };
    expect_that!(count_nodes(&fleet, has_target), eq(30));
}

#[gtest]
fn leaving_state_reaches_all_nodes_within_two_seconds_and_survives_a_suspicion() {
    let mut fleet = Fleet::start_joined(30, 3, 2);
    let now = fleet.now;
    fleet.nodes[4].membership.leave(now);
    fleet.run_ms(2_000);
    expect_that!(count_nodes(&fleet, |viewer| fleet.observed_state(viewer, 4) == Some(MemberState::Leaving)), eq(30));
    fleet.pause(4, 1_500);
    fleet.run_ms(6_000);
    expect_that!(count_nodes(&fleet, |viewer| fleet.observed_state(viewer, 4) == Some(MemberState::Leaving)), eq(30));
}

#[gtest]
fn paused_member_refutes_its_death_after_resuming() {
    let mut fleet = Fleet::start_joined(30, 3, 3);
    let incarnation =
        |fleet: &Fleet| fleet.nodes[0].membership.member(fleet.vm(4), fleet.now).map(|row| row.incarnation);
    let before = incarnation(&fleet);
    fleet.pause(4, 60_000);
    fleet.run_ms(5_000);
    expect_that!(count_nodes(&fleet, |viewer| fleet.observed_state(viewer, 4) == Some(MemberState::Dead)), eq(29));
    fleet.run_ms(58_000);
    expect_that!(count_nodes(&fleet, |viewer| fleet.observed_state(viewer, 4) == Some(MemberState::Alive)), eq(30));
    expect_that!(count_nodes(&fleet, |subject| fleet.observed_state(4, subject) == Some(MemberState::Alive)), eq(30));
    expect_that!(incarnation(&fleet), gt(before));
}

#[gtest]
fn replaced_vm_is_a_new_member_and_the_old_one_is_dead() {
    let mut fleet = Fleet::start_joined(30, 3, 4);
    let old = fleet.vm(4);
    fleet.restart(4);
    fleet.run_ms(2_000);
    let is_replaced = |viewer: usize| {
        let old_state = fleet.nodes[viewer].membership.state(old);
        fleet.observed_state(viewer, 4) == Some(MemberState::Alive)
            && old_state.is_none_or(|state| state == MemberState::Dead)
    };
    expect_that!(count_nodes(&fleet, is_replaced), eq(30));
}

#[gtest]
fn partitioned_zone_is_unreachable_and_returns_with_the_same_incarnations() {
    let mut fleet = Fleet::start_joined(30, 3, 5);
    fleet.network.partitions = vec![(0, 1), (0, 2)];
    fleet.run_ms(3_000);
    let zone_0 = zone_name(0);
    let reaches_zone = |fleet: &Fleet, viewer: usize| fleet.nodes[viewer].membership.is_zone_reachable(&zone_0);
    expect_that!(count_nodes(&fleet, |viewer| fleet.nodes[viewer].zone != 0 && reaches_zone(&fleet, viewer)), eq(0));
    expect_that!(fleet.observed_state(1, 0), some(eq(MemberState::Unreachable)));
    expect_that!(fleet.nodes[1].membership.reachable_in_zone(&zone_0), is_empty());
    expect_that!(fleet.nodes[0].membership.reachable_in_zone(&zone_0), len(eq(10)));

    let changed_target = TargetInfo { slots: 9, ..target(9) };
    let now = fleet.now;
    fleet.nodes[3].membership.set_local_target(Some(changed_target), now);
    fleet.run_ms(3_600_000 / 10);
    fleet.network.partitions.clear();
    fleet.run_ms(3_000);
    expect_that!(count_nodes(&fleet, |viewer| reaches_zone(&fleet, viewer)), eq(30));
    expect_that!(fleet::invariants::check_agreement(&fleet), ok(eq(&())));
}

#[gtest]
fn zone_is_removed_after_a_long_partition_and_rejoins_without_refutations() {
    let settings = MembershipSettings { dead_retention_ms: 30_000, ..MembershipSettings::default() };
    let mut fleet = Fleet::new(12, 3, settings, 11);
    fleet.join_all();
    fleet.run_ms(10_000);
    fleet.nodes[1].membership.take_changes(fleet.now);
    fleet.network.partitions = vec![(0, 1), (0, 2)];
    fleet.run_ms(60_000);
    expect_that!(fleet.observed_state(1, 0), none());
    let now = fleet.now;
    let changes = fleet.nodes[1].membership.take_changes(now);
    let dead = changes.iter().filter(|change| change.row.state == MemberState::Dead).count();
    expect_that!(dead, eq(4));

    let incarnation =
        |fleet: &Fleet| fleet.nodes[0].membership.member(fleet.vm(0), fleet.now).map(|row| row.incarnation);
    let before = incarnation(&fleet);
    fleet.network.partitions.clear();
    (0..12).for_each(|index| fleet.join(index));
    fleet.run_ms(20_000);
    expect_that!(fleet::invariants::check_agreement(&fleet), ok(eq(&())));
    expect_that!(incarnation(&fleet), eq(before));
}

#[gtest]
fn partition_between_two_zones_leaves_both_reachable_through_the_third() {
    let mut fleet = Fleet::start_joined(30, 3, 6);
    fleet.network.partitions = vec![(0, 1)];
    fleet.run_ms(20_000);
    let all_alive =
        |viewer: usize| (0..30).all(|subject| fleet.observed_state(viewer, subject) == Some(MemberState::Alive));
    expect_that!(count_nodes(&fleet, all_alive), eq(30));
}

#[gtest]
fn broadcast_is_delivered_once_and_replaced_by_a_newer_one() {
    let mut fleet = Fleet::start_joined(30, 3, 7);
    let now = fleet.now;
    let send = |fleet: &mut Fleet, bytes: &[u8]| {
        fleet.nodes[2].membership.broadcast(1, 77, bytes.to_vec(), now).unwrap_or_else(|error| panic!("{error}"));
    };
    send(&mut fleet, b"old");
    send(&mut fleet, b"new");
    fleet.network.duplication_percent = 30;
    fleet.run_ms(3_000);
    for index in (0..30).filter(|index| *index != 2) {
        let received = fleet.nodes[index].membership.take_broadcasts();
        let bytes: Vec<_> = received.iter().map(|broadcast| broadcast.bytes.as_slice()).collect();
        expect_that!(bytes, elements_are![eq(&b"new".as_slice())], "node {index}");
    }
    expect_that!(fleet.nodes[2].membership.take_broadcasts(), is_empty());
}

#[gtest]
fn digest_is_piggybacked_and_limited_in_size() {
    let mut fleet = Fleet::start_joined(6, 3, 8);
    let vm = fleet.vm(0);
    expect_that!(fleet.nodes[0].membership.set_piggybacked_digest(vec![1, 2, 3]), ok(anything()));
    let too_long = fleet.nodes[0].membership.set_piggybacked_digest(vec![0; 97]);
    expect_that!(too_long, err(eq(&MembershipError::PayloadTooLong(97, 96))));
    fleet.run_ms(3_000);
    let digests = fleet.nodes[3].membership.take_peer_digests();
    expect_that!(digests.iter().any(|digest| digest.vm == vm && digest.bytes == [1, 2, 3]), eq(true));
}

#[gtest]
fn eight_members_of_each_zone_keep_a_join_record() {
    let mut fleet = Fleet::start_joined(90, 3, 9);
    let now = fleet.now;
    let owners =
        count_nodes(&fleet, |index| fleet.nodes[index].membership.needs_join_record(now.plus_ms(2_000_000), 3_600_000));
    expect_that!(owners, eq(24));
    fleet.nodes.iter_mut().for_each(|node| node.membership.mark_join_record_appended(now));
    let due =
        |retention_ms| count_nodes(&fleet, |index| fleet.nodes[index].membership.needs_join_record(now, retention_ms));
    expect_that!(due(3_600_000), eq(0));
}

#[gtest]
fn invalid_datagrams_are_rejected() {
    let cases: [(&str, Vec<u8>); 4] = [
        ("empty", vec![]),
        ("text", b"GET / HTTP/1.1".to_vec()),
        ("zeros", vec![0; 1_400]),
        ("ones", vec![255; 1_400]),
    ];
    for (name, bytes) in cases {
        expect_that!(MembershipMessage::decode(&bytes).is_err(), eq(true), "{name}");
    }
}

#[gtest]
fn single_node_is_reachable_in_its_zone_but_the_zone_is_not() {
    let fleet = Fleet::new(1, 1, MembershipSettings::default(), 10);
    let own: VmId = fleet.vm(0);
    let zone: AvailabilityZone = zone_name(0);
    expect_that!(fleet.nodes[0].membership.reachable_in_zone(&zone), elements_are![eq(&own)]);
    expect_that!(fleet.nodes[0].membership.is_zone_reachable(&zone), eq(false));
}
