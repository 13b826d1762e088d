//! Tests the lookup of routes, tenants and backends.

use std::collections::HashMap;

use fulmartrestle_core::{RateMilliPerS, Tokens, Version};
use fulmartrestle_mesh::{ApiKey, Backend, CallerLimits, MeshConfig, Route, TenantConfig};
use googletest::prelude::*;

fn route(id: &str, host: &str, prefix: &str, backends: &[(&str, u32)]) -> Route {
    let backend =
        |(service, weight): &(&str, u32)| Backend { service: service.parse().expect("a valid name"), weight: *weight };
    Route {
        id: id.parse().expect("a valid name"),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        repeatable: true,
        backends: backends.iter().map(backend).collect(),
        attempts: 2,
        timeout_ms: None,
        priority: 1,
        objective_ms: None,
        large_responses: false,
        public: false,
    }
}

fn config() -> MeshConfig {
    let routes = vec![
        route("all", "a.example", "/", &[("x", 1)]),
        route("trips", "a.example", "/trips/", &[("x", 1)]),
        route("lake", "a.example", "/trips/lake/", &[("x", 1)]),
        route("other", "b.example", "/trips/", &[("x", 1)]),
    ];
    let tenant = TenantConfig {
        tenant: "agency".parse().expect("a valid name"),
        keys: vec![ApiKey::new("one"), ApiKey::new("two")],
        priority: None,
        rate: RateMilliPerS(1_000),
        burst: Tokens(1),
    };
    MeshConfig::new(Version(1), CallerLimits::default(), routes, vec![tenant])
}

#[gtest]
fn longest_prefix_of_the_host_wins() {
    struct Case {
        host: &'static str,
        path: &'static str,
        route: Option<&'static str>,
    }
    let cases = [
        Case { host: "a.example", path: "/trips/lake/7", route: Some("lake") },
        Case { host: "a.example", path: "/trips/lake", route: Some("trips") },
        Case { host: "a.example", path: "/trips/lakes/7", route: Some("trips") },
        Case { host: "a.example", path: "/tripsy", route: Some("all") },
        Case { host: "b.example", path: "/trips/", route: Some("other") },
        Case { host: "b.example", path: "/", route: None },
        Case { host: "c.example", path: "/trips/", route: None },
        Case { host: "a.example", path: "*", route: None },
    ];
    let config = config();
    for case in cases {
        let found = config.find_route(case.host, case.path).map(|route| route.id.as_str());
        expect_that!(found, eq(case.route), "{}{}", case.host, case.path);
    }
}

#[gtest]
fn keys_identify_tenants_and_are_hidden_in_debug_output() {
    let config = config();
    let tenant = |key: &str| config.find_tenant(&ApiKey::new(key)).map(|tenant| tenant.tenant.as_str().to_owned());
    assert_that!(tenant("two"), some(eq("agency")));
    assert_that!(tenant("three"), none());
    assert_that!(format!("{config:?}"), not(contains_substring("two")));
}

#[gtest]
fn requests_are_divided_by_backend_weight() {
    let route = route("split", "a.example", "/", &[("x", 90), ("none", 0), ("y", 10)]);
    let mut counts: HashMap<String, u32> = HashMap::new();
    for position in 0..1_000 {
        let service = route.select_backend(f64::from(position) / 1_000.0).expect("a backend");
        *counts.entry(service.to_string()).or_default() += 1;
    }
    assert_that!(counts, unordered_elements_are![(eq("x"), eq(&900)), (eq("y"), eq(&100))]);
}
