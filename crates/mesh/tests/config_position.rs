//! Tests a reader's position while the store returns from older copies of itself.
//!
//! `FULMARTRESTLE_SEED` shifts the seeds and `FULMARTRESTLE_SEEDS` sets their number.

use std::collections::BTreeMap;

use fulmartrestle_core::{LogEra, LogOffset, TimeUs, Version};
use fulmartrestle_mesh::{ConfigPosition, KnownVersions};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time within which a version must be in force once it is acknowledged, in milliseconds: a withdrawn key must stop
/// working.
const REVOKE_MS: u64 = 5_000;

/// Time within which the operator writes again what the store has lost, in milliseconds.
const MAX_REWRITE_MS: u64 = 2_000;

/// Duration of one step, in milliseconds.
const STEP_MS: u64 = 10;

/// Interval between two reads of a node, in milliseconds.
const READ_INTERVAL_MS: u64 = 900;

/// A store whose only record is the configuration, and an operator who writes versions to it.
#[derive(Clone, Default)]
struct Store {
    era: u64,
    /// Versions by offset, with the time at which each was written.
    records: Vec<(u64, u64)>,
    /// Acknowledged versions, with the time of the first acknowledgement.
    acknowledged: BTreeMap<u64, u64>,
    rewrite_at_ms: Option<u64>,
    /// Settled eras that readers have written, with the time at which each was written.
    settled: Vec<(u64, u64)>,
}

impl Store {
    fn append(&mut self, version: u64, now_ms: u64) {
        self.records.push((version, now_ms));
        self.acknowledged.entry(version).or_insert(now_ms);
    }

    fn newest_acknowledged(&self) -> u64 {
        self.acknowledged.last_key_value().map_or(0, |(version, _)| *version)
    }

    /// Returns from a copy that is `age_ms` old.
    fn restore(&mut self, now_ms: u64, age_ms: u64, rewrite_after_ms: u64) {
        self.records.retain(|(_, written_ms)| *written_ms + age_ms <= now_ms || *written_ms == 0);
        self.settled.retain(|(_, written_ms)| *written_ms + age_ms <= now_ms);
        self.era += 1;
        self.rewrite_at_ms = Some(now_ms + rewrite_after_ms);
    }
}

/// A node that reads the store, and remembers up to when it knows that its version is the newest.
#[derive(Default)]
struct Reader {
    position: ConfigPosition,
    version: u64,
    confirmed_ms: Option<u64>,
}

/// A fault of the followers of a game.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// They keep their offset through a new era.
    KeepsOffset,
    /// They take the first era that they see after a restart for an old one.
    TrustsFirstEra,
}

impl Reader {
    fn restarted(fault: Fault) -> Self {
        Self { position: ConfigPosition::new(fault == Fault::TrustsFirstEra), ..Self::default() }
    }

    fn read(&mut self, store: &Store, peers: u64, now_ms: u64) {
        let now = TimeUs::from_ms(now_ms);
        let era = Some(LogEra(store.era));
        // The era that the node knew before this read.
        let from = self.position.next_offset(era, now);
        let end = store.records.len() as u64;
        let first = match from {
            Some(offset) if offset.0 > end => return self.position.restart(),
            Some(offset) => offset.0,
            // The newest record alone.
            None => end.saturating_sub(1),
        };
        let mut last_config = None;
        for (offset, (version, _)) in store.records.iter().enumerate().skip(first as usize) {
            self.version = self.version.max(*version);
            last_config = Some(LogOffset(offset as u64));
        }
        let versions = KnownVersions { own: Version(self.version), peers: Version(peers) };
        if !self.position.advance(era, LogOffset(end), last_config) {
            return;
        }
        if let Some((era, _)) = store.settled.last() {
            self.position.set_settled(LogEra(*era));
        }
        if self.position.proves_newest(versions, now) {
            self.confirmed_ms = Some(now_ms);
        }
    }
}

