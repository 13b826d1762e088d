//! Tests how many calls a fleet makes to the store, and how old its last confirmation becomes.

use fulmartrestle_core::{TimeUs, Version, VmId};
use fulmartrestle_mesh::{ConfigFreshness, ReadReason, StoreBackoff, StoreBounds, StoreRole, StoreStep, StoreView};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const REVOKE_MS: u64 = 5_000;
const CONFIG_APPLY_MS: u64 = 2_000;
const BOUNDS: StoreBounds = StoreBounds { revoke_ms: REVOKE_MS, config_apply_ms: CONFIG_APPLY_MS };
const STATUS_INTERVAL_MS: u64 = 1_000;
const TICK_MS: u64 = 20;
const WARM_UP_MS: u64 = 8_000;
const RUN_MS: u64 = 30_000;

/// When the configuration changes, and nodes fail.
const CHANGE_MS: u64 = RUN_MS / 2;

/// Time for a read that has failed to be repeated.
const RETRY_MS: u64 = 300;

/// Time for which nodes that failed are taken to be live.
const LIVE_TIMEOUT_MS: u64 = 2_600;
const VERSION: Version = Version(3);

/// A node that follows the configuration in virtual time.
struct Node {
    id: VmId,
    freshness: ConfigFreshness,
    /// Start and end of the running read.
    read: Option<(TimeUs, TimeUs)>,
    last_read_at: Option<TimeUs>,
    sleeps_until: TimeUs,
    next_status_at: TimeUs,
    draw: f64,
    /// Whether the running read confirms the configuration for the others.
    confirms_for_others: bool,
    /// When the node has heard of the change at [`CHANGE_MS`].
    applied_at: Option<TimeUs>,
    /// Whether the node is down.
    down: bool,
    calls: u64,
}

/// Measurements of one simulated run.
#[derive(Debug, Default)]
struct Measurements {
    calls_per_s: f64,
    max_age_ms: u64,
    /// Longest time from the change until a node that is up has heard of it.
    max_apply_ms: u64,
}

struct Fleet {
    nodes: Vec<Node>,
    /// `stamps[to][from]` is the latest stamp that `to` received from `from`.
    stamps: Vec<Vec<TimeUs>>,
    /// Whether nodes receive each other's status messages.
    connected: bool,
}

impl Fleet {
    fn new(count: usize, connected: bool, rng: &mut ChaCha8Rng) -> Self {
        let node = |rng: &mut ChaCha8Rng| Node {
            id: VmId(rng.random()),
            freshness: ConfigFreshness::default(),
            read: None,
            last_read_at: None,
            sleeps_until: TimeUs::from_ms(rng.random_range(0..STATUS_INTERVAL_MS)),
            next_status_at: TimeUs::from_ms(rng.random_range(0..STATUS_INTERVAL_MS)),
            draw: rng.random(),
            confirms_for_others: false,
            applied_at: None,
            down: false,
            calls: 0,
        };
        let nodes = (0..count).map(|_| node(rng)).collect();
        Self { nodes, stamps: vec![vec![TimeUs::default(); count]; count], connected }
    }

    /// Runs the fleet. From [`CHANGE_MS`] on, the `failed` nodes with the lowest IDs, which read for the others, are down.
    fn run(&mut self, failed: usize) -> Measurements {
        let mut measurements = Measurements::default();
        for at_ms in (0..RUN_MS).step_by(TICK_MS as usize) {
            let now = TimeUs::from_ms(at_ms);
            if at_ms == CHANGE_MS {
                self.nodes.sort_by_key(|node| node.id);
                self.nodes.iter_mut().take(failed).for_each(|node| node.down = true);
                self.stamps.iter_mut().flatten().for_each(|stamp| *stamp = TimeUs::default());
            }
            for index in 0..self.nodes.len() {
                if !self.nodes[index].down {
                    self.step(index, now);
                }
            }
            if self.connected {
                (0..self.nodes.len()).for_each(|index| self.publish_status(index, now));
            }
            if at_ms >= WARM_UP_MS {
                let live = self.nodes.iter().filter(|node| !node.down);
                let ages = live.filter_map(|node| node.freshness.age_ms(now));
                measurements.max_age_ms = ages.max().unwrap_or(u64::MAX).max(measurements.max_age_ms);
            }
        }
        let change = TimeUs::from_ms(CHANGE_MS);
        let live = self.nodes.iter().filter(|node| !node.down);
        let apply_ms = live.map(|node| node.applied_at.map_or(u64::MAX, |applied_at| applied_at.ms_since(change)));
        measurements.max_apply_ms = apply_ms.max().unwrap_or(u64::MAX);
        let calls: u64 = self.nodes.iter().map(|node| node.calls).sum();
        measurements.calls_per_s = calls as f64 / (RUN_MS as f64 / 1e3);
        measurements
    }

