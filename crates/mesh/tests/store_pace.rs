//! How many calls a fleet makes to the store, and how old its knowledge grows.

use fulmartrestle_core::{TimeUs, Version, VmId};
use fulmartrestle_mesh::{Freshness, StorePause, ask_age_ms, read_wait_ms};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const REVOKE_MS: u64 = 5_000;
const STATUS_MS: u64 = 1_000;
const STEP_MS: u64 = 20;
const WARM_UP_MS: u64 = 8_000;
const RUN_MS: u64 = 60_000;
const VERSION: Version = Version(3);

/// A node that follows the configuration in virtual time.
struct Node {
    id: VmId,
    freshness: Freshness,
    /// Start and end of the read under way.
    read: (TimeUs, TimeUs),
    status_phase_ms: u64,
    calls: u64,
}

/// What a run came to.
#[derive(Debug, Default)]
struct Figures {
    calls_per_s: f64,
    oldest_ms: u64,
}

struct Fleet {
    nodes: Vec<Node>,
    /// `stamps[to][from]` is the latest stamp that `to` got from `from`.
    stamps: Vec<Vec<TimeUs>>,
    /// Whether nodes hear each other.
    connected: bool,
}

impl Fleet {
    fn new(count: usize, connected: bool, rng: &mut ChaCha8Rng) -> Self {
        let node = |rng: &mut ChaCha8Rng| Node {
            id: VmId(rng.random()),
            freshness: Freshness::default(),
            read: (TimeUs::default(), TimeUs::from_ms(rng.random_range(0..STATUS_MS))),
            status_phase_ms: rng.random_range(0..STATUS_MS / STEP_MS) * STEP_MS,
            calls: 0,
        };
        let nodes = (0..count).map(|_| node(rng)).collect();
        Self { nodes, stamps: vec![vec![TimeUs::default(); count]; count], connected }
    }

    fn run(&mut self) -> Figures {
        let mut figures = Figures::default();
        for at_ms in (0..RUN_MS).step_by(STEP_MS as usize) {
            let now = TimeUs::from_ms(at_ms);
            (0..self.nodes.len()).for_each(|index| self.read(index, now));
            if self.connected {
                (0..self.nodes.len()).for_each(|index| self.tell(index, at_ms));
            }
            if at_ms >= WARM_UP_MS {
                let ages = self.nodes.iter().filter_map(|node| node.freshness.age_ms(now));
                figures.oldest_ms = ages.max().unwrap_or(u64::MAX).max(figures.oldest_ms);
            }
        }
        let calls: u64 = self.nodes.iter().map(|node| node.calls).sum();
        figures.calls_per_s = calls as f64 / (RUN_MS as f64 / 1e3);
        figures
    }

    fn read(&mut self, index: usize, now: TimeUs) {
        let heard: &[Node] = if self.connected { &self.nodes } else { &[] };
        let live = heard.iter().map(|node| node.id).filter(|id| *id != self.nodes[index].id);
        let live: Vec<VmId> = if self.starts_reading(index, now) { live.collect() } else { return };
        let node = &mut self.nodes[index];
        let (started, ends) = node.read;
        if now >= ends {
            node.freshness.confirmed(started);
        }
        let wait_ms = read_wait_ms(node.id, &live, node.freshness.age_ms(now), REVOKE_MS);
        node.read = (now, now.plus_ms(wait_ms + STEP_MS));
        node.calls += 1;
    }

    /// Tells whether a read has ended, or one that waits for news is given up for lack of them.
    fn starts_reading(&self, index: usize, now: TimeUs) -> bool {
        let node = &self.nodes[index];
        let (started, ends) = node.read;
        let is_stale = node.freshness.age_ms(now).is_some_and(|age_ms| age_ms >= ask_age_ms(REVOKE_MS));
        let waits = ends.us_since(started) > STEP_MS * 1_000;
        now >= ends || (is_stale && waits)
    }

    fn tell(&mut self, from: usize, at_ms: u64) {
        if at_ms % STATUS_MS != self.nodes[from].status_phase_ms {
            return;
        }
        let now = TimeUs::from_ms(at_ms);
        let age_ms = self.nodes[from].freshness.age_ms(now);
        for to in (0..self.nodes.len()).filter(|to| *to != from) {
            self.stamps[to][from] = now;
            let echo = self.stamps[from][to];
            if let (Some(age_ms), true) = (age_ms, echo > TimeUs::default()) {
                self.nodes[to].freshness.heard(echo, age_ms, VERSION, VERSION);
            }
        }
    }
}

#[gtest]
fn calls_to_the_store_grow_slowly_with_the_fleet() {
    struct Case {
        nodes: usize,
        connected: bool,
        /// Most calls of the whole fleet each second.
        calls_per_s: f64,
        oldest_ms: u64,
    }
    // Each node for itself made 0.67 calls a second: 8.7, 55 and 200 by these sizes.
    let cases = [
        Case { nodes: 13, connected: true, calls_per_s: 7.0, oldest_ms: ask_age_ms(REVOKE_MS) + 100 },
        Case { nodes: 83, connected: true, calls_per_s: 20.0, oldest_ms: ask_age_ms(REVOKE_MS) + 100 },
        Case { nodes: 300, connected: true, calls_per_s: 60.0, oldest_ms: ask_age_ms(REVOKE_MS) + 100 },
        Case { nodes: 13, connected: false, calls_per_s: 20.0, oldest_ms: ask_age_ms(REVOKE_MS) + 100 },
    ];
    for (seed, case) in cases.iter().enumerate() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed as u64);
        let figures = Fleet::new(case.nodes, case.connected, &mut rng).run();
        let name = format!("{} nodes, connected {}: {figures:?}", case.nodes, case.connected);
        expect_that!(figures.calls_per_s, le(case.calls_per_s), "{name}");
        expect_that!(figures.oldest_ms, le(case.oldest_ms), "{name}");
    }
}

#[gtest]
fn pauses_grow_while_the_store_is_away() {
    let mut pause = StorePause::default();
    let pauses: Vec<u64> = (0..5).map(|_| pause.failed(1.0)).collect();
    expect_that!(pauses, eq(&vec![160, 320, 640, 900, 900]));
    pause.succeeded();
    expect_that!(pause.failed(0.0), eq(80));
}
