//! Tests the status messages between nodes: what they leave out, and how a node completes them.

use std::net::SocketAddr;

use fulmartrestle_core::{TimeUs, Version, VmId};
use fulmartrestle_mesh::{
    CallerLimits, IndexedArrivals, IndexedDemand, MeshConfig, NodeIdentity, NodeStatus, PeerTable, Registration, Route,
    StatusMessage, TargetLoad, TargetPhase, index_arrivals, index_demand,
};
use fulmartrestle_policy::{DemandReport, Rank, RouteArrivals, RouteDemand};
use fulmartrestle_transport::encode;
use googletest::prelude::*;

/// Largest usual status message without names, in bytes. At 95 nodes in five zones, messages of 310 bytes were seven
/// tenths of all traffic between zones; the target is less than half of that.
const MAX_USUAL_MESSAGE_BYTES: usize = 130;

const START: TimeUs = TimeUs::from_s(1_000);

fn address() -> SocketAddr {
    "10.0.0.7:7000".parse().expect("an address")
}

fn identity(zone: &str) -> NodeIdentity {
    NodeIdentity {
        zone: zone.parse().expect("a valid name"),
        service: "trips".parse().ok(),
        instance: "i-7f3a91c2".to_owned(),
        started_unix_ms: 1_700_000_000_000,
    }
}

/// Returns a message of a node with four routes that carry requests.
fn message(node: u64, stamp: TimeUs, echo: Option<TimeUs>) -> StatusMessage {
    let load = TargetLoad {
        phase: TargetPhase::Warm,
        limit: 16,
        running: 12,
        waiting: 3,
        hold_us: 480_000,
        notices: Some(Default::default()),
        paced_rate: None,
        pace_percent: Some(240),
        failed_percent: 0,
    };
    let demand = |route: u32| IndexedDemand { route, slots_milli: 6_400 };
    let arrivals = |route: u32| IndexedArrivals { route, rank: Rank(518), offered_milli: 5_600, admitted_milli: 4_900 };
    StatusMessage {
        node: VmId(node),
        identity: None,
        target: Some(load),
        capacity_milli: Some(14_720),
        demand: (0..4).map(demand).collect(),
        arrivals: (0..4).map(arrivals).collect(),
        version: Version(48),
        config_age_ms: Some(900),
        reaches_store: true,
        stamp_us: stamp.0,
        echo_us: echo.map(|echo| echo.0),
        leased: Default::default(),
        issued: Default::default(),
        leaving: false,
        crashes: Default::default(),
        crashes_received: 0,
        evacuation: None,
    }
}

fn route(name: &str) -> Route {
    Route {
        id: name.parse().expect("a valid name"),
        host: "a.example".to_owned(),
        prefix: format!("/{name}/"),
        repeatable: true,
        backends: Vec::new(),
        attempts: 1,
        timeout_ms: None,
        priority: 1,
        objective_ms: None,
        large_responses: false,
        public: false,
    }
}

#[gtest]
fn usual_message_is_short() {
    let bytes = encode(&message(u64::MAX, TimeUs::from_s(90_000), Some(TimeUs::from_s(80_000)))).expect("encodable");
    assert_that!(bytes.len(), le(MAX_USUAL_MESSAGE_BYTES));
}

#[gtest]
fn message_without_names_is_completed_only_for_a_known_run() {
    let mut peers = PeerTable::default();
    let stamp = START.plus_ms(5);
    assert_that!(peers.complete_status(message(1, stamp, None), address()).is_none(), eq(true));
    let named = StatusMessage { identity: Some(identity("milano")), ..message(1, stamp, None) };
    let status = peers.complete_status(named, address()).expect("a complete message");
    let effect = peers.record_status(&status, START, START);
    assert_that!((effect.is_new, effect.replaced), eq((true, None)));
    let later = peers.complete_status(message(1, stamp.plus_ms(1_000), None), address()).expect("known names");
    assert_that!(later.identity, eq(&identity("milano")));
    let report = later.target_report().expect("a target");
    assert_that!((report.instance.as_str(), report.pace_percent), eq(("i-7f3a91c2", Some(240))));
    // Another run at the same address may have other names.
    assert_that!(peers.complete_status(message(2, stamp.plus_ms(2_000), None), address()).is_none(), eq(true));
}

