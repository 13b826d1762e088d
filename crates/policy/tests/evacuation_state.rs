//! Tests which zones are evacuated on a few nodes, some of which read the operator's records from a store.

use std::collections::{BTreeMap, BTreeSet};

use fulmartrestle_core::{AvailabilityZone, LogEra, LogOffset, TimeUs};
use fulmartrestle_policy::{EvacuationRecord, EvacuationReport, EvacuationState, PauseGuard};
use googletest::prelude::*;

const START: TimeUs = TimeUs::from_s(100);

/// Nodes A, B and C, and a store that some of them read. The steps of a scenario are separated by semicolons and begin with
/// their time in milliseconds.
#[derive(Default)]
struct Scenario {
    era: u64,
    /// The operator's records: the zone, and whether it is evacuated.
    records: Vec<(String, bool)>,
    /// The state of each node, and the offset of its next read.
    nodes: [(EvacuationState, usize); 3],
    delayed: Option<EvacuationReport>,
}

fn zone(name: &str) -> AvailabilityZone {
    name.parse().expect("a valid name")
}

fn node(name: &str) -> usize {
    ["A", "B", "C"].iter().position(|known| *known == name).expect("a node")
}

impl Scenario {
    fn play(&mut self, step: &str, case: &str) {
        let words: Vec<&str> = step.split_whitespace().collect();
        let (at_ms, action) = words.split_first().expect("a time");
        let now = START.plus_ms(at_ms.parse().expect("a time"));
        match action {
            ["write", zone] => self.records.push(((*zone).to_owned(), true)),
            ["remove", zone] => self.records.push(((*zone).to_owned(), false)),
            [reader, "reads"] => self.read(node(reader), self.records.len(), now),
            [reader, "reads", "one"] => self.read(node(reader), self.nodes[node(reader)].1 + 1, now),
            // Reads the latest records of all keys.
            [reader, "lists"] => {
                let latest: BTreeMap<_, _> = self.records.iter().cloned().collect();
                let present = latest.iter().filter(|(_, evacuated)| **evacuated).map(|(name, _)| zone(name)).collect();
                let end_offset = LogOffset(self.records.len() as u64);
                let (state, next) = &mut self.nodes[node(reader)];
                state.apply_listing(LogEra(self.era), end_offset, &present, now);
                *next = self.records.len();
            }
            [from, "tells", to] => {
                if let Some(report) = self.nodes[node(from)].0.report(now) {
                    expect_that!(self.nodes[node(to)].0.merge(&report, now), eq(false), "{case}: {step}");
                }
            }
            // A message that is late, and its arrival.
            [from, "sends"] => self.delayed = self.nodes[node(from)].0.report(now),
            [to, "receives"] => {
                let report = self.delayed.take().expect("a late message");
                self.nodes[node(to)].0.merge(&report, now);
            }
            // The store comes back from a copy with this many records.
            ["restore", count] => {
                self.era += 1;
                self.records.truncate(count.parse().expect("a number"));
            }
            [restarted, "restarts"] => self.nodes[node(restarted)] = Default::default(),
            [checked, "has", names @ ..] => {
                let state = &self.nodes[node(checked)].0;
                let expected: BTreeSet<_> = names.iter().map(|name| zone(name)).collect();
                expect_that!(expected.iter().all(|zone| state.is_evacuated(zone, now)), eq(true), "{case}: {step}");
                expect_that!(state.evacuated_zones(now), eq(&expected), "{case}: {step}");
            }
            _ => panic!("unknown step {step:?}"),
        }
    }

    fn read(&mut self, reader: usize, end: usize, now: TimeUs) {
        let (state, next) = &mut self.nodes[reader];
        for (offset, (name, evacuated)) in self.records.iter().enumerate().take(end).skip(*next) {
            let (era, offset) = (LogEra(self.era), LogOffset(offset as u64));
            state.apply_record(&EvacuationRecord { era, offset, zone: zone(name), evacuated: *evacuated }, now);
        }
        *next = end;
    }
}

