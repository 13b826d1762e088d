//! Replays of the traffic between zones, without a network.

use std::collections::VecDeque;

use fulmartrestle_core::{AvailabilityZone, Service, TimeUs, VmId};
use fulmartrestle_policy::{LoadBalancer, TargetReport, ZoneLoad, ZoneTraffic, ZoneTrafficReason, ZoneTrafficSettings};
use googletest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const TICK_MS: u64 = 50;
const DURATION_MS: u64 = 40_000;

/// Interval at which the shares are recalculated.
const UPDATE_MS: u64 = 250;

/// Calls beyond this many per slot of a zone are refused. They are not sent again.
const MAX_CALLS_PER_SLOT: f64 = 2.0;

fn service() -> Service {
    "deep".parse().expect("a valid name")
}

fn zone(index: usize) -> AvailabilityZone {
    format!("zone-{index}").parse().expect("a valid name")
}

/// One zone of a replay.
#[derive(Clone, Copy)]
struct Zone {
    slots: f64,
    hold_ms: f64,
    /// Calls that run if all calls of the zone's callers stay in it, before and after [`CHANGE_MS`].
    demand: [f64; 2],
    /// Whether the other zones and this one can't reach each other after [`CHANGE_MS`].
    partitioned: bool,
    /// Whether its targets are not ready after [`CHANGE_MS`], until 10 s before the end.
    evacuated: bool,
}

const CHANGE_MS: u64 = 10_000;

/// A zone with free slots.
const CALM: Zone = Zone { slots: 40.0, hold_ms: 200.0, demand: [16.0, 16.0], partitioned: false, evacuated: false };

/// What a replay has shown.
#[derive(Debug, Default)]
struct Replay {
    /// Share of the offered calls that was refused after the change.
    refused_share: f64,
    /// Share of each zone's calls that left it at the end.
    sent_share: Vec<f64>,
    /// Largest sum of the rises and falls of one zone's share in the last 15 s.
    unrest: f64,
    /// Largest share that two zones sent to each other at the same time.
    max_mutual_share: f64,
}

/// Replays calls as a flow. Each zone sees the load of the others as it was up to a second ago.
fn replay(zones: &[Zone], settings: Option<ZoneTrafficSettings>) -> Replay {
    let count = zones.len();
    let mut calls: Vec<f64> = zones.iter().map(|zone| zone.demand[0]).collect();
    let mut history: VecDeque<Vec<f64>> = VecDeque::new();
    let mut deciders: Vec<ZoneTraffic> = (0..count).map(|_| ZoneTraffic::new(settings.unwrap_or_default())).collect();
    let mut shares = vec![vec![0.0; count]; count];
    let (mut offered, mut refused) = (0.0, 0.0);
    let mut unrest = vec![0.0; count];
    let mut replay = Replay::default();
    for ms in (0..DURATION_MS).step_by(TICK_MS as usize) {
        let changed = ms >= CHANGE_MS;
        let ready = |index: usize| {
            zones[index].slots > 0.0 && !(zones[index].evacuated && changed && ms < DURATION_MS - 10_000)
        };
        let reachable = |from: usize, to: usize| {
            ready(to) && (from == to || !changed || !(zones[from].partitioned || zones[to].partitioned))
        };
        history.push_front(calls.clone());
        history.truncate(1 + 1_000 / TICK_MS as usize);
        if settings.is_some() && ms % UPDATE_MS == 0 {
            for from in 0..count {
                let load = |to: usize| {
                    // Reports arrive once a second, at another time from each zone.
                    let age_ms = if from == to { 250 } else { (ms + 330 * to as u64) % 1_000 };
                    let seen = &history[(age_ms / TICK_MS) as usize % history.len()];
                    let slots = if reachable(from, to) { zones[to].slots } else { 0.0 };
                    ZoneLoad { zone: zone(to), slots, calls: seen[to], hold_us: zones[to].hold_ms * 1e3 }
                };
                let loads: Vec<ZoneLoad> = (0..count).map(load).collect();
                deciders[from].update(&service(), &zone(from), &loads, TimeUs::from_ms(ms));
                let before: f64 = shares[from].iter().sum();
                for (to, share) in shares[from].iter_mut().enumerate() {
                    let found = deciders[from].shares(&service()).iter().find(|share| share.zone == zone(to));
                    *share = found.map_or(0.0, |share| share.share);
                }
                let after: f64 = shares[from].iter().sum();
                if ms >= DURATION_MS - 15_000 {
                    unrest[from] += f64::abs(after - before);
                }
            }
        }
        let mut next = calls.clone();
        for index in 0..count {
            let occupancy = calls[index] / zones[index].slots.max(1.0);
            let hold_ms = zones[index].hold_ms * (1.0 + 0.3 * occupancy.min(1.0).powi(6));
            next[index] -= calls[index].min(zones[index].slots) * TICK_MS as f64 / hold_ms;
        }
        for (from, zone) in zones.iter().enumerate() {
            let per_tick = zone.demand[usize::from(changed)] * TICK_MS as f64 / zone.hold_ms;
            let left: f64 = shares[from].iter().sum();
            for (to, share) in shares[from].iter().enumerate() {
                let share = if to == from { 1.0 - left } else { *share };
                // A call that can't be sent to the zone of its share stays at home.
                let to = if reachable(from, to) { to } else { from };
                let taken = (zones[to].slots * MAX_CALLS_PER_SLOT - next[to]).clamp(0.0, per_tick * share);
                let taken = if reachable(from, to) { taken } else { 0.0 };
                next[to] += taken;
                if changed {
                    offered += per_tick * share;
                    refused += per_tick * share - taken;
                }
            }
        }
        calls = next;
        for (from, to) in (0..count).flat_map(|from| (0..from).map(move |to| (from, to))) {
            replay.max_mutual_share = replay.max_mutual_share.max(shares[from][to].min(shares[to][from]));
        }
    }
    replay.refused_share = refused / offered;
    replay.sent_share = shares.iter().map(|row| row.iter().sum()).collect();
    replay.unrest = unrest.into_iter().fold(0.0, f64::max);
    replay
}

