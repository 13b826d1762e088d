//! Creation and validation of plans.

mod support;

use fulmartrestle_config::fleet::{DrainSelector, RouteRow, StopScope};
use fulmartrestle_config::plan::{Change, Intent, IntentChange, StopIntent, Warning, diff_plan};
use fulmartrestle_core::RatePerS;
use googletest::prelude::*;
use support::{create_test_plan, fleet, id, key_id, route_row, tenant_row, try_create_plan};

fn stop_in(zone: &str, local_time: &str, time_zone: &str) -> IntentChange {
    IntentChange::PlanStop(StopIntent {
        stop: id("works"),
        scope: StopScope::Zone(id(zone)),
        local_time: local_time.to_owned(),
        time_zone: time_zone.to_owned(),
    })
}

#[gtest]
fn intent_documents_are_parsed() {
    let text = r#"{
        "why": "spring timetable", // the season starts
        "changes": [
            {"set_tenant": {"tenant": "alpi", "rate_per_s": 250, "burst": 50, "weight": 2}},
            {"set_route": {"route": "cabins", "path_prefix": "/cabins", "service": "pairing",
                "class": "protected", "at_most_once": true, "timeout_ms": 3000}},
            {"grant_key": "alpi"},
            {"withdraw_key": "k-0011223344556677"},
            {"drain": {"service_in_zone": {"service": "pairing", "zone": "milano"}}},
            {"plan_stop": {"stop": "works", "scope": {"zone": "verona"},
                "local_time": "2026-03-30T02:30", "time_zone": "Europe/Rome"}},
            {"set_objective": {"route": "profiles", "within_ms": 300, "share_per_million": 999000}},
        ],
    }"#;
    let intent = Intent::parse("i.jsonc", text).unwrap();
    assert_that!(intent.changes, len(eq(7)));
    assert_that!(intent.changes[2], eq(&IntentChange::GrantKey(id("alpi"))));
    let invalid = text.replace("\"burst\": 50", "\"burst\": -5");
    let error = Intent::parse("i.jsonc", &invalid).unwrap_err().to_string();
    assert_that!(error, starts_with("i.jsonc:4:75: field `changes.0.set_tenant.burst`: invalid value: integer `-5`"));
    let misspelt = text.replace("grant_key", "grant_keys");
    let error = Intent::parse("i.jsonc", &misspelt).unwrap_err().to_string();
    assert_that!(error, starts_with("i.jsonc:7:14: field `changes.2.grant_keys`: unknown variant"));
}

