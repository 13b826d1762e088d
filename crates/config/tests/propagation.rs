//! Propagation of configuration under single faults.

mod support;

use fulmartrestle_config::fleet::RouteRow;
use fulmartrestle_config::plan::{Change, IntentChange};
use fulmartrestle_config::propagation::{
    ConfigDigest, ConfigEffect, ConfigMember, ConfigMessage, ConfigNode, ConfigNodeSettings, ConfirmOutcome, Isolation,
    PullId, ReadResult, UrgentChange,
};
use fulmartrestle_config::replica::{LogRecord, Replica};
use fulmartrestle_config::settings::IsolationSettings;
use fulmartrestle_core::{LogOffset, TimeUs, Version, VmId};
use googletest::prelude::*;
use support::sim::Sim;
use support::{create_test_plan, id, initial_plan, key_id, route_row, tenant_row};

fn withdraw(sim: &mut Sim, node: usize, secret: &str) {
    let config = sim.nodes[node].node.replica().config().unwrap().clone();
    let plan = create_test_plan(&config, vec![IntentChange::WithdrawKey(key_id(secret))], 1);
    sim.confirm(node, &plan);
}

fn start_sim(seed: u64, node_count: usize) -> Sim {
    let mut sim = Sim::new(seed, node_count, &initial_plan());
    sim.run_ms(6_000).unwrap();
    sim.check_converged().unwrap();
    sim
}

#[gtest]
fn withdrawn_key_is_rejected_everywhere_within_two_seconds() {
    struct Case {
        name: &'static str,
        node_count: usize,
        lossy: bool,
        log_partitioned: [bool; 3],
    }
    let cases = [
        Case { name: "no faults", node_count: 12, lossy: false, log_partitioned: [false; 3] },
        Case { name: "lossy", node_count: 12, lossy: true, log_partitioned: [false; 3] },
        Case {
            name: "one zone partitioned from the log",
            node_count: 12,
            lossy: false,
            log_partitioned: [false, true, false],
        },
        Case {
            name: "lossy and two zones partitioned from the log",
            node_count: 50,
            lossy: true,
            log_partitioned: [false, true, true],
        },
    ];
    for case in cases {
        for seed in 1..=5 {
            let mut sim = start_sim(seed, case.node_count);
            (sim.lossy, sim.log_partitioned) = (case.lossy, case.log_partitioned);
            sim.run_ms(7_000).unwrap();
            withdraw(&mut sim, 0, "lago-1");
            let time = sim.run_until(2_000, |sim| sim.nodes_accepting("lago-1") == 0);
            expect_that!(time, ok(anything()), "case: {}, seed {seed}", case.name);
        }
    }
}

#[gtest]
fn isolated_zone_is_reported_and_serves_calls_as_configured() {
    let mut sim = start_sim(1, 9);
    sim.log_partitioned[1] = true;
    sim.run_ms(10_000).unwrap();
    let isolation = sim.nodes[1].node.isolation(sim.now);
    assert_that!(isolation, eq(Isolation::Connected), "the zone is in contact with the log through other zones");
    sim.zone_partitioned[1] = true;
    withdraw(&mut sim, 0, "lago-1");
    sim.run_ms(15_000).unwrap();
    let isolated = sim.nodes[1].node.isolation(sim.now);
    assert_that!(isolated, pat!(Isolation::Isolated { .. }));
    assert_that!(sim.nodes[0].node.isolation(sim.now), eq(Isolation::Connected));
    assert_that!(sim.nodes_accepting("lago-1"), eq(3));

    let version = sim.reference().version();
    let now = sim.now;
    let tailer = (0..9).find(|index| index % 3 == 0 && sim.nodes[*index].node.status(now).zones.len() > 1).unwrap();
    let status = sim.nodes[tailer].node.status(now);
    assert_that!(status.unconfirmed_zones(version), elements_are![eq(&id("milano"))]);
    assert_that!(status.divergences, eq(0));

    let settings = IsolationSettings { keyed_calls_for_ms: 60_000, open_calls_for_ms: None };
    let keyed = route_row("a", "/a", "a");
    let once = RouteRow { at_most_once: true, retryable: false, ..keyed.clone() };
    let open = RouteRow { open_to_all: true, ..keyed.clone() };
    let later = now.plus_ms(60_000);
    let permits = |route, at| isolated.permits(route, &settings, at);
    assert_that!([permits(&keyed, now), permits(&once, now), permits(&open, now)], eq([true, false, true]));
    assert_that!([permits(&keyed, later), permits(&once, later), permits(&open, later)], eq([false, false, true]));

    sim.clear_faults();
    let time = sim.run_until(2_000, |sim| sim.nodes_accepting("lago-1") == 0);
    assert_that!(time, ok(anything()));
}

