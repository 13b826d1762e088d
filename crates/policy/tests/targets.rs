//! Tests the choice of targets.

use fulmartrestle_core::{AvailabilityZone, Service, TimeUs, VmId};
use fulmartrestle_policy::{
    AnnouncedTarget, CallResult, CompletedCall, TargetRequirements, TargetSettings, TargetTable,
};
use googletest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const OWN_ZONE: &str = "midrand";
const OTHER_ZONE: &str = "sandton";

struct Fleet {
    table: TargetTable,
    rng: ChaCha8Rng,
    service: Service,
    zone: AvailabilityZone,
}

impl Fleet {
    /// Returns a fleet with targets `0..local` in the own zone and `remote` further ones in another zone.
    fn new(local: u64, remote: u64) -> Self {
        let mut fleet = Self {
            table: TargetTable::new(TargetSettings::default()),
            rng: ChaCha8Rng::seed_from_u64(1),
            service: "verifier".parse().expect("the name is valid"),
            zone: OWN_ZONE.parse().expect("the name is valid"),
        };
        for id in 0..local + remote {
            let announcement = fleet.announcement(id, if id < local { OWN_ZONE } else { OTHER_ZONE });
            fleet.table.upsert(announcement, TimeUs::default());
        }
        fleet
    }

    fn announcement(&self, id: u64, zone: &str) -> AnnouncedTarget {
        AnnouncedTarget {
            target: VmId(id),
            service: self.service.clone(),
            zone: zone.parse().expect("the name is valid"),
            slots: 10,
            warm_up_ms: 0,
            leaving: false,
        }
    }

    fn choose(&mut self, exclude: &[VmId], now: TimeUs) -> Option<VmId> {
        let request = TargetRequirements { service: &self.service, own_zone: &self.zone, exclude };
        self.table.choose_target(&request, &mut self.rng, now)
    }

    fn call(&mut self, latency_us: impl Fn(VmId) -> u64, result: CallResult, now: TimeUs) -> Option<VmId> {
        let target = self.choose(&[], now)?;
        self.table.record_call_start(target, now);
        self.table.record_call_end(target, CompletedCall { latency_us: latency_us(target), result }, now);
        Some(target)
    }

    fn choose_many(&mut self, calls: usize, now: TimeUs) -> Vec<u64> {
        (0..calls).filter_map(|_| self.choose(&[], now)).map(|target| target.0).collect()
    }
}

#[gtest]
fn other_zones_are_used_only_under_load() {
    let mut fleet = Fleet::new(2, 2);
    let now = TimeUs::from_s(1);
    expect_that!(fleet.choose_many(100, now), each(lt(&2)));
    for _ in 0..16 {
        let target = fleet.choose(&[], now).expect("there are targets");
        fleet.table.record_call_start(target, now);
    }
    expect_that!(fleet.table.in_flight(VmId(0)) + fleet.table.in_flight(VmId(1)), eq(16));
    let to_other_zone = fleet.choose_many(100, now).into_iter().filter(|target| *target >= 2).count();
    expect_that!(to_other_zone, gt(70));
}