#[gtest]
fn plans_state_what_they_affect_and_warn() {
    struct Case {
        name: &'static str,
        change: IntentChange,
        tenants: &'static [&'static str],
        routes: &'static [&'static str],
        target_count: usize,
        traffic_share: u32,
        warnings: Vec<Warning>,
    }
    let below = |service: &str, needed| Warning::ZoneBelowNeed {
        zone: id("milano"),
        service: id(service),
        needed_per_s: RatePerS(needed),
        capacity_per_s: RatePerS(0),
    };
    let over = |promised, capacity| Warning::RatesOverCapacity {
        service: id("profiles"),
        promised_per_s: RatePerS(promised),
        capacity_per_s: RatePerS(capacity),
    };
    let cases = [
        Case {
            name: "tenant within capacity",
            change: IntentChange::SetTenant(tenant_row("alpi", 150)),
            tenants: &["alpi"],
            routes: &[],
            target_count: 0,
            traffic_share: 600_000,
            warnings: vec![],
        },
        Case {
            name: "tenant over capacity",
            change: IntentChange::SetTenant(tenant_row("alpi", 250)),
            tenants: &["alpi"],
            routes: &[],
            target_count: 0,
            traffic_share: 600_000,
            warnings: vec![over(350, 300)],
        },
        Case {
            name: "route without target",
            change: IntentChange::SetRoute(route_row("maps", "/maps", "maps")),
            tenants: &[],
            routes: &["maps"],
            target_count: 0,
            traffic_share: 0,
            warnings: vec![Warning::RouteWithoutTarget { route: id("maps"), service: id("maps") }],
        },
        Case {
            name: "one of two keys withdrawn",
            change: IntentChange::WithdrawKey(key_id("lago-1")),
            tenants: &["lago"],
            routes: &[],
            target_count: 0,
            traffic_share: 400_000,
            warnings: vec![],
        },
        Case {
            name: "last key withdrawn",
            change: IntentChange::WithdrawKey(key_id("alpi-1")),
            tenants: &["alpi"],
            routes: &[],
            target_count: 0,
            traffic_share: 600_000,
            warnings: vec![Warning::LastKeyOfTenant { tenant: id("alpi") }],
        },
        Case {
            name: "zone with traffic stops",
            change: stop_in("milano", "2026-06-01T02:30", "Europe/Rome"),
            tenants: &[],
            routes: &["pairings", "profiles"],
            target_count: 2,
            traffic_share: 1_000_000,
            warnings: vec![over(200, 150), below("pairing", 30), below("profiles", 100)],
        },
        Case {
            name: "zone without traffic drains",
            change: IntentChange::Drain(DrainSelector::Zone(id("verona"))),
            tenants: &[],
            routes: &["pairings", "profiles"],
            target_count: 2,
            traffic_share: 1_000_000,
            warnings: vec![over(200, 150)],
        },
    ];
    for case in cases {
        let plan = create_test_plan(&fleet(), vec![case.change], 1);
        let tenants: Vec<_> = plan.affects.tenants.iter().map(|tenant| tenant.as_str()).collect();
        let routes: Vec<_> = plan.affects.routes.iter().map(|route| route.as_str()).collect();
        expect_that!(tenants, eq(case.tenants), "case: {}", case.name);
        expect_that!(routes, eq(case.routes), "case: {}", case.name);
        expect_that!(plan.affects.target_count, eq(case.target_count), "case: {}", case.name);
        expect_that!(plan.affects.traffic_share.0, eq(case.traffic_share), "case: {}", case.name);
        expect_that!(plan.warnings, eq(&case.warnings), "case: {}", case.name);
        expect_that!(plan.validate(), ok(anything()), "case: {}", case.name);
    }
}

#[gtest]
fn errors_state_the_change_and_the_value() {
    struct Case {
        change: IntentChange,
        error: &'static str,
    }
    let once = RouteRow { at_most_once: true, ..route_row("a", "/a", "a") };
    let cases = [
        Case { change: IntentChange::GrantKey(id("none")), error: "changes.0: no tenant none" },
        Case { change: IntentChange::RemoveTenant(id("none")), error: "changes.0: no tenant none" },
        Case { change: IntentChange::WithdrawKey(id("k-none")), error: "changes.0: no key k-none" },
        Case { change: IntentChange::RemoveRoute(id("none")), error: "changes.0: no route none" },
        Case { change: IntentChange::CancelStop(id("none")), error: "changes.0: no stop none" },
        Case {
            change: IntentChange::Undrain(DrainSelector::Zone(id("milano"))),
            error: "changes.0: no drain of zone milano",
        },
        Case {
            change: IntentChange::SetRoute(route_row("other", "/profiles", "x")),
            error: "changes.0: path prefix /profiles is taken by route profiles",
        },
        Case {
            change: IntentChange::SetRoute(route_row("other", "profiles/", "x")),
            error: "field `path_prefix`: expected a path like /pairings without a trailing slash, found `profiles/`",
        },
        Case {
            change: IntentChange::SetRoute(once),
            error: "field `retryable`: a route that runs at most once can't be retried",
        },
        Case {
            change: stop_in("milano", "2026-03-29T02:30", "Europe/Rome"),
            error: "local time 2026-03-29T02:30 does not exist in Europe/Rome: clocks are set forward past it; \
                    with the offset before the change it is \
                    2026-03-29T01:30:00Z (2026-03-29T03:30:00+02:00[Europe/Rome]), \
                    with the offset after the change it is \
                    2026-03-29T00:30:00Z (2026-03-29T01:30:00+01:00[Europe/Rome])",
        },
        Case {
            change: stop_in("milano", "2026-10-25T02:30", "Europe/Rome"),
            error: "local time 2026-10-25T02:30 exists twice in Europe/Rome: \
                    first 2026-10-25T00:30:00Z (2026-10-25T02:30:00+02:00[Europe/Rome]), \
                    then 2026-10-25T01:30:00Z (2026-10-25T02:30:00+01:00[Europe/Rome])",
        },
        Case {
            change: stop_in("milano", "2026-05-01T02:30", "Europe/Roma"),
            error: "field `time_zone`: unknown time zone, found `Europe/Roma`",
        },
        Case { change: stop_in("milano", "half past two", "Europe/Rome"), error: "found `half past two`" },
        Case { change: stop_in("milano", "2025-05-01T02:30", "Europe/Rome"), error: "the time has passed" },
    ];
    for case in cases {
        let error = try_create_plan(&fleet(), vec![case.change], 1).unwrap_err().to_string();
        expect_that!(error, contains_substring(case.error));
    }
    let both = vec![IntentChange::RemoveOperator(id("ada")), IntentChange::RemoveOperator(id("bob"))];
    let error = try_create_plan(&fleet(), both, 1).unwrap_err().to_string();
    expect_that!(error, eq("changes.1: bob is the last operator"));
    expect_that!(try_create_plan(&fleet(), vec![], 1).unwrap_err().to_string(), contains_substring("`changes`"));
}

