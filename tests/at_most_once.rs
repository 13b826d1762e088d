//! Requests that must run at most once: retries through several nodes, and retries during log faults.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use serde_json::{Value, json};
use support::{Fleet, FleetSpec, Request, Response, TargetSpec, wait_until};

/// One service with a target in each of three zones. Requests on the `pairing` route run at most once;
/// the `look` route has no such limit.
fn pairing_fleet_spec() -> FleetSpec {
    let target = |zone| TargetSpec { service: "pairing", zone, child_path: None };
    let route = |route: &str, at_most_once: bool| {
        json!({"set_route": {
            "route": route, "path_prefix": format!("/{route}"), "service": "pairing", "class": "protected",
            "timeout_ms": 4000, "at_most_once": at_most_once,
        }})
    };
    FleetSpec {
        zones: vec!["milano", "verona", "brescia"],
        targets: vec![target("milano"), target("verona"), target("brescia")],
        changes: json!([
            {"set_tenant": {"tenant": "laghi", "rate_per_s": 5000, "burst": 5000, "weight": 1}},
            {"grant_key": "laghi"},
            route("pairing", true),
            route("look", false),
        ]),
    }
}

/// Starts the fleet and returns it with the tenant's API key.
async fn start_fleet() -> (Fleet, String) {
    let spec = pairing_fleet_spec();
    let fleet = Fleet::start(&spec).await;
    let keys = fleet.configure(&spec).await;
    fleet.wait_until_admitted("/look/warm", &keys[0]).await;
    (fleet, keys[0].clone())
}

fn pairing_request(fleet: &Fleet, entry_vm: usize, api_key: &str, idempotency_key: &str) -> Request {
    let url = fleet.caller_url(entry_vm, &format!("/pairing/{idempotency_key}"));
    Request::post(url, "cabin 7").bearer_auth(api_key).header("idempotency-key", idempotency_key)
}

/// Returns how often all targets together ran requests with `idempotency_key` in their path.
async fn count_runs(fleet: &Fleet, idempotency_key: &str) -> usize {
    let mut runs = 0;
    for vm in 0..fleet.vms.len() {
        let requests = fleet.client.send(&Request::get(fleet.target_url(vm, "/standin/requests"))).await.json();
        let path = format!("/pairing/{idempotency_key}");
        runs += requests.as_array().into_iter().flatten().filter(|request| request["path"] == path.as_str()).count();
    }
    runs
}

/// Sets the faults that the stand-in log injects.
async fn set_log_faults(fleet: &Fleet, faults: &Value) {
    let url = format!("http://{}/faults", fleet.log.address(""));
    let response = fleet.client.send(&Request::post(url, faults.to_string())).await;
    assert!(response.status < 300, "faults: {}", response.body);
}