    fn role(&self, index: usize, now: TimeUs) -> StoreRole {
        let own_id = self.nodes[index].id;
        let visible: &[Node] = if self.connected { &self.nodes } else { &[] };
        let failure_is_known = now >= TimeUs::from_ms(CHANGE_MS + LIVE_TIMEOUT_MS);
        let others = visible.iter().filter(|node| node.id != own_id && !(node.down && failure_is_known));
        StoreRole::of(own_id, &others.map(|node| node.id).collect::<Vec<_>>())
    }

    fn step(&mut self, index: usize, now: TimeUs) {
        let role = self.role(index, now);
        let node = &mut self.nodes[index];
        let view = |node: &Node| StoreView {
            role,
            age_ms: node.freshness.age_ms(now),
            estimated_age_ms: node.freshness.estimated_age_ms(now),
            since_read_ms: node.last_read_at.map(|read_at| now.ms_since(read_at)),
            is_behind: false,
            draw: node.draw,
        };
        if let Some((started, end)) = node.read {
            let is_stale = view(node).confirmed_for_ms(BOUNDS) == 0;
            let is_long_poll = end.us_since(started) > 2 * TICK_MS * 1_000;
            if now < end && !(is_long_poll && is_stale) {
                return;
            }
            node.read = None;
            if now >= end {
                node.last_read_at = Some(now);
                node.freshness.record_confirmation(started);
                if started >= TimeUs::from_ms(CHANGE_MS) {
                    node.applied_at.get_or_insert(now);
                }
                if node.confirms_for_others {
                    node.next_status_at = now;
                }
            }
        }
        if now < node.sleeps_until {
            return;
        }
        match StoreStep::next(view(node), BOUNDS) {
            StoreStep::Sleep { for_ms } => node.sleeps_until = now.plus_ms(for_ms),
            StoreStep::Read { wait_ms, reason } => {
                node.read = Some((now, now.plus_ms(wait_ms + TICK_MS)));
                node.confirms_for_others = role == StoreRole::Confirming || reason == ReadReason::Unconfirmed;
                node.calls += 1;
            }
        }
    }

    fn publish_status(&mut self, from: usize, now: TimeUs) {
        if now < self.nodes[from].next_status_at || self.nodes[from].down {
            return;
        }
        self.nodes[from].next_status_at = now.plus_ms(STATUS_INTERVAL_MS);
        let age_ms = self.nodes[from].freshness.age_ms(now);
        let has_applied = self.nodes[from].applied_at.is_some();
        for to in (0..self.nodes.len()).filter(|to| *to != from) {
            if has_applied {
                self.nodes[to].applied_at.get_or_insert(now);
            }
            self.stamps[to][from] = now;
            let echo = self.stamps[from][to];
            if let (Some(age_ms), true) = (age_ms, echo > TimeUs::default()) {
                self.nodes[to].freshness.record_peer_confirmation(echo, age_ms, VERSION, VERSION, now);
            }
        }
    }
}

