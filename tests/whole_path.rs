//! A request served end to end by separate processes.

mod support;

use googletest::prelude::*;
use serde_json::json;
use support::{Fleet, FleetPlan, Request, TargetPlan};

/// A chain of four services in three zones.
fn four_hops() -> FleetPlan {
    let target = |service, zone, child| TargetPlan { service, zone, child };
    let route = |route: &str, class: &str, chain: &[&str]| {
        json!({"set_route": {
            "route": route, "path_prefix": format!("/{route}"), "service": route, "class": class,
            "chain": chain, "timeout_ms": 5000, "retryable": true,
        }})
    };
    FleetPlan {
        zones: vec!["milano", "verona", "brescia"],
        targets: vec![
            target("search", "milano", Some("/itinerary")),
            target("search", "verona", Some("/itinerary")),
            target("itinerary", "verona", Some("/pairing")),
            target("pairing", "brescia", Some("/profiles")),
            target("profiles", "milano", None),
        ],
        changes: json!([
            {"set_tenant": {"tenant": "laghi", "rate_per_s": 1000, "burst": 1000, "weight": 1}},
            {"set_tenant": {"tenant": "monti", "rate_per_s": 1000, "burst": 1000, "weight": 1}},
            {"grant_key": "laghi"},
            {"grant_key": "monti"},
            route("search", "browse", &["itinerary", "pairing", "profiles"]),
            route("itinerary", "browse", &["pairing", "profiles"]),
            route("pairing", "browse", &["profiles"]),
            route("profiles", "browse", &[]),
        ]),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_passes_four_hops_and_no_target_sees_its_key() -> Result<()> {
    let plan = four_hops();
    let fleet = Fleet::start(&plan).await;
    let keys = fleet.configure(&plan).await;
    fleet.wait_until_admitted("/profiles/warm", &keys[0]).await;
    let warm_runs = profiles_runs(&fleet).await;

    for entry in 0..fleet.vms.len() {
        let request = Request::get(fleet.caller_url(entry, "/search/lakes")).key(&keys[0]).header("x-request-id", "r");
        let answer = fleet.client.send(&request).await;
        verify_that!(answer.status, eq(200)).or_fail()?;
    }
    for vm in 0..fleet.vms.len() {
        let records = fleet.records(vm).await;
        verify_that!(records["keys_seen"], eq(&json!(0))).or_fail()?;
    }
    verify_that!(profiles_runs(&fleet).await, eq(warm_runs + 5))
}

/// Returns how many requests the last service of the chain has answered.
async fn profiles_runs(fleet: &Fleet) -> u64 {
    let mut runs = 0;
    for vm in 0..fleet.vms.len() {
        if fleet.vms[vm].plan.service == "profiles" {
            runs += fleet.records(vm).await["finished"].as_u64().unwrap_or(0);
        }
    }
    runs
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_say_that_nothing_ran() -> Result<()> {
    struct Case {
        name: &'static str,
        path: &'static str,
        key: Option<&'static str>,
        context: Option<&'static str>,
        status: u16,
        reason: &'static str,
    }
    let cases = [
        Case { name: "no key", path: "/search", key: None, context: None, status: 401, reason: "unauthorized" },
        Case {
            name: "unknown key",
            path: "/search",
            key: Some("fk_0"),
            context: None,
            status: 401,
            reason: "unauthorized",
        },
        Case { name: "no route", path: "/nowhere", key: Some("fk_0"), context: None, status: 404, reason: "no_route" },
        Case {
            name: "wrong context",
            path: "/search",
            key: None,
            context: Some("0000000000000001.00000000000000000000000000000000"),
            status: 401,
            reason: "unauthorized",
        },
    ];
    let plan = four_hops();
    let fleet = Fleet::start(&plan).await;
    fleet.configure(&plan).await;
    for case in cases {
        let mut request = Request::get(fleet.caller_url(0, case.path));
        if let Some(key) = case.key {
            request = request.key(key);
        }
        if let Some(context) = case.context {
            request = request.header("fulmartrestle-context", context);
        }
        let answer = fleet.client.send(&request).await;
        verify_that!(answer.status, eq(case.status)).with_failure_message(|| case.name.to_owned())?;
        let problem = answer.json();
        verify_that!(problem["outcome"], eq(&json!("not_run"))).with_failure_message(|| case.name.to_owned())?;
        verify_that!(problem["reason"], eq(&json!(case.reason))).with_failure_message(|| case.name.to_owned())?;
    }
    Ok(())
}
