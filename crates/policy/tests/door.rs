//! Refusals at the entry.

use fulmartrestle_core::{Class, Service, Tenant, TimeUs, VmId};
use fulmartrestle_policy::{AdmissionLevel, Door, DoorCheck, DoorSettings, Permille, TenantHash, TenantShare};
use googletest::prelude::*;

fn tenant(name: &str) -> Tenant {
    name.parse().expect("the name is valid")
}

fn service(name: &str) -> Service {
    name.parse().expect("the name is valid")
}

fn level(browse: u16, lookup: u16, protected: u16, marginal: Class) -> AdmissionLevel {
    let classes = [Permille(browse), Permille(lookup), Permille(protected)];
    AdmissionLevel { classes, marginal, offered_per_s: 100, ..AdmissionLevel::default() }
}

#[gtest]
fn the_weakest_service_of_the_chain_decides() {
    struct Case {
        name: &'static str,
        chain: Vec<&'static str>,
        class: Class,
        tenant: &'static str,
        share: u16,
    }
    use Class::{Browse, Lookup, Protected};
    let cases = [
        Case { name: "calm service", chain: vec!["front"], class: Browse, tenant: "a", share: 1_000 },
        Case { name: "unknown service", chain: vec!["other"], class: Browse, tenant: "a", share: 1_000 },
        Case { name: "deep service", chain: vec!["front", "deep"], class: Lookup, tenant: "a", share: 500 },
        Case { name: "lowest class", chain: vec!["front", "deep"], class: Browse, tenant: "a", share: 0 },
        Case { name: "greedy tenant", chain: vec!["front", "deep"], class: Lookup, tenant: "greedy", share: 100 },
        Case {
            name: "greedy, but protected",
            chain: vec!["front", "deep"],
            class: Protected,
            tenant: "greedy",
            share: 1_000,
        },
    ];
    let mut deep = level(0, 500, 1_000, Lookup);
    deep.tenants[0] = TenantShare { tenant: TenantHash::of(&tenant("greedy")), share: Permille(100) };
    let now = TimeUs::from_s(1);
    let mut door = Door::new(DoorSettings::default());
    door.observe(&service("deep"), VmId(1), deep, now);
    door.observe(&service("front"), VmId(2), AdmissionLevel::default(), now);
    for case in cases {
        let chain: Vec<Service> = case.chain.into_iter().map(service).collect();
        let tenant = tenant(case.tenant);
        let check = DoorCheck { chain: &chain, class: case.class, tenant: &tenant, weight: 1 };
        expect_that!(door.share(&check, now), eq(Permille(case.share)), "{}", case.name);
        let just_below = (u64::from(case.share) << 32).div_ceil(1_000).saturating_sub(1) as u32;
        let low_draw_passes = door.check(check, now, just_below).is_ok();
        expect_that!(low_draw_passes, eq(case.share > 0), "{}", case.name);
        let highest_draw_passes = door.check(check, now, u32::MAX).is_ok();
        expect_that!(highest_draw_passes, eq(case.share == 1_000), "{}", case.name);
    }
}

#[gtest]
fn targets_weigh_by_their_traffic() {
    let mut door = Door::new(DoorSettings::default());
    let now = TimeUs::from_s(1);
    let busy = AdmissionLevel { offered_per_s: 300, ..level(200, 1_000, 1_000, Class::Browse) };
    door.observe(&service("deep"), VmId(1), busy, now);
    door.observe(&service("deep"), VmId(2), level(1_000, 1_000, 1_000, Class::Browse), now);
    let (chain, tenant) = ([service("deep")], tenant("a"));
    let check = DoorCheck { chain: &chain, class: Class::Browse, tenant: &tenant, weight: 1 };
    expect_that!(door.share(&check, now), eq(Permille(400)));
}

#[gtest]
fn levels_decay_by_themselves_most_important_class_first() {
    let mut door = Door::new(DoorSettings::default().hold_ms(300).recovery_ms(1_000));
    let heard = TimeUs::from_s(1);
    door.observe(&service("deep"), VmId(1), level(0, 0, 400, Class::Protected), heard);
    let (chain, tenant) = ([service("deep")], tenant("a"));
    let mut share = |class, after_ms| {
        let check = DoorCheck { chain: &chain, class, tenant: &tenant, weight: 1 };
        door.share(&check, heard.plus_ms(after_ms)).0
    };
    expect_that!(Class::ALL.map(|class| share(class, 200)), eq([0, 0, 400]));
    expect_that!(Class::ALL.map(|class| share(class, 800)), eq([0, 0, 900]));
    expect_that!(Class::ALL.map(|class| share(class, 1_800)), eq([0, 500, 1_000]));
    expect_that!(Class::ALL.map(|class| share(class, 3_300)), eq([1_000, 1_000, 1_000]));
}