#[gtest]
fn log_outage_is_not_reported_as_isolation() {
    let mut sim = start_sim(1, 6);
    sim.log_is_down = true;
    sim.run_ms(15_000).unwrap();
    let isolation = sim.nodes[0].node.isolation(sim.now);
    assert_that!(isolation, pat!(Isolation::LogOnlyLost { .. }));
}

#[gtest]
fn restarted_node_gets_configuration_from_peers_while_the_log_is_down() {
    let mut sim = start_sim(1, 9);
    sim.log_is_down = true;
    sim.run_ms(1_000).unwrap();
    sim.restart(4);
    let time = sim.run_until(8_000, |sim| sim.nodes[4].node.is_ready());
    assert_that!(time, ok(anything()));
    assert_that!(sim.nodes[4].node.replica().version(), eq(sim.reference().version()));
    (0..9).for_each(|index| sim.restart(index));
    sim.run_ms(10_000).unwrap();
    let ready = sim.nodes.iter().filter(|sim_node| sim_node.node.is_ready()).count();
    assert_that!(ready, eq(0), "no node has the configuration any more");
    sim.clear_faults();
    sim.run_ms(6_000).unwrap();
    sim.check_converged().unwrap();
}

#[gtest]
fn configuration_survives_trimming_of_its_records() {
    let mut sim = start_sim(1, 6);
    sim.run_ms(400_000).unwrap();
    let version = sim.reference().version();
    (0..6).for_each(|index| sim.restart(index));
    sim.run_ms(6_000).unwrap();
    sim.check_converged().unwrap();
    assert_that!(sim.nodes[0].node.config().unwrap().version(), eq(version));
}

#[gtest]
fn node_far_behind_receives_a_snapshot_from_a_peer() {
    let mut sim = start_sim(1, 6);
    sim.pause(3, 200_000);
    for round in 0..300 {
        let config = sim.nodes[0].node.replica().config().unwrap().clone();
        sim.confirm(0, &create_test_plan(&config, vec![IntentChange::SetTenant(tenant_row("alpi", round))], 1));
        sim.run_ms(100).unwrap();
    }
    sim.log_partitioned[0] = true;
    sim.pause(3, 0);
    let time = sim.run_until(2_000, |sim| sim.check_converged().is_ok());
    assert_that!(time, ok(anything()));
}

#[gtest]
fn confirmations_complete_despite_lost_responses_of_the_log() {
    let mut sim = start_sim(1, 6);
    for (round, lost_appends) in [0, 1, 2, 3, 4].into_iter().enumerate() {
        let config = sim.nodes[5].node.replica().config().unwrap().clone();
        let plan =
            create_test_plan(&config, vec![IntentChange::SetTenant(tenant_row("alpi", round as u64))], round as u8);
        sim.lost_appends = lost_appends;
        sim.confirm(5, &plan);
        sim.run_ms(31_000).unwrap();
        expect_that!(
            sim.outcomes.get(&plan.id),
            some(pat!(ConfirmOutcome::Decided(anything()))),
            "{lost_appends} lost"
        );
    }
    sim.log_is_down = true;
    let config = sim.nodes[5].node.replica().config().unwrap().clone();
    let plan = create_test_plan(&config, vec![IntentChange::SetTenant(tenant_row("alpi", 99))], 9);
    sim.confirm(5, &plan);
    sim.run_ms(1_000).unwrap();
    assert_that!(sim.outcomes.get(&plan.id), some(eq(&ConfirmOutcome::NotAppended)));
}

/// A node that has just started and has one peer.
struct StartingNode {
    node: ConfigNode,
    pull: PullId,
}

const PEER: VmId = VmId(2);
const START: TimeUs = TimeUs::from_s(100);

impl StartingNode {
    fn new() -> Self {
        let member = |vm| ConfigMember { vm, zone: id("milano") };
        let settings = ConfigNodeSettings { local_member: member(VmId(1)), log_retention_ms: 3_600_000, seed: 1 };
        let mut node = ConfigNode::new(settings, START);
        node.set_members(&[member(VmId(1)), member(PEER)]);
        let effects = node.tick(START, 0);
        let pull = effects.iter().find_map(|effect| match effect {
            ConfigEffect::Send { message: ConfigMessage::PullRecords { pull, .. }, .. } => Some(*pull),
            _ => None,
        });
        Self { node, pull: pull.unwrap() }
    }

    /// Returns the peer's digest after the first record.
    fn digest(log_age_ms: Option<u64>) -> ConfigDigest {
        let mut replica = Replica::default();
        replica.set_first_retained(LogOffset(0));
        replica.apply_record(LogOffset(0), &LogRecord::Confirm(initial_plan()));
        ConfigDigest {
            version: replica.version(),
            next_offset: replica.applied_offset(),
            hash: replica.hash(),
            ready: true,
            log_age_ms,
            other_zone_age_ms: None,
        }
    }

