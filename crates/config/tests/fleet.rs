//! Lookups in the fleet's configuration by path and by key.

use fulmartrestle_config::fleet::{FleetConfig, KeyHash, KeyId, KeyRow, OperatorRow, RouteRow, TenantRow, Weight};
use fulmartrestle_config::plan::Change;
use fulmartrestle_core::{Class, RatePerS, Tokens, Version};
use googletest::prelude::*;

fn tenant(name: &str) -> Change {
    Change::PutTenant(TenantRow {
        tenant: name.parse().unwrap(),
        rate_per_s: RatePerS(100),
        burst: Tokens(20),
        weight: Weight(1),
    })
}

fn route(name: &str, path_prefix: &str) -> Change {
    Change::PutRoute(RouteRow {
        route: name.parse().unwrap(),
        path_prefix: path_prefix.to_owned(),
        service: "pairing".parse().unwrap(),
        class: Class::Lookup,
        at_most_once: false,
        open_to_all: false,
        tenants: None,
        chain: Vec::new(),
        timeout_ms: 1_000,
        retryable: true,
    })
}

fn key(secret: &str, tenant: &str) -> Change {
    let hash = KeyHash::from_key(secret);
    Change::PutKey(KeyRow { hash, key_id: KeyId::from_hash(&hash), tenant: tenant.parse().unwrap(), withdrawn: false })
}

#[gtest]
fn longest_prefix_at_a_segment_boundary_wins() {
    let changes = [route("root", "/"), route("pairings", "/pairings"), route("cabins", "/pairings/cabins")];
    let config = FleetConfig::from_changes(Version(1), &changes);
    struct Case {
        path: &'static str,
        route: Option<&'static str>,
    }
    let cases = [
        Case { path: "/", route: Some("root") },
        Case { path: "/other", route: Some("root") },
        Case { path: "/pairings", route: Some("pairings") },
        Case { path: "/pairings?x=/a/b", route: Some("pairings") },
        Case { path: "/pairings/7/x", route: Some("pairings") },
        Case { path: "/pairingsx", route: Some("root") },
        Case { path: "/pairings/cabins/1", route: Some("cabins") },
        Case { path: "", route: None },
        Case { path: "no-slash", route: None },
    ];
    for case in cases {
        let found = config.route_for(case.path).map(|row| row.route.as_str());
        expect_that!(found, eq(case.route), "path {:?}", case.path);
    }
}

#[gtest]
fn keys_are_valid_until_they_are_withdrawn_or_their_tenant_is_removed() {
    let granted = [tenant("alpi"), tenant("lago"), key("one", "alpi"), key("two", "lago")];
    let config = FleetConfig::from_changes(Version(1), &granted);
    let tenant_of = |config: &FleetConfig, secret| config.tenant_for_key(secret).map(|found| found.tenant.to_string());
    assert_that!(tenant_of(&config, "one"), some(eq("alpi")));
    assert_that!(tenant_of(&config, "two"), some(eq("lago")));
    assert_that!(tenant_of(&config, "three"), none());

    let withdrawn =
        config.with_changes(Version(2), &[Change::WithdrawKey(KeyId::from_hash(&KeyHash::from_key("one")))]);
    assert_that!(tenant_of(&withdrawn, "one"), none());
    assert_that!(tenant_of(&config, "one"), some(eq("alpi")));

    let removed = config.with_changes(Version(2), &[Change::RemoveTenant("lago".parse().unwrap()), tenant("lago")]);
    assert_that!(tenant_of(&removed, "two"), none());
}

#[gtest]
fn operators_are_looked_up_by_key() {
    let row = OperatorRow { name: "ada".parse().unwrap(), hash: KeyHash::from_key("secret") };
    let config = FleetConfig::from_changes(Version(1), &[Change::PutOperator(row)]);
    assert_that!(config.operator_for_key("secret").map(|name| name.as_str()), some(eq("ada")));
    assert_that!(config.operator_for_key("other"), none());
    assert_that!(config.tenant_for_key("secret"), none());
}
