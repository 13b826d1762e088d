//! Requests that pass end to end through separate node and target processes.

mod support;

use googletest::prelude::*;
use serde_json::json;
use support::{Fleet, FleetSpec, Request, TargetSpec};

/// A chain of four services in three zones.
fn four_service_spec() -> FleetSpec {
    let target = |service, zone, child_path| TargetSpec { service, zone, child_path };
    let route = |route: &str, class: &str, chain: &[&str]| {
        json!({"set_route": {
            "route": route, "path_prefix": format!("/{route}"), "service": route, "class": class,
            "chain": chain, "timeout_ms": 5000, "retryable": true,
        }})
    };
    FleetSpec {
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
async fn request_passes_four_services_and_no_target_receives_its_key() -> Result<()> {
    let spec = four_service_spec();
    let fleet = Fleet::start(&spec).await;
    let keys = fleet.configure(&spec).await;
    fleet.wait_until_admitted("/profiles/warm", &keys[0]).await;
    let finished_before = count_finished_by_profiles(&fleet).await;

    for entry_vm in 0..fleet.vms.len() {
        let request =
            Request::get(fleet.caller_url(entry_vm, "/search/lakes")).bearer_auth(&keys[0]).header("x-request-id", "r");
        let response = fleet.client.send(&request).await;
        verify_that!(response.status, eq(200)).or_fail()?;
    }
    for vm in 0..fleet.vms.len() {
        let target_records = fleet.target_records(vm).await;
        verify_that!(target_records["keys_seen"], eq(&json!(0))).or_fail()?;
    }
    verify_that!(count_finished_by_profiles(&fleet).await, eq(finished_before + 5))
}

/// Returns how many requests the targets of `profiles`, the last service of the chain, have completed.
async fn count_finished_by_profiles(fleet: &Fleet) -> u64 {
    let mut finished = 0;
    for vm in 0..fleet.vms.len() {
        if fleet.vms[vm].spec.service == "profiles" {
            finished += fleet.target_records(vm).await["finished"].as_u64().unwrap_or(0);
        }
    }
    finished
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_report_the_outcome_not_run() -> Result<()> {
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
            name: "invalid context",
            path: "/search",
            key: None,
            context: Some("0000000000000001.00000000000000000000000000000000"),
            status: 401,
            reason: "unauthorized",
        },
    ];
    let spec = four_service_spec();
    let fleet = Fleet::start(&spec).await;
    fleet.configure(&spec).await;
    for case in cases {
        let mut request = Request::get(fleet.caller_url(0, case.path));
        if let Some(key) = case.key {
            request = request.bearer_auth(key);
        }
        if let Some(context) = case.context {
            request = request.header("fulmartrestle-context", context);
        }
        let response = fleet.client.send(&request).await;
        verify_that!(response.status, eq(case.status)).with_failure_message(|| case.name.to_owned())?;
        let refusal = response.json();
        verify_that!(refusal["outcome"], eq(&json!("not_run"))).with_failure_message(|| case.name.to_owned())?;
        verify_that!(refusal["reason"], eq(&json!(case.reason))).with_failure_message(|| case.name.to_owned())?;
    }
    Ok(())
}