    /// Returns a node that has a state but has not reached the end of the log.
    fn with_state() -> Self {
        let mut starting = Self::new();
        let records = vec![LogRecord::Confirm(initial_plan()).encode()];
        let result = ReadResult::Records { from: LogOffset(0), records, end: LogOffset(2) };
        starting.node.on_read_result(START.plus_ms(1), fulmartrestle_config::propagation::LogRequestId(1_000), result);
        starting
    }

    /// Runs the node for 800 ms and returns its last pull.
    fn last_pull(&mut self) -> PullId {
        let effects: Vec<_> = (1..9).flat_map(|tick| self.node.tick(START.plus_ms(100 * tick), 0)).collect();
        let mut pulls = effects.iter().filter_map(|effect| match effect {
            ConfigEffect::Send { message: ConfigMessage::PullRecords { pull, .. }, .. } => Some(*pull),
            _ => None,
        });
        pulls.next_back().unwrap()
    }

    fn on_pull_response(&mut self, at: TimeUs, pull: PullId, log_age_ms: u64) {
        let (records, digest) = (Vec::new(), Self::digest(Some(log_age_ms)));
        let message = ConfigMessage::Records { pull, from: LogOffset(1), records, digest };
        self.node.on_message(at, PEER, message);
    }
}

#[gtest]
fn started_node_serves_only_after_reaching_the_end_of_the_log() {
    let mut unsolicited = StartingNode::with_state();
    let message = ConfigMessage::Digest { digest: StartingNode::digest(Some(0)), urgent: Vec::new() };
    unsolicited.node.on_message(START.plus_ms(50), PEER, message);
    assert_that!(unsolicited.node.is_ready(), is_false(), "a digest may be delayed");

    let mut timed_out = StartingNode::with_state();
    let first_pull = timed_out.pull;
    timed_out.last_pull();
    timed_out.on_pull_response(START.plus_ms(850), first_pull, 20);
    assert_that!(timed_out.node.is_ready(), is_false(), "the pull had timed out");

    let mut before_start = StartingNode::with_state();
    let pull = before_start.pull;
    before_start.on_pull_response(START.plus_ms(50), pull, 20);
    assert_that!(
        before_start.node.is_ready(),
        is_false(),
        "the peer may have been at the end of the log only before the start"
    );

    let mut later = StartingNode::with_state();
    let pull = later.last_pull();
    later.on_pull_response(START.plus_ms(850), pull, 20);
    assert_that!(later.node.is_ready(), is_true(), "the peer was at the end of the log after the start");
}

#[gtest]
fn withdrawal_takes_effect_before_its_record_is_read() {
    let mut starting = StartingNode::with_state();
    let pull = starting.last_pull();
    starting.on_pull_response(START.plus_ms(850), pull, 20);
    let accepts_key = |node: &ConfigNode| node.config().unwrap().tenant_for_key("lago-1").is_some();
    assert_that!(accepts_key(&starting.node), is_true());
    let urgent = UrgentChange { version: Version(7), change: Change::WithdrawKey(key_id("lago-1")) };
    let message = ConfigMessage::Digest { digest: StartingNode::digest(None), urgent: vec![urgent] };
    starting.node.on_message(START.plus_ms(900), PEER, message);
    assert_that!(accepts_key(&starting.node), is_false());
    assert_that!(starting.node.config().unwrap().version(), eq(Version(1)));
    let lower_rate = UrgentChange { version: Version(8), change: Change::PutTenant(tenant_row("alpi", 1)) };
    let message = ConfigMessage::Digest { digest: StartingNode::digest(None), urgent: vec![lower_rate] };
    starting.node.on_message(START.plus_ms(950), PEER, message);
    let alpi = starting.node.config().unwrap().tenants().get(&id("alpi")).unwrap().rate_per_s;
    assert_that!(alpi.0, eq(100), "only withdrawals are applied ahead of their records");
}

#[gtest]
fn any_node_can_request_the_status_of_all_zones() {
    let mut sim = start_sim(1, 15);
    for index in 0..sim.nodes.len() {
        sim.request_status(index);
    }
    sim.run_ms(100).unwrap();
    let now = sim.now;
    for sim_node in &mut sim.nodes {
        let status = sim_node.node.status(now);
        expect_that!(status.missing_zones, is_empty(), "{}", sim_node.member.vm);
        expect_that!(status.unconfirmed_zones(status.version), is_empty(), "{}", sim_node.member.vm);
        expect_that!(status.unconfirmed_zones(Version(1_000)), len(eq(3)));
    }
}