/// Plays versions, restored copies and restarts of readers. Returns the number of moments at which a reader with a
/// recent confirmation lacked a version that had been acknowledged for longer than [`REVOKE_MS`].
fn play(seed: u64, fault: Fault) -> u32 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut store = Store::default();
    store.append(1, 0);
    let mut readers: Vec<Reader> = (0..3).map(|_| Reader::default()).collect();
    let mut violations = 0;
    let mut next_version = 2;
    for now_ms in (STEP_MS..60_000).step_by(STEP_MS as usize) {
        if rng.random::<f64>() < 0.008 {
            store.append(next_version, now_ms);
            next_version += 1;
        }
        if rng.random::<f64>() < 0.001_5 {
            let rewrite_after_ms = rng.random_range(0..MAX_REWRITE_MS);
            let age_ms = rng.random_range(500..8_000);
            store.restore(now_ms, age_ms, rewrite_after_ms);
        }
        if store.rewrite_at_ms.is_some_and(|at_ms| now_ms >= at_ms) {
            store.rewrite_at_ms = None;
            let newest = store.newest_acknowledged();
            if store.records.iter().all(|(version, _)| *version != newest) {
                store.append(newest, now_ms);
            }
        }
        if rng.random::<f64>() < 0.000_5 {
            readers.fill_with(|| Reader::restarted(fault));
        }
        for index in 0..readers.len() {
            let peers = readers.iter().map(|reader| reader.version).max().unwrap_or_default();
            let reader = &mut readers[index];
            if rng.random::<f64>() < 0.000_5 {
                *reader = Reader::restarted(fault);
            }
            if (now_ms + index as u64 * 300) % READ_INTERVAL_MS < STEP_MS {
                match fault {
                    Fault::KeepsOffset => reader.read(&Store { era: 0, ..store.clone() }, 0, now_ms),
                    Fault::None | Fault::TrustsFirstEra => reader.read(&store, peers, now_ms),
                }
                if reader.confirmed_ms == Some(now_ms) && store.settled.last().is_none_or(|(era, _)| *era != store.era)
                {
                    store.settled.push((store.era, now_ms));
                }
            }
            let accepts_keys = reader.confirmed_ms.is_some_and(|confirmed_ms| now_ms - confirmed_ms < REVOKE_MS);
            let owed = store.acknowledged.iter().rev().find(|(_, at_ms)| now_ms > **at_ms + REVOKE_MS);
            if accepts_keys && owed.is_some_and(|(version, _)| *version > reader.version) {
                violations += 1;
            }
        }
    }
    violations
}