#[gtest]
fn late_message_of_an_earlier_run_is_ignored() {
    let mut peers = PeerTable::default();
    let mut record = |node: u64, stamp: TimeUs| {
        let named = StatusMessage { identity: Some(identity("milano")), ..message(node, stamp, None) };
        let status = peers.complete_status(named, address()).expect("a complete message");
        peers.record_status(&status, START, START)
    };
    record(1, START.plus_ms(100));
    assert_that!(record(2, START.plus_ms(900)).replaced, some(eq(VmId(1))));
    assert_that!(record(1, START.plus_ms(200)).is_outdated, eq(true));
}

/// What an earlier run sent, such as a lease, counts until every node that may hold it has heard of this run.
#[gtest]
fn node_knows_when_all_nodes_of_its_zone_have_heard_of_its_run() {
    let mut peers = PeerTable::default();
    let zone = "milano".parse().expect("a valid name");
    let registered = |text: &str, zone: &str| Registration {
        address: text.parse().expect("an address"),
        zone: Some(zone.parse().expect("a valid name")),
    };
    peers.register(&[registered("10.0.0.7:7000", "milano"), registered("10.0.0.9:7000", "verona")], START);
    assert_that!(peers.all_have_heard_this_run(Some(&zone)), eq(false));
    // An echo of a message that was sent before this run started.
    for (echo, heard) in [(START.plus_ms(10), true), (TimeUs(START.0 - 1), false)] {
        let mut peers = PeerTable::default();
        peers.register(&[registered("10.0.0.7:7000", "milano"), registered("10.0.0.9:7000", "verona")], START);
        let named = StatusMessage { identity: Some(identity("milano")), ..message(1, START, Some(echo)) };
        let status = peers.complete_status(named, address()).expect("a complete message");
        peers.record_status(&status, START, START);
        expect_that!(peers.all_have_heard_this_run(Some(&zone)), eq(heard));
        expect_that!(peers.all_have_heard_this_run(None), eq(false));
    }
}

/// A route that the receiver's configuration does not contain must not shift the demand of the others.
#[gtest]
fn demand_of_a_target_survives_the_message() {
    let config =
        MeshConfig::new(Version(48), CallerLimits::default(), vec![route("first"), route("second")], Vec::new());
    let demand = |name: &str, slots_milli| RouteDemand { route: route(name).id, slots_milli };
    let report = DemandReport {
        service: "trips".parse().expect("a valid name"),
        capacity_milli: 14_720,
        hold_us: 0,
        routes: vec![demand("second", 6_400), demand("removed", 3_000), demand("first", 260)],
    };
    let message = StatusMessage { demand: index_demand(&report, &config), ..message(1, START, None) };
    let status = NodeStatus { message, address: address(), identity: identity("milano") };
    let received = status.demand(&config).expect("a report");
    assert_that!(received.routes, eq(&vec![demand("second", 6_400), demand("first", 260)]));
}

#[gtest]
fn routes_are_named_by_their_position() {
    let routes = vec![route("first"), route("second")];
    let config = MeshConfig::new(Version(48), CallerLimits::default(), routes, Vec::new());
    let arrivals = |name: &str| RouteArrivals {
        route: name.parse().expect("a valid name"),
        rank: Rank(2),
        offered_milli: 7,
        admitted_milli: 5,
    };
    let indexed = index_arrivals(&[arrivals("second"), arrivals("removed"), arrivals("first")], &config);
    assert_that!(indexed.iter().map(|row| row.route).collect::<Vec<_>>(), elements_are![eq(&1), eq(&0)]);
    let mut peers = PeerTable::default();
    let named = StatusMessage { identity: Some(identity("milano")), arrivals: indexed, ..message(1, START, None) };
    let status = peers.complete_status(named, address()).expect("a complete message");
    peers.record_status(&status, START, START);
    assert_that!(status.arrivals(&config), elements_are![eq(&arrivals("second")), eq(&arrivals("first"))]);
}
