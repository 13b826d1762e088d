//! Regression tests, each with the issue in which the fault was reported.

mod fleet;

use std::net::SocketAddr;

use fleet::{Fleet, zone_name};
use fulmartrestle_core::{TimeUs, VmId};
use fulmartrestle_membership::{
    Incarnation, MemberDelta, MemberRow, MemberState, Membership, MembershipMessage, MembershipSettings, MessageKind,
};
use googletest::prelude::*;

/// Issue 5: two members that did not know each other requested each other's rows endlessly while neither had the
/// budget to answer.
#[gtest]
fn unknown_members_without_budget_do_not_request_rows_endlessly() {
    let settings = MembershipSettings { budget_bytes_per_s: 0, ..MembershipSettings::default() };
    let mut fleet = Fleet::new(2, 1, settings, 1);
    fleet.network.duplication_percent = 20;
    fleet.join_all();
    fleet.run_ms(10_000);
    expect_that!(fleet.bound_violation, none());
}

/// Issue 5: two members that considered each other dead sent each other accusations endlessly.
#[gtest]
fn accusation_is_not_answered_with_an_accusation() {
    let address = SocketAddr::from(([10, 0, 0, 1], 7_000));
    let other = SocketAddr::from(([10, 0, 0, 2], 7_000));
    let row = |vm: u64, peer_address, state| MemberRow {
        vm: VmId(vm),
        incarnation: Incarnation(3),
        zone: zone_name(0),
        peer_address,
        state,
        target: None,
    };
    let mut membership = Membership::new(row(1, address, MemberState::Alive), MembershipSettings::default(), 1);
    let mut message = MembershipMessage {
        from: VmId(2),
        kind: MessageKind::Gossip,
        heartbeats: Vec::new(),
        rumours: vec![fulmartrestle_membership::Rumour::Row(row(2, other, MemberState::Alive))],
        digest: None,
    };
    let now = TimeUs::from_ms(10);
    membership.handle_message(other, message.clone(), now);
    message.rumours = vec![fulmartrestle_membership::Rumour::Row(row(2, other, MemberState::Dead))];
    membership.handle_message(other, message.clone(), now);
    expect_that!(membership.state(VmId(2)), some(eq(MemberState::Dead)));
    expect_that!(membership.take_outgoing(), is_empty());

    message.rumours.clear();
    message.kind = MessageKind::Ping { sequence: 1, subject: VmId(1) };
    membership.handle_message(other, message, now);
    expect_that!(membership.take_outgoing(), len(eq(2)), "an accusation and an acknowledgement");
}

/// Issue 5: a member that missed a refutation kept considering its sender dead, because an accusation that had already
/// been refuted was not answered.
#[gtest]
fn outdated_accusation_is_answered_with_the_current_row() {
    let mut fleet = Fleet::start_joined(3, 1, 1);
    let (own, now) = (fleet.vm(0), fleet.now);
    fleet.nodes[0].membership.set_local_target(None, now);
    fleet.run_ms(10_000);
    expect_that!(fleet.nodes[0].membership.queued_rumours(), eq(0));
    let delta = MemberDelta { vm: own, incarnation: Incarnation(0), state: MemberState::Dead, age_ms: 0 };
    let message = MembershipMessage {
        from: fleet.vm(1),
        kind: MessageKind::Gossip,
        heartbeats: Vec::new(),
        rumours: vec![fulmartrestle_membership::Rumour::Delta(delta)],
        digest: None,
    };
    let (address, now) = (fleet.nodes[1].address, fleet.now);
    fleet.nodes[0].membership.handle_message(address, message, now);
    expect_that!(fleet.nodes[0].membership.queued_rumours(), eq(1));
    let row = fleet.nodes[0].membership.member(own, now);
    expect_that!(row.map(|row| row.incarnation), some(eq(Incarnation(1))));
}