fn number_from_env(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[gtest]
fn acknowledged_versions_are_in_force_through_restored_copies() {
    let first = number_from_env("FULMARTRESTLE_SEED", 0);
    for seed in first..first + number_from_env("FULMARTRESTLE_SEEDS", 30) {
        expect_that!(play(seed, Fault::None), eq(0), "seed {seed}");
    }
    for fault in [Fault::KeepsOffset, Fault::TrustsFirstEra] {
        let noticed = (0..30).filter(|seed| play(*seed, fault) > 0).count();
        expect_that!(noticed, gt(0), "{fault:?} is not noticed");
    }
}

const START: TimeUs = TimeUs::from_s(100);

/// Returns a position that has read up to offset 9 in the first era.
fn position_in_first_era() -> ConfigPosition {
    let mut position = ConfigPosition::default();
    assert_that!(position.next_offset(Some(LogEra(1)), START), none());
    assert_that!(position.advance(Some(LogEra(1)), LogOffset(9), Some(LogOffset(4))), eq(true));
    position
}

fn versions(own: u64, peers: u64) -> KnownVersions {
    KnownVersions { own: Version(own), peers: Version(peers) }
}

#[gtest]
fn first_read_proves_the_newest_version_at_once() {
    let mut position = ConfigPosition::default();
    // The store has not named its era yet.
    assert_that!(position.next_offset(None, START), none());
    assert_that!(position.advance(Some(LogEra(3)), LogOffset(9), Some(LogOffset(4))), eq(true));
    assert_that!(position.proves_newest(versions(2, 0), START), eq(true));
    assert_that!(position.next_offset(Some(LogEra(3)), START), some(eq(LogOffset(9))));
}

/// Guards against a node that starts after the store has come back from an older copy, and takes what it holds for the newest.
#[gtest]
fn first_read_after_a_restart_proves_the_newest_version_in_a_settled_era() {
    struct Case {
        name: &'static str,
        settled: Option<u64>,
        /// Time from the first read to the second one, which shows a configuration at this offset.
        after_ms: u64,
        config_offset: Option<LogOffset>,
        proves_newest: (bool, bool),
    }
    let case = |name, settled, after_ms, config_offset, proves_newest| Case {
        name,
        settled,
        after_ms,
        config_offset,
        proves_newest,
    };
    let cases = [
        case("settled", Some(3), 250, None, (true, true)),
        case("an earlier era is settled", Some(2), 2_400, None, (false, false)),
        case("an earlier era is settled, later", Some(2), 2_600, None, (false, true)),
        case("nothing is known", None, 2_400, None, (false, false)),
        case("nothing is known, later", None, 2_600, None, (false, true)),
        case("written in this era", Some(2), 250, Some(LogOffset(9)), (false, true)),
        case("read again", Some(2), 250, Some(LogOffset(8)), (false, false)),
    ];
    for Case { name, settled, after_ms, config_offset, proves_newest } in cases {
        let era = Some(LogEra(3));
        let mut position = ConfigPosition::new(false);
        let mut read = |now, next_offset, config_offset| {
            position.next_offset(era, now);
            assert_that!(position.advance(era, LogOffset(next_offset), config_offset), eq(true));
            if let Some(settled) = settled {
                position.set_settled(LogEra(settled));
            }
            let proves_newest = position.proves_newest(versions(2, 0), now);
            expect_that!(position.is_settled_in(LogEra(3)), eq(proves_newest), "{name}");
            expect_that!(position.is_settled_in(LogEra(4)), eq(false), "{name}");
            proves_newest
        };
        // The store may have been away for long before the first read.
        let first = read(START, 9, Some(LogOffset(4)));
        let second = read(START.plus_ms(after_ms), 10, config_offset);
        expect_that!((first, second), eq(proves_newest), "{name}");
    }
}

#[gtest]
fn new_era_voids_the_position() {
    let mut position = position_in_first_era();
    assert_that!(position.next_offset(Some(LogEra(2)), START), none());
    // The answer to a read of the last era.
    assert_that!(position.advance(Some(LogEra(3)), LogOffset(9), None), eq(false));
}

#[gtest]
fn read_in_a_new_era_proves_nothing_until_versions_are_written_again() {
    struct Case {
        name: &'static str,
        config_offset: Option<LogOffset>,
        after_ms: u64,
        peers: u64,
        proves_newest: bool,
    }
    let cases = [
        Case { name: "nothing written yet", config_offset: None, after_ms: 500, peers: 7, proves_newest: false },
        Case {
            name: "written in this era",
            config_offset: Some(LogOffset(6)),
            after_ms: 500,
            peers: 7,
            proves_newest: true,
        },
        Case { name: "nothing was lost", config_offset: None, after_ms: 2_600, peers: 7, proves_newest: true },
        Case {
            name: "a peer has a newer version",
            config_offset: Some(LogOffset(6)),
            after_ms: 2_600,
            peers: 8,
            proves_newest: false,
        },
    ];
    for case in cases {
        let mut position = position_in_first_era();
        position.next_offset(Some(LogEra(2)), START);
        position.advance(Some(LogEra(2)), LogOffset(6), Some(LogOffset(4)));
        expect_that!(position.proves_newest(versions(7, 7), START), eq(false), "{}", case.name);
        position.advance(Some(LogEra(2)), LogOffset(7), case.config_offset);
        let now = START.plus_ms(case.after_ms);
        expect_that!(position.proves_newest(versions(7, case.peers), now), eq(case.proves_newest), "{}", case.name);
    }
}