/// Checks the status of a refusal and the outcome in its JSON body.
fn verify_refusal(response: &Response, status: u16, outcome: &str) -> Result<()> {
    verify_that!(response.status, eq(status)).with_failure_message(|| response.body.clone())?;
    verify_that!(response.json()["outcome"], eq(&json!(outcome)))
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_through_every_zone_run_once_and_return_the_first_response() -> Result<()> {
    let (fleet, api_key) = start_fleet().await;
    for vm in 0..fleet.vms.len() {
        fleet.set_behaviour(vm, &json!({"late_ms": 200})).await;
    }
    let requests: Vec<_> = (0..9)
        .map(|index| {
            let (client, request) = (fleet.client.clone(), pairing_request(&fleet, index % 3, &api_key, "p1"));
            tokio::spawn(async move { client.send(&request).await })
        })
        .collect();
    let mut bodies = Vec::new();
    for request in requests {
        let response = request.await.or_fail()?;
        verify_that!(response.status, eq(200)).with_failure_message(|| response.body.clone())?;
        bodies.push(response.body);
    }
    verify_that!(bodies.iter().collect::<std::collections::BTreeSet<_>>().len(), eq(1)).or_fail()?;
    let retry = fleet.client.send(&pairing_request(&fleet, 1, &api_key, "p1")).await;
    verify_that!(retry.body, eq(&bodies[0])).or_fail()?;
    verify_that!(count_runs(&fleet, "p1").await, eq(1))
}

#[tokio::test(flavor = "multi_thread")]
async fn request_without_an_idempotency_key_is_refused() -> Result<()> {
    let (fleet, api_key) = start_fleet().await;
    let request = Request::post(fleet.caller_url(0, "/pairing/none"), "cabin 7").bearer_auth(&api_key);
    verify_refusal(&fleet.client.send(&request).await, 400, "not_run")
}

#[tokio::test(flavor = "multi_thread")]
async fn log_outage_refuses_the_request_and_a_later_retry_runs() -> Result<()> {
    let (fleet, api_key) = start_fleet().await;
    set_log_faults(&fleet, &json!({"down": true})).await;
    let refused = fleet.client.send(&pairing_request(&fleet, 0, &api_key, "p2")).await;
    verify_refusal(&refused, 503, "not_run")?;
    verify_that!(refused.headers.contains_key("retry-after"), eq(true)).or_fail()?;
    verify_that!(count_runs(&fleet, "p2").await, eq(0)).or_fail()?;
    set_log_faults(&fleet, &json!({"down": false})).await;
    wait_until("the retry succeeds", async || {
        let response = fleet.client.try_send(&pairing_request(&fleet, 1, &api_key, "p2")).await.ok()?;
        (response.status == 200).then_some(())
    })
    .await;
    verify_that!(count_runs(&fleet, "p2").await, eq(1))
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_log_responses_do_not_cause_a_second_run() -> Result<()> {
    let (fleet, api_key) = start_fleet().await;
    for round in 0..5 {
        let idempotency_key = format!("lost-{round}");
        set_log_faults(&fleet, &json!({"lose_next_answers": 2})).await;
        wait_until("a request succeeds", async || {
            let response =
                fleet.client.try_send(&pairing_request(&fleet, round % 3, &api_key, &idempotency_key)).await.ok()?;
            (response.status == 200).then_some(())
        })
        .await;
        verify_that!(count_runs(&fleet, &idempotency_key).await, eq(1)).or_fail()?;
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn killing_the_entry_node_during_a_call_leaves_the_outcome_unknown() -> Result<()> {
    let (mut fleet, api_key) = start_fleet().await;
    for vm in 0..fleet.vms.len() {
        fleet.set_behaviour(vm, &json!({"late_ms": 1500})).await;
    }
    let (client, request) = (fleet.client.clone(), pairing_request(&fleet, 0, &api_key, "p3"));
    let first = tokio::spawn(async move { client.try_send(&request).await });
    wait_until("the call has started to run", async || (count_runs(&fleet, "p3").await == 1).then_some(())).await;
    fleet.vms[0].node.kill();
    verify_that!(first.await.or_fail()?, err(anything())).or_fail()?;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let retry = fleet.client.send(&pairing_request(&fleet, 1, &api_key, "p3")).await;
    verify_refusal(&retry, 409, "unknown")?;
    verify_that!(count_runs(&fleet, "p3").await, eq(1))
}

#[tokio::test(flavor = "multi_thread")]
async fn retry_runs_after_a_not_run_refusal() -> Result<()> {
    let (fleet, api_key) = start_fleet().await;
    let intent_for_all_zones = |change: &str| {
        let zones = ["milano", "verona", "brescia"];
        json!({"why": "test", "changes": zones.map(|zone| json!({change: {"zone": zone}}))})
    };
    fleet.publish_intent(0, &intent_for_all_zones("drain"), None).await;
    wait_until("the drain is applied", async || {
        let response =
            fleet.client.try_send(&Request::get(fleet.caller_url(0, "/look/x")).bearer_auth(&api_key)).await.ok()?;
        (response.status == 503).then_some(())
    })
    .await;
    verify_refusal(&fleet.client.send(&pairing_request(&fleet, 0, &api_key, "p4")).await, 503, "not_run")?;
    fleet.publish_intent(0, &intent_for_all_zones("undrain"), None).await;
    wait_until("the retry succeeds", async || {
        let response = fleet.client.try_send(&pairing_request(&fleet, 1, &api_key, "p4")).await.ok()?;
        (response.status == 200).then_some(())
    })
    .await;
    verify_that!(count_runs(&fleet, "p4").await, eq(1))
}
