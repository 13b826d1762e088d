//! Tests admission control at ingress.

use fulmartrestle_core::{Class, Service, Tenant, TimeUs, VmId};
use fulmartrestle_policy::{
    AdmissionLevel, BasisPoints, IngressAdmission, IngressAdmissionSettings, IngressRequest, SheddableShares,
    TenantHash, TenantShares,
};
use googletest::prelude::*;

fn tenant(name: &str) -> Tenant {
    name.parse().expect("the name is valid")
}

fn service(name: &str) -> Service {
    name.parse().expect("the name is valid")
}

fn level(browse: u16, lookup: u16, protected: u16) -> AdmissionLevel {
    let common = SheddableShares { browse: BasisPoints(browse), lookup: BasisPoints(lookup) };
    AdmissionLevel { protected: BasisPoints(protected), common, offered_per_s: 100, ..AdmissionLevel::default() }
}

#[gtest]
fn the_admitted_share_is_the_lowest_of_the_chain() {
    struct Case {
        name: &'static str,
        chain: Vec<&'static str>,
        class: Class,
        tenant: &'static str,
        share: u16,
    }
    use Class::{Browse, Lookup, Protected};
    let cases = [
        Case { name: "unloaded service", chain: vec!["front"], class: Browse, tenant: "a", share: 10_000 },
        Case { name: "unknown service", chain: vec!["other"], class: Browse, tenant: "a", share: 10_000 },
        Case { name: "deep service", chain: vec!["front", "deep"], class: Lookup, tenant: "a", share: 5_000 },
        Case { name: "lowest class", chain: vec!["front", "deep"], class: Browse, tenant: "a", share: 0 },
        Case { name: "greedy tenant", chain: vec!["front", "deep"], class: Lookup, tenant: "greedy", share: 1_000 },
        Case {
            name: "greedy, but protected",
            chain: vec!["front", "deep"],
            class: Protected,
            tenant: "greedy",
            share: 10_000,
        },
    ];
    let mut deep = level(0, 5_000, 10_000);
    let shares = SheddableShares { browse: BasisPoints::ZERO, lookup: BasisPoints(1_000) };
    deep.tenants[0] = TenantShares { tenant: TenantHash::from_tenant(&tenant("greedy")), shares };
    let now = TimeUs::from_s(1);
    let mut ingress = IngressAdmission::new(IngressAdmissionSettings::default());
    ingress.record_level(&service("deep"), VmId(1), deep, now);
    ingress.record_level(&service("front"), VmId(2), AdmissionLevel::default(), now);
    for case in cases {
        let chain: Vec<Service> = case.chain.into_iter().map(service).collect();
        let tenant = tenant(case.tenant);
        let request = IngressRequest { chain: &chain, class: case.class, tenant: &tenant, weight: 1 };
        expect_that!(ingress.admitted_share(&request, now), eq(BasisPoints(case.share)), "{}", case.name);
        let just_below = (u64::from(case.share) << 32).div_ceil(10_000).saturating_sub(1) as u32;
        let admits_low_draw = ingress.admit(request, now, just_below).is_ok();
        expect_that!(admits_low_draw, eq(case.share > 0), "{}", case.name);
        let admits_highest_draw = ingress.admit(request, now, u32::MAX).is_ok();
        expect_that!(admits_highest_draw, eq(case.share == 10_000), "{}", case.name);
    }
}

#[gtest]
fn levels_are_weighted_by_offered_calls() {
    let mut ingress = IngressAdmission::new(IngressAdmissionSettings::default());
    let now = TimeUs::from_s(1);
    let busy = AdmissionLevel { offered_per_s: 300, ..level(2_000, 10_000, 10_000) };
    ingress.record_level(&service("deep"), VmId(1), busy, now);
    ingress.record_level(&service("deep"), VmId(2), level(10_000, 10_000, 10_000), now);
    let (chain, tenant) = ([service("deep")], tenant("a"));
    let request = IngressRequest { chain: &chain, class: Class::Browse, tenant: &tenant, weight: 1 };
    expect_that!(ingress.admitted_share(&request, now), eq(BasisPoints(4_000)));
}

#[gtest]
fn shares_recover_without_updates_most_important_class_first() {
    let mut ingress =
        IngressAdmission::new(IngressAdmissionSettings::default().recovery_delay_ms(300).recovery_ms(1_000));
    let received_at = TimeUs::from_s(1);
    ingress.record_level(&service("deep"), VmId(1), level(0, 0, 4_000), received_at);
    let (chain, tenant) = ([service("deep")], tenant("a"));
    let mut share = |class, after_ms| {
        let request = IngressRequest { chain: &chain, class, tenant: &tenant, weight: 1 };
        ingress.admitted_share(&request, received_at.plus_ms(after_ms)).0
    };
    expect_that!(Class::ALL.map(|class| share(class, 200)), eq([0, 0, 4_000]));
    expect_that!(Class::ALL.map(|class| share(class, 800)), eq([0, 0, 9_000]));
    expect_that!(Class::ALL.map(|class| share(class, 1_800)), eq([0, 5_000, 10_000]));
    expect_that!(Class::ALL.map(|class| share(class, 3_300)), eq([10_000, 10_000, 10_000]));
}

#[gtest]
fn forwarded_level_reports_keep_their_age() {
    let (chain, team) = ([service("deep")], tenant("a"));
    let request = IngressRequest { chain: &chain, class: Class::Browse, tenant: &team, weight: 1 };
    let received_at = TimeUs::from_s(1);
    let mut first_node = IngressAdmission::new(IngressAdmissionSettings::default());
    first_node.record_level(&chain[0], VmId(1), level(2_500, 10_000, 10_000), received_at);
    let reports = first_node.level_reports(&chain, received_at.plus_ms(200));
    let mut second_node = IngressAdmission::new(IngressAdmissionSettings::default());
    for report in &reports {
        second_node.record_level_report(VmId(2), report, received_at.plus_ms(201));
    }
    expect_that!(second_node.admitted_share(&request, received_at.plus_ms(201)), eq(BasisPoints(2_500)));
    let forwarded = second_node.level_reports(&chain, received_at.plus_ms(300));
    expect_that!(forwarded.first().map(|report| report.age_ms), some(eq(299)));

    second_node.record_level(&chain[0], VmId(1), level(8_000, 10_000, 10_000), received_at.plus_ms(310));
    expect_that!(second_node.admitted_share(&request, received_at.plus_ms(310)), eq(BasisPoints(8_000)));
    expect_that!(second_node.level_reports(&chain, received_at.plus_ms(5_000)), is_empty());
}