/// Each case guards against one way in which a node keeps to an old state or forgets a zone.
#[gtest]
fn nodes_know_the_evacuated_zones() {
    struct Case {
        name: &'static str,
        steps: &'static str,
    }
    let cases = [
        Case {
            name: "evacuated and taken back within a second, the messages overtake each other",
            steps: "0 write milano; 10 A reads; 20 A sends; 400 remove milano; 410 A reads; 420 A tells C; \
                430 C receives; 440 C has; 450 write milano; 460 A reads; 470 A tells C; 480 C has milano",
        },
        Case {
            name: "two zones at once, one of them taken back",
            steps: "0 write milano; 0 write verona; 10 A reads; 20 A tells C; 30 C has milano verona; \
                40 remove milano; 50 A reads; 60 A tells C; 70 C has verona",
        },
        Case {
            name: "all zones",
            steps: "0 write milano; 0 write verona; 0 write como; 10 A lists; 20 A tells C; \
                30 C has como milano verona",
        },
        Case {
            name: "a partitioned zone learns of the evacuation and of its end late, each from one message",
            steps: "0 C lists; 10 write milano; 20 A reads; 9000 C has; 9010 A tells C; 9020 C has milano; \
                10000 remove milano; 10010 A reads; 20000 C has milano; 20010 C tells B; 20020 A tells B; \
                20030 B tells C; 20040 B has; 20050 C has",
        },
        Case {
            name: "the store is down between the evacuation and its end",
            steps: "0 write milano; 10 A reads; 10000 A has milano; 10010 A tells C; 10020 C has milano; \
                20000 remove milano; 20010 B reads; 20020 B tells A; 20030 A has",
        },
        Case {
            name: "a new era without the record, which is written again",
            steps: "0 write milano; 10 A reads; 20 A tells C; 1000 restore 0; 1010 A lists; 1020 A tells C; \
                1030 A has milano; 1040 C has milano; 2000 write milano; 2010 A reads; 2020 A tells C; \
                9000 A has milano; 9000 C has milano",
        },
        Case {
            name: "a new era without the record, which is not written again",
            steps: "0 write milano; 10 A reads; 20 A tells C; 1000 restore 0; 1010 A lists; 1020 A tells C; \
                3500 A has milano; 3500 C has milano; 3530 A has; 3530 C has",
        },
        Case {
            name: "a new era without the record, in which the evacuation is reverted",
            steps: "0 write milano; 10 A reads; 1000 restore 0; 1010 A lists; 1020 A sends; 1100 remove milano; \
                1110 A reads; 1120 A has; 1130 A receives; 1140 A has",
        },
        Case {
            name: "a node that starts while the record is missing learns of it from another",
            steps: "0 write milano; 10 A reads; 20 B reads; 1000 restore 0; 1010 C restarts; 1020 C lists; \
                1030 A tells C; 1040 C has milano; 1050 C tells B; 1060 B has milano; 4000 C has",
        },
        Case {
            name: "compaction: the removal is seen as the key's absence only",
            steps: "0 write milano; 10 A reads; 20 remove milano; 30 B lists; 40 A tells B; 50 B has; \
                60 B tells A; 70 A has; 80 write verona; 90 B reads; 100 B has verona",
        },
        Case {
            name: "a paused node: its old era and state don't spread",
            steps: "0 write milano; 10 A reads; 20 A tells C; 1000 remove milano; 1010 A reads; 1020 restore 2; \
                1030 A lists; 60000 C tells A; 60010 A has; 60020 A tells C; 60030 C has",
        },
        Case {
            name: "a node reads old records after it has heard a newer state",
            steps: "0 write milano; 10 remove milano; 20 A reads; 30 A tells C; 40 C reads one; 50 C has; \
                60 C reads one; 70 C has",
        },
        Case {
            name: "a node that starts later",
            steps: "0 write milano; 10 A reads; 60000 C restarts; 60010 C lists; 60020 C has milano; \
                60030 B restarts; 60040 A tells B; 60050 B has milano",
        },
    ];
    for case in cases {
        let mut scenario = Scenario::default();
        case.steps.split(';').for_each(|step| scenario.play(step, case.name));
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
