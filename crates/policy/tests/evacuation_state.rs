//! Tests which zones are evacuated on a few nodes, some of which read the operator's records from a store.

use std::collections::{BTreeMap, BTreeSet};

use fulmartrestle_core::{AvailabilityZone, LogEra, LogOffset, TimeUs};
use fulmartrestle_policy::{EvacuationRecord, EvacuationReport, EvacuationState, PauseGuard};
use googletest::prelude::*;

const START: TimeUs = TimeUs::from_s(100);

/// Nodes by their index. The first two read the store, and all may hear of each other.
const A: usize = 0;
const B: usize = 1;
const C: usize = 2;

/// One step of a scenario.
enum Step {
    /// The operator evacuates a zone, or reverts its evacuation.
    Write(&'static str, bool),
    /// A node reads the records after its last read.
    Read(usize),
    /// A node reads the latest records of all keys.
    List(usize),
    /// A node's status message reaches another node.
    Send(usize, usize),
    /// A node's status message stays on its way until it is delivered.
    Delay(usize),
    /// The delayed message reaches a node.
    Deliver(usize),
    /// The store comes back from a copy with this many records.
    Restore(usize),
    /// The process of a node starts again.
    Restart(usize),
    /// The zones that are evacuated on a node.
    Expect(usize, &'static [&'static str]),
}

use Step::{Delay, Deliver, Expect, List, Read, Restart, Restore, Send, Write};