/// Zones must relieve each other when one is short, must not send to each other when both are, and must not swing
/// although reports are up to a second old.
#[gtest]
fn zones_relieve_each_other_without_swinging() {
    struct Case {
        name: &'static str,
        zones: Vec<Zone>,
        /// Share of the calls that is refused without and with traffic between zones.
        refused_share: [f64; 2],
        /// Share of each zone's calls that leaves it at the end.
        sent_share: &'static [f64],
    }
    let case = |name, zones: &[Zone], refused_share, sent_share| Case {
        name,
        zones: zones.to_vec(),
        refused_share,
        sent_share,
    };
    let rush = Zone { demand: [16.0, 60.0], ..CALM };
    let [cut, evacuated] = [Zone { partitioned: true, ..rush }, Zone { evacuated: true, ..CALM }];
    let [empty, double] = [Zone { slots: 0.0, ..CALM }, Zone { slots: 80.0, ..CALM }];
    let large = Zone { demand: [80.0, 150.0], slots: 120.0, ..CALM };
    let small = Zone { demand: [2.0, 2.0], slots: 8.0, ..CALM };
    let slow = Zone { hold_ms: 500.0, demand: [20.0, 20.0], ..CALM };
    let cases = [
        case("all calm", &[CALM; 3], [0.0, 0.0], &[0.0; 3]),
        case("a rush in one zone", &[rush, CALM, CALM], [0.31, 0.04], &[0.48, 0.0, 0.0]),
        case("a partitioned zone with a rush", &[cut, CALM, CALM], [0.31, 0.31], &[0.0; 3]),
        case("an evacuated zone that is taken back", &[evacuated, CALM, CALM], [0.22, 0.0], &[0.02, 0.0, 0.0]),
        case("an empty zone", &[empty, CALM, CALM], [0.33, 0.0], &[1.0, 0.0, 0.0]),
        case("a rush in a large zone", &[large, small, CALM], [0.34, 0.24], &[0.12, 0.0, 0.0]),
        case("both short", &[rush, rush], [0.48, 0.48], &[0.0; 2]),
        case("both short beside a large one", &[rush, rush, double], [0.42, 0.13], &[0.37, 0.37, 0.0]),
        case("slow targets, up to the largest share", &[slow, CALM, CALM], [0.0, 0.0], &[0.5, 0.0, 0.0]),
    ];
    for case in cases {
        let without = replay(&case.zones, None);
        let with = replay(&case.zones, Some(ZoneTrafficSettings::default()));
        expect_that!(without.refused_share, near(case.refused_share[0], 0.02), "{}", case.name);
        expect_that!(with.refused_share, near(case.refused_share[1], 0.02), "{}", case.name);
        for (sent, expected) in with.sent_share.iter().zip(case.sent_share) {
            expect_that!(*sent, near(*expected, 0.03), "{}: {with:?}", case.name);
        }
        expect_that!(with.max_mutual_share, le(0.03), "{}", case.name);
        let changes_late = case.zones.iter().any(|zone| zone.evacuated);
        expect_that!(with.unrest, le(if changes_late { 1.1 } else { 0.02 }), "{}", case.name);
    }
}