#[gtest]
fn excluded_leaving_and_suspected_targets_are_not_chosen() {
    struct Case {
        name: &'static str,
        apply: fn(&mut Fleet, TimeUs),
        exclude: Vec<VmId>,
        chosen: Option<u64>,
    }
    let cases = [
        Case { name: "excluded", apply: |_, _| {}, exclude: vec![VmId(0)], chosen: Some(1) },
        Case { name: "all excluded", apply: |_, _| {}, exclude: vec![VmId(0), VmId(1)], chosen: None },
        Case {
            name: "leaving",
            apply: |fleet, now| {
                let announcement = AnnouncedTarget { leaving: true, ..fleet.announcement(0, OWN_ZONE) };
                fleet.table.upsert(announcement, now);
            },
            exclude: vec![],
            chosen: Some(1),
        },
        Case { name: "removed", apply: |fleet, _| fleet.table.remove(VmId(0)), exclude: vec![], chosen: Some(1) },
        Case {
            name: "no new connection",
            apply: |fleet, now| fleet.table.record_connection_failure(VmId(0), now),
            exclude: vec![],
            chosen: Some(1),
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(2, 0);
        let now = TimeUs::from_s(1);
        (case.apply)(&mut fleet, now);
        for _ in 0..20 {
            let chosen = fleet.choose(&case.exclude, now).map(|target| target.0);
            expect_that!(chosen, eq(case.chosen), "{}", case.name);
        }
    }
}

#[gtest]
fn a_silent_connection_alone_does_not_suspect_the_target() {
    let mut fleet = Fleet::new(1, 0);
    let now = TimeUs::from_s(1);
    fleet.table.record_silent_connection(VmId(0), now);
    expect_that!(fleet.table.is_suspected(VmId(0), now), eq(false));
    fleet.table.record_working_connection(VmId(0), now);
    fleet.table.record_silent_connection(VmId(0), now);
    fleet.table.record_connection_failure(VmId(0), now);
    expect_that!(fleet.table.is_suspected(VmId(0), now), eq(true));
}

#[gtest]
fn a_suspected_target_is_probed_with_one_call_and_backs_off_further() {
    let mut fleet = Fleet::new(1, 0);
    let failed = TimeUs::from_s(1);
    fleet.table.record_connection_failure(VmId(0), failed);
    expect_that!(fleet.choose(&[], failed.plus_ms(99)), none());
    expect_that!(fleet.choose(&[], failed.plus_ms(100)), some(eq(VmId(0))));
    expect_that!(fleet.choose(&[], failed.plus_ms(100)), none());
    fleet.table.record_connection_failure(VmId(0), failed.plus_ms(110));
    expect_that!(fleet.choose(&[], failed.plus_ms(300)), none());
    expect_that!(fleet.choose(&[], failed.plus_ms(310)), some(eq(VmId(0))));
    fleet.table.record_call_start(VmId(0), failed.plus_ms(310));
    let answered = CompletedCall { latency_us: 1_000, result: CallResult::Answered };
    fleet.table.record_call_end(VmId(0), answered, failed.plus_ms(311));
    expect_that!(fleet.choose_many(5, failed.plus_ms(311)).len(), eq(5));
}

#[gtest]
fn slow_and_cold_targets_get_fewer_calls() {
    let mut fleet = Fleet::new(4, 0);
    let now = TimeUs::from_s(1);
    for _ in 0..400 {
        fleet.call(|target| if target == VmId(0) { 50_000 } else { 5_000 }, CallResult::Answered, now);
    }
    let to_slow = fleet.choose_many(400, now).into_iter().filter(|target| *target == 0).count();
    expect_that!(to_slow, lt(20));

    let cold = AnnouncedTarget { warm_up_ms: 1_000, ..fleet.announcement(9, OWN_ZONE) };
    fleet.table.upsert(cold, now);
    let to_cold =
        |fleet: &mut Fleet, now| fleet.choose_many(400, now).into_iter().filter(|target| *target == 9).count();
    expect_that!(to_cold(&mut fleet, now), lt(20));
    expect_that!(to_cold(&mut fleet, now.plus_ms(1_000)), gt(20));
}

#[gtest]
fn timeouts_suspect_a_target_only_while_others_answer() {
    let mut fleet = Fleet::new(2, 0);
    let now = TimeUs::from_s(1);
    let timed_out = CompletedCall { latency_us: 100_000, result: CallResult::TimedOut };
    let answered = CompletedCall { latency_us: 1_000, result: CallResult::Answered };
    for _ in 0..50 {
        fleet.table.record_call_end(VmId(0), timed_out, now);
        fleet.table.record_call_end(VmId(1), timed_out, now);
    }
    expect_that!(fleet.table.is_suspected(VmId(0), now), eq(false));
    for _ in 0..20 {
        fleet.table.record_call_end(VmId(0), timed_out, now);
        fleet.table.record_call_end(VmId(1), answered, now);
    }
    expect_that!(fleet.table.is_suspected(VmId(0), now), eq(true));
    expect_that!(fleet.table.is_suspected(VmId(1), now), eq(false));
}