#[gtest]
fn stops_contain_utc_and_local_time() {
    let plan = create_test_plan(&fleet(), vec![stop_in("milano", "2026-06-01T02:30", "Europe/Rome")], 1);
    let Change::PutStop(row) = &plan.writes[0] else { panic!("no stop") };
    assert_that!(row.utc_time(), eq("2026-06-01T00:30:00Z"));
    assert_that!(row.local_time, eq("2026-06-01T02:30:00+02:00[Europe/Rome]"));
    assert_that!(row.is_due(row.at_unix_ms - 1), is_false());
    assert_that!(row.is_due(row.at_unix_ms), is_true());
}

#[gtest]
fn granted_secret_is_not_in_the_plan_and_is_valid_once_applied() {
    let grants = vec![IntentChange::GrantKey(id("alpi")), IntentChange::GrantKey(id("lago"))];
    let planned = try_create_plan(&fleet(), grants, 7).unwrap();
    let document = serde_json::to_string(&planned.plan).unwrap();
    let config = fleet().with_changes(fleet().version(), &planned.plan.writes);
    for granted in &planned.granted_keys {
        let secret = granted.secret.expose_secret();
        expect_that!(document, not(contains_substring(secret)));
        expect_that!(format!("{granted:?}"), not(contains_substring(secret)));
        expect_that!(config.tenant_for_key(secret).unwrap().tenant, eq(&granted.tenant));
    }
    assert_that!(planned.granted_keys[0].secret, not(eq(&planned.granted_keys[1].secret)));
}

#[gtest]
fn plan_documents_round_trip_through_json_and_detect_tampering() {
    let plan = create_test_plan(&fleet(), vec![IntentChange::SetTenant(tenant_row("alpi", 150))], 1);
    let text = serde_json::to_string(&plan).unwrap();
    let parsed = serde_json::from_str(&text).unwrap();
    assert_that!(plan, eq(&parsed));
    let forged: fulmartrestle_config::plan::Plan = serde_json::from_str(&text.replace("150", "151")).unwrap();
    assert_that!(forged.validate().unwrap_err().to_string(), contains_substring("does not belong to this plan"));
}

#[gtest]
fn diff_shows_rows_before_and_after() {
    let changes = vec![IntentChange::SetTenant(tenant_row("alpi", 150)), IntentChange::RemoveRoute(id("profiles"))];
    let diffs = diff_plan(&fleet(), &create_test_plan(&fleet(), changes, 1));
    assert_that!(diffs[0].before.as_deref(), some(contains_substring("\"rate_per_s\":100")));
    assert_that!(diffs[0].after.as_deref(), some(contains_substring("\"rate_per_s\":150")));
    assert_that!(diffs[1].after, none());
}