/// Bytes that cost more than the time which they save must keep calls in their zone, also if its targets are slower.
#[gtest]
fn a_high_price_keeps_calls_in_their_zone() {
    let slow = Zone { hold_ms: 300.0, demand: [16.0, 16.0], ..CALM };
    let sent = |price_per_mb| {
        let settings = ZoneTrafficSettings { price_per_mb, ..ZoneTrafficSettings::default() };
        replay(&[slow, CALM], Some(settings)).sent_share[0]
    };
    expect_that!(sent(0.0), ge(0.2));
    // Calls of 4 kB that save 100 ms.
    expect_that!(sent(50_000.0), eq(0.0));
}

fn idle_report() -> TargetReport {
    TargetReport {
        service: service(),
        started_unix_ms: 0,
        notices: None,
        instance: "one".to_owned(),
        ready: true,
        limit: 40,
        running: 0,
        waiting: 0,
        hold_us: 200_000,
        cold: false,
        paced_rate: None,
        pace_percent: None,
        failed_percent: 0,
    }
}

/// Returns the shares of 1,000 calls from zone 0 that are sent to each of two targets, the first of them in zone 0.
fn choose(settings: Option<ZoneTrafficSettings>, running: [u32; 2], tried: &[VmId]) -> [f64; 2] {
    let mut balancer = LoadBalancer::default();
    balancer.set_zone_traffic(settings);
    let mut now = TimeUs::from_s(10);
    for _ in 0..80 {
        now = now.plus_ms(UPDATE_MS);
        for (index, running) in running.into_iter().enumerate() {
            let report = TargetReport { running, ..idle_report() };
            balancer.record_report(VmId(index as u64), &zone(index), Some(report), now);
        }
        balancer.update_zone_traffic(&zone(0), now);
    }
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut chosen = [0.0; 2];
    for _ in 0..1_000 {
        let node = balancer.choose_target(&service(), &zone(0), tried, &mut rng, now).expect("a usable target");
        chosen[node.0 as usize] += 1e-3;
    }
    chosen
}

/// The choice must follow the shares, and must be as before without settings and for a call that was refused elsewhere.
#[gtest]
fn targets_are_chosen_by_the_shares() {
    struct Case {
        name: &'static str,
        settings: Option<ZoneTrafficSettings>,
        running: [u32; 2],
        tried: &'static [VmId],
        chosen: [f64; 2],
    }
    let settings = Some(ZoneTrafficSettings { max_share: 0.3, ..ZoneTrafficSettings::default() });
    let cases = [
        Case { name: "calm", settings, running: [20, 8], tried: &[], chosen: [1.0, 0.0] },
        Case { name: "short", settings, running: [40, 8], tried: &[], chosen: [0.7, 0.3] },
        Case { name: "both short", settings, running: [40, 40], tried: &[], chosen: [1.0, 0.0] },
        Case { name: "refused in its zone", settings, running: [20, 40], tried: &[VmId(0)], chosen: [0.0, 1.0] },
        Case { name: "refused elsewhere", settings, running: [40, 8], tried: &[VmId(9)], chosen: [0.0, 1.0] },
        Case { name: "no settings", settings: None, running: [40, 8], tried: &[], chosen: [0.0, 1.0] },
    ];
    for case in cases {
        let chosen = choose(case.settings, case.running, case.tried);
        for (chosen, expected) in chosen.into_iter().zip(case.chosen) {
            expect_that!(chosen, near(expected, 0.05), "{}", case.name);
        }
    }
}

/// A call whose zone has no usable target is not bound to one zone, so that the fastest target of all others gets it.
#[gtest]
fn calls_of_an_empty_zone_compare_all_targets() {
    let load = |index, slots| ZoneLoad { zone: zone(index), slots, calls: 0.0, hold_us: 1e5 };
    let mut traffic = ZoneTraffic::default();
    let logged = traffic.update(&service(), &zone(0), &[load(0, 0.0), load(1, 30.0), load(2, 10.0)], TimeUs::from_s(9));
    let logged: Vec<_> = logged.unwrap_or_default().into_iter().map(|share| (share.share, share.reason)).collect();
    assert_that!(logged, eq(&vec![(0.75, ZoneTrafficReason::Empty), (0.25, ZoneTrafficReason::Empty)]));
    assert_that!(traffic.choose_zone(&service(), 0.5), none());
}
