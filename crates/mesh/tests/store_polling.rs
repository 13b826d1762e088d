//! Tests how many calls a fleet makes to the store, and how old its last confirmation becomes.

use fulmartrestle_core::{TimeUs, Version, VmId};
use fulmartrestle_mesh::{ConfigFreshness, StoreBackoff, direct_read_age_ms, long_poll_wait_ms};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const REVOKE_MS: u64 = 5_000;
const STATUS_INTERVAL_MS: u64 = 1_000;
const TICK_MS: u64 = 20;
const WARM_UP_MS: u64 = 8_000;
const RUN_MS: u64 = 60_000;
const VERSION: Version = Version(3);

/// A node that follows the configuration in virtual time.
struct Node {
    id: VmId,
    freshness: ConfigFreshness,
    /// Start and end of the running read.
    read: (TimeUs, TimeUs),
    status_phase_ms: u64,
    calls: u64,
}

/// Measurements of one simulated run.
#[derive(Debug, Default)]
struct Measurements {
    calls_per_s: f64,
    max_age_ms: u64,
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
            read: (TimeUs::default(), TimeUs::from_ms(rng.random_range(0..STATUS_INTERVAL_MS))),
            status_phase_ms: rng.random_range(0..STATUS_INTERVAL_MS / TICK_MS) * TICK_MS,
            calls: 0,
        };
        let nodes = (0..count).map(|_| node(rng)).collect();
        Self { nodes, stamps: vec![vec![TimeUs::default(); count]; count], connected }
    }

    fn run(&mut self) -> Measurements {
        let mut measurements = Measurements::default();
        for at_ms in (0..RUN_MS).step_by(TICK_MS as usize) {
            let now = TimeUs::from_ms(at_ms);
            (0..self.nodes.len()).for_each(|index| self.read(index, now));
            if self.connected {
                (0..self.nodes.len()).for_each(|index| self.publish_status(index, at_ms));
            }
            if at_ms >= WARM_UP_MS {
                let ages = self.nodes.iter().filter_map(|node| node.freshness.age_ms(now));
                measurements.max_age_ms = ages.max().unwrap_or(u64::MAX).max(measurements.max_age_ms);
            }
        }
        let calls: u64 = self.nodes.iter().map(|node| node.calls).sum();
        measurements.calls_per_s = calls as f64 / (RUN_MS as f64 / 1e3);
        measurements
    }

    fn read(&mut self, index: usize, now: TimeUs) {
        let visible: &[Node] = if self.connected { &self.nodes } else { &[] };
        let live = visible.iter().map(|node| node.id).filter(|id| *id != self.nodes[index].id);
        let live: Vec<VmId> = if self.starts_reading(index, now) { live.collect() } else { return };
        let node = &mut self.nodes[index];
        let (started, end) = node.read;
        if now >= end {
            node.freshness.record_confirmation(started);
        }
        let wait_ms = long_poll_wait_ms(node.id, &live, node.freshness.age_ms(now), REVOKE_MS);
        node.read = (now, now.plus_ms(wait_ms + TICK_MS));
        node.calls += 1;
    }

    /// Returns whether the running read has ended, or is a long poll that is abandoned because the last
    /// confirmation is too old.
    fn starts_reading(&self, index: usize, now: TimeUs) -> bool {
        let node = &self.nodes[index];
        let (started, end) = node.read;
        let is_stale = node.freshness.age_ms(now).is_some_and(|age_ms| age_ms >= direct_read_age_ms(REVOKE_MS));
        let is_long_poll = end.us_since(started) > TICK_MS * 1_000;
        now >= end || (is_stale && is_long_poll)
    }

    fn publish_status(&mut self, from: usize, at_ms: u64) {
        if at_ms % STATUS_INTERVAL_MS != self.nodes[from].status_phase_ms {
            return;
        }
        let now = TimeUs::from_ms(at_ms);
        let age_ms = self.nodes[from].freshness.age_ms(now);
        for to in (0..self.nodes.len()).filter(|to| *to != from) {
            self.stamps[to][from] = now;
            let echo = self.stamps[from][to];
            if let (Some(age_ms), true) = (age_ms, echo > TimeUs::default()) {
                self.nodes[to].freshness.record_peer_confirmation(echo, age_ms, VERSION, VERSION);
            }
        }
    }
}

#[gtest]
fn store_calls_grow_slowly_with_the_fleet() {
    struct Case {
        nodes: usize,
        connected: bool,
        /// Upper bound of the whole fleet's calls per second.
        max_calls_per_s: f64,
        max_age_ms: u64,
    }
    // With each node reading on its own, 0.67 calls per second and node, these fleets would make 8.7, 55 and 200
    // calls per second.
    let cases = [
        Case { nodes: 13, connected: true, max_calls_per_s: 7.0, max_age_ms: direct_read_age_ms(REVOKE_MS) + 100 },
        Case { nodes: 83, connected: true, max_calls_per_s: 20.0, max_age_ms: direct_read_age_ms(REVOKE_MS) + 100 },
        Case { nodes: 300, connected: true, max_calls_per_s: 60.0, max_age_ms: direct_read_age_ms(REVOKE_MS) + 100 },
        Case { nodes: 13, connected: false, max_calls_per_s: 20.0, max_age_ms: direct_read_age_ms(REVOKE_MS) + 100 },
    ];
    for (seed, case) in cases.iter().enumerate() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed as u64);
        let measurements = Fleet::new(case.nodes, case.connected, &mut rng).run();
        let name = format!("{} nodes, connected {}: {measurements:?}", case.nodes, case.connected);
        expect_that!(measurements.calls_per_s, le(case.max_calls_per_s), "{name}");
        expect_that!(measurements.max_age_ms, le(case.max_age_ms), "{name}");
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