#[gtest]
fn store_calls_grow_slowly_with_the_fleet() {
    struct Case {
        nodes: usize,
        connected: bool,
        /// Nodes that read for the others and go down.
        failed: usize,
        /// Upper bound of the whole fleet's calls per second.
        max_calls_per_s: f64,
    }
    // The target is 0.1 calls per second and node in large fleets. If each node read on its own, these fleets would
    // make 0.67 calls per second and node.
    let cases = [
        Case { nodes: 13, connected: true, failed: 0, max_calls_per_s: 3.5 },
        Case { nodes: 95, connected: true, failed: 0, max_calls_per_s: 9.5 },
        Case { nodes: 300, connected: true, failed: 0, max_calls_per_s: 30.0 },
        Case { nodes: 95, connected: true, failed: 4, max_calls_per_s: 9.5 },
        Case { nodes: 95, connected: true, failed: 60, max_calls_per_s: 9.5 },
        Case { nodes: 300, connected: true, failed: 4, max_calls_per_s: 30.0 },
        Case { nodes: 9, connected: true, failed: 8, max_calls_per_s: 3.5 },
        Case { nodes: 13, connected: false, failed: 0, max_calls_per_s: 20.0 },
    ];
    for (seed, case) in cases.iter().enumerate() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed as u64);
        let measurements = Fleet::new(case.nodes, case.connected, &mut rng).run(case.failed);
        let name = format!("{} nodes, {} failed, {measurements:?}", case.nodes, case.failed);
        println!("{name}");
        expect_that!(measurements.calls_per_s, le(case.max_calls_per_s), "{name}");
        expect_that!(measurements.max_apply_ms, le(CONFIG_APPLY_MS - RETRY_MS), "{name}");
        // Keys are accepted up to 300 ms before the bound.
        expect_that!(measurements.max_age_ms, le(REVOKE_MS - 300), "{name}");
    }
}

#[gtest]
fn a_node_reads_as_soon_as_it_is_behind_or_stale() {
    struct Case {
        name: &'static str,
        view: StoreView,
        step: StoreStep,
    }
    let view = StoreView {
        role: StoreRole::Relying,
        age_ms: Some(500),
        estimated_age_ms: Some(0),
        since_read_ms: Some(60_000),
        is_behind: false,
        draw: 0.5,
    };
    let read = |reason| StoreStep::Read { wait_ms: 0, reason };
    let sleep = |for_ms| StoreStep::Sleep { for_ms };
    let cases = [
        Case {
            name: "first read",
            view: StoreView { age_ms: None, estimated_age_ms: None, since_read_ms: None, ..view },
            step: read(ReadReason::First),
        },
        Case { name: "relying on others", view, step: sleep(1_000) },
        Case { name: "key soon unconfirmed", view: StoreView { age_ms: Some(2_900), ..view }, step: sleep(100) },
        Case {
            name: "key unconfirmed",
            view: StoreView { age_ms: Some(3_000), ..view },
            step: read(ReadReason::Unconfirmed),
        },
        Case {
            name: "configuration soon unconfirmed",
            view: StoreView { estimated_age_ms: Some(1_200), ..view },
            step: sleep(100),
        },
        Case {
            name: "configuration unconfirmed",
            view: StoreView { estimated_age_ms: Some(1_300), ..view },
            step: read(ReadReason::Unconfirmed),
        },
        Case {
            name: "first node to notice",
            view: StoreView { estimated_age_ms: Some(1_100), draw: 0.0, ..view },
            step: read(ReadReason::Unconfirmed),
        },
        Case {
            name: "last node to notice",
            view: StoreView { estimated_age_ms: Some(1_499), draw: 1.0, ..view },
            step: sleep(1),
        },
        Case { name: "behind", view: StoreView { is_behind: true, ..view }, step: read(ReadReason::Behind) },
        Case {
            name: "behind, but it has just read",
            view: StoreView { is_behind: true, since_read_ms: Some(50), ..view },
            step: sleep(200),
        },
        Case {
            name: "watching",
            view: StoreView { role: StoreRole::Watching, ..view },
            step: StoreStep::Read { wait_ms: 6_000, reason: ReadReason::Watching },
        },
        Case {
            name: "confirming",
            view: StoreView { role: StoreRole::Confirming, ..view },
            step: read(ReadReason::Confirming),
        },
    ];
    for case in cases {
        expect_that!(StoreStep::next(case.view, BOUNDS), eq(case.step), "{}", case.name);
    }
}

#[gtest]
fn backoff_grows_while_the_store_is_unavailable() {
    let mut backoff = StoreBackoff::default();
    let delays_ms: Vec<u64> = (0..5).map(|_| backoff.next_delay_ms(1.0)).collect();
    expect_that!(delays_ms, eq(&vec![160, 320, 640, 900, 900]));
    backoff.reset();
    expect_that!(backoff.next_delay_ms(0.0), eq(80));
}