#[derive(Default)]
struct Scenario {
    era: u64,
    records: Vec<(&'static str, bool)>,
    nodes: [(EvacuationState, usize); 3],
    delayed: Option<EvacuationReport>,
}

fn zone(name: &str) -> AvailabilityZone {
    name.parse().expect("a valid name")
}

fn zones(names: &[&str]) -> BTreeSet<AvailabilityZone> {
    names.iter().map(|name| zone(name)).collect()
}

impl Scenario {
    fn play(&mut self, step: &Step, name: &str, now: TimeUs) {
        let era = LogEra(self.era);
        match step {
            Write(zone, evacuated) => self.records.push((zone, *evacuated)),
            Read(node) => {
                let (state, next) = &mut self.nodes[*node];
                for (offset, (name, evacuated)) in self.records.iter().enumerate().skip(*next) {
                    let offset = LogOffset(offset as u64);
                    let record = EvacuationRecord { era, offset, zone: zone(name), evacuated: *evacuated };
                    state.apply_record(&record, now);
                }
                *next = self.records.len();
            }
            List(node) => {
                let latest: BTreeMap<_, _> = self.records.iter().copied().collect();
                let present: Vec<_> =
                    latest.iter().filter(|(_, evacuated)| **evacuated).map(|(zone, _)| *zone).collect();
                let end = LogOffset(self.records.len() as u64);
                let (state, next) = &mut self.nodes[*node];
                state.apply_listing(era, end, &zones(&present), now);
                *next = self.records.len();
            }
            Send(from, to) => {
                if let Some(report) = self.nodes[*from].0.report(now) {
                    expect_that!(self.nodes[*to].0.merge(&report, now), eq(false), "{name}: incomplete");
                }
            }
            Delay(from) => self.delayed = self.nodes[*from].0.report(now),
            Deliver(to) => {
                let report = self.delayed.take().expect("a delayed message");
                self.nodes[*to].0.merge(&report, now);
            }
            Restore(count) => {
                self.era += 1;
                self.records.truncate(*count);
            }
            Restart(node) => self.nodes[*node] = Default::default(),
            Expect(node, expected) => {
                let state = &self.nodes[*node].0;
                expect_that!(state.evacuated_zones(now), eq(&zones(expected)), "{name}, node {node}, at {now}");
                let each = expected.iter().all(|name| state.is_evacuated(&zone(name), now));
                expect_that!(each, eq(true), "{name}, node {node}, at {now}");
            }
        }
    }
}

/// Each case guards against one way in which a node keeps to an old state or forgets a zone.
#[gtest]
fn nodes_know_the_evacuated_zones() {
    struct Case {
        name: &'static str,
        /// Steps with their times in milliseconds.
        steps: Vec<(u64, Step)>,
    }
    let cases = [
        Case {
            name: "evacuated and taken back within a second, the messages overtake each other",
            steps: vec![
                (0, Write("milano", true)),
                (10, Read(A)),
                (20, Delay(A)),
                (400, Write("milano", false)),
                (410, Read(A)),
                (420, Send(A, C)),
                (430, Deliver(C)),
                (440, Expect(C, &[])),
                (450, Write("milano", true)),
                (460, Read(A)),
                (470, Send(A, C)),
                (480, Expect(C, &["milano"])),
            ],
        },
        Case {
            name: "two zones at once, one of them taken back",
            steps: vec![
                (0, Write("milano", true)),
                (0, Write("verona", true)),
                (10, Read(A)),
                (20, Send(A, C)),
                (30, Expect(C, &["milano", "verona"])),
                (40, Write("milano", false)),
                (50, Read(A)),
                (60, Send(A, C)),
                (70, Expect(C, &["verona"])),
            ],
        },
        Case {
            name: "all zones",
            steps: vec![
                (0, Write("milano", true)),
                (0, Write("verona", true)),
                (0, Write("como", true)),
                (10, List(A)),
                (20, Send(A, C)),
                (30, Expect(C, &["como", "milano", "verona"])),
            ],
        },
        Case {
            name: "a partitioned zone learns of the evacuation and of its end late, each from one message",
            steps: vec![
                (0, List(C)),
                (10, Write("milano", true)),
                (20, Read(A)),
                (9_000, Expect(C, &[])),
                (9_010, Send(A, C)),
                (9_020, Expect(C, &["milano"])),
                (10_000, Write("milano", false)),
                (10_010, Read(A)),
                (20_000, Expect(C, &["milano"])),
                (20_010, Send(C, B)),
                (20_020, Send(A, B)),
                (20_030, Send(B, C)),
                (20_040, Expect(B, &[])),
                (20_050, Expect(C, &[])),
            ],
        },
        Case {
            name: "the store is down between the evacuation and its end",
            steps: vec![
                (0, Write("milano", true)),
                (10, Read(A)),
                (10_000, Expect(A, &["milano"])),
                (10_010, Send(A, C)),
                (10_020, Expect(C, &["milano"])),
                (20_000, Write("milano", false)),
                (20_010, Read(B)),
                (20_020, Send(B, A)),
                (20_030, Expect(A, &[])),
            ],
        },
        Case {
            name: "a new era without the record, which is written again",
            steps: vec![
                (0, Write("milano", true)),
                (10, Read(A)),
                (20, Send(A, C)),
                (1_000, Restore(0)),
                (1_010, List(A)),
                (1_020, Send(A, C)),
                (1_030, Expect(A, &["milano"])),
                (1_040, Expect(C, &["milano"])),
                (2_000, Write("milano", true)),
                (2_010, Read(A)),
                (2_020, Send(A, C)),
                (9_000, Expect(A, &["milano"])),
                (9_000, Expect(C, &["milano"])),
            ],
        },
        Case {
            name: "a new era without the record, which is not written again",
            steps: vec![
                (0, Write("milano", true)),
                (10, Read(A)),
                (20, Send(A, C)),
                (1_000, Restore(0)),
                (1_010, List(A)),
                (1_020, Send(A, C)),
                (3_500, Expect(A, &["milano"])),
                (3_500, Expect(C, &["milano"])),
                (3_530, Expect(A, &[])),
                (3_530, Expect(C, &[])),
            ],
        },
        Case {
            name: "a new era without the record, in which the evacuation is reverted",
            steps: vec![
                (0, Write("milano", true)),
                (10, Read(A)),
                (1_000, Restore(0)),
                (1_010, List(A)),
                (1_020, Delay(A)),
                (1_100, Write("milano", false)),
                (1_110, Read(A)),
                (1_120, Expect(A, &[])),
                (1_130, Deliver(A)),
                (1_140, Expect(A, &[])),
            ],
        },
        Case {
            name: "a node that starts while the record is missing learns of it from another",
            steps: vec![
                (0, Write("milano", true)),
                (10, Read(A)),
                (20, Read(B)),
                (1_000, Restore(0)),
                (1_010, Restart(C)),
                (1_020, List(C)),
                (1_030, Send(A, C)),
                (1_040, Expect(C, &["milano"])),
                (1_050, Send(C, B)),
                (1_060, Expect(B, &["milano"])),
                (4_000, Expect(C, &[])),
            ],
        },
        Case {
            name: "compaction: the removal is seen as the key's absence only",
            steps: vec![
                (0, Write("milano", true)),
                (10, Read(A)),
                (20, Write("milano", false)),
                (30, List(B)),
                (40, Send(A, B)),
                (50, Expect(B, &[])),
                (60, Send(B, A)),
                (70, Expect(A, &[])),
                (80, Write("verona", true)),
                (90, Read(B)),
                (100, Expect(B, &["verona"])),
            ],
        },
        Case {
            name: "a paused node: its old era and state don't spread",
            steps: vec![
                (0, Write("milano", true)),
                (10, Read(A)),
                (20, Send(A, C)),
                (1_000, Write("milano", false)),
                (1_010, Read(A)),
                (1_020, Restore(2)),
                (1_030, List(A)),
                (60_000, Send(C, A)),
                (60_010, Expect(A, &[])),
                (60_020, Send(A, C)),
                (60_030, Expect(C, &[])),
            ],
        },
        Case {
            name: "a node that starts later",
            steps: vec![
                (0, Write("milano", true)),
                (10, Read(A)),
                (60_000, Restart(C)),
                (60_010, List(C)),
                (60_020, Expect(C, &["milano"])),
                (60_030, Restart(B)),
                (60_040, Send(A, B)),
                (60_050, Expect(B, &["milano"])),
            ],
        },
    ];
    for case in cases {
        let mut scenario = Scenario::default();
        for (at_ms, step) in &case.steps {
            scenario.play(step, case.name, START.plus_ms(*at_ms));
        }
    }
}

/// A deployment that never evacuates a zone must not pay for longer messages.
#[gtest]
fn nothing_is_reported_before_the_first_evacuation() {
    let mut state = EvacuationState::default();
    expect_that!(state.report(START), none());
    state.apply_listing(LogEra(1), LogOffset(9), &BTreeSet::new(), START);
    expect_that!(state.report(START), none());
    // A peer that missed the removal needs the newer state, although no zone is evacuated in it.
    let mut old = EvacuationState::default();
    let record = EvacuationRecord { era: LogEra(1), offset: LogOffset(4), zone: zone("milano"), evacuated: true };
    old.apply_record(&record, START);
    state.merge(&old.report(START).expect("a report"), START);
    let report = state.report(START).expect("a report");
    expect_that!((report.end_offset, report.zones.len()), eq((LogOffset(9), 0)));
}

/// A message that does not fit into a datagram would be lost, and with it the load and the leases in it.
#[gtest]
fn too_many_zones_are_reported_in_part_and_read_from_the_store() {
    let names: Vec<String> = (0..100).map(|number| format!("zone-with-a-long-name-{number}")).collect();
    let all: BTreeSet<_> = names.iter().map(|name| zone(name)).collect();
    let mut sender = EvacuationState::default();
    sender.apply_listing(LogEra(1), LogOffset(100), &all, START);
    let report = sender.report(START).expect("a report");
    assert_that!(report.zones.iter().map(|zone| zone.as_str().len() + 1).sum::<usize>(), all!(gt(300), le(400)));
    let mut receiver = EvacuationState::default();
    let record = EvacuationRecord { era: LogEra(1), offset: LogOffset(3), zone: zone("verona"), evacuated: true };
    receiver.apply_record(&record, START);
    assert_that!(receiver.merge(&report, START), eq(true));
    assert_that!(receiver.evacuated_zones(START).len(), eq(report.zones.len() + 1));
    receiver.record_end(LogEra(1), LogOffset(100));
    assert_that!(receiver.merge(&report, START), eq(false));
}

/// A process that goes on after a pause would hand calls to the target before it hears of an evacuation. Whichever of its
/// tasks runs first, the others must wait, too; ordinary delays must cost nothing.
#[gtest]
fn calls_wait_for_a_moment_after_a_pause() {
    struct Case {
        name: &'static str,
        observed_ms: &'static [u64],
        held_until_ms: Option<u64>,
    }
    let cases = [
        Case { name: "start", observed_ms: &[5_000], held_until_ms: None },
        Case { name: "busy processor", observed_ms: &[0, 200, 1_900], held_until_ms: None },
        Case { name: "first task after a pause", observed_ms: &[0, 6_000], held_until_ms: Some(6_100) },
        Case { name: "another task after it", observed_ms: &[0, 6_000, 6_050], held_until_ms: Some(6_100) },
        Case { name: "later", observed_ms: &[0, 6_000, 6_050, 6_100], held_until_ms: None },
    ];
    for case in cases {
        let mut guard = PauseGuard::default();
        let held_until = case.observed_ms.iter().map(|ms| guard.observe(START.plus_ms(*ms))).last().flatten();
        expect_that!(held_until, eq(case.held_until_ms.map(|ms| START.plus_ms(ms))), "{}", case.name);
    }
}
