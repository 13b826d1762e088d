//! Requests that must run at most once, re-sent to several nodes and under faults of the log.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use serde_json::{Value, json};
use support::{Answer, Fleet, FleetPlan, Request, TargetPlan, wait_until};

/// One service with a target in each of three zones, behind a route that runs at most once.
fn pairings() -> FleetPlan {
    let target = |zone| TargetPlan { service: "pairing", zone, child: None };
    let route = |route: &str, at_most_once: bool| {
        json!({"set_route": {
            "route": route, "path_prefix": format!("/{route}"), "service": "pairing", "class": "protected",
            "timeout_ms": 4000, "at_most_once": at_most_once,
        }})
    };
    FleetPlan {
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

async fn start() -> (Fleet, String) {
    let plan = pairings();
    let fleet = Fleet::start(&plan).await;
    let keys = fleet.configure(&plan).await;
    fleet.wait_until_admitted("/look/warm", &keys[0]).await;
    (fleet, keys[0].clone())
}

fn pairing(fleet: &Fleet, entry: usize, key: &str, idempotency_key: &str) -> Request {
    let url = fleet.caller_url(entry, &format!("/pairing/{idempotency_key}"));
    Request::post(url, "cabin 7").key(key).header("idempotency-key", idempotency_key)
}

/// Returns how often requests with the path of `idempotency_key` were run, over all targets.
async fn runs(fleet: &Fleet, idempotency_key: &str) -> usize {
    let mut runs = 0;
    for vm in 0..fleet.vms.len() {
        let seen = fleet.client.send(&Request::get(fleet.target_url(vm, "/standin/requests"))).await.json();
        let path = format!("/pairing/{idempotency_key}");
        runs += seen.as_array().into_iter().flatten().filter(|request| request["path"] == path.as_str()).count();
    }
    runs
}

async fn set_log_faults(fleet: &Fleet, faults: &Value) {
    let url = format!("http://{}/faults", fleet.log.address(""));
    let answer = fleet.client.send(&Request::post(url, faults.to_string())).await;
    assert!(answer.status < 300, "faults: {}", answer.body);
}

fn verify_problem(answer: &Answer, status: u16, outcome: &str) -> Result<()> {
    verify_that!(answer.status, eq(status)).with_failure_message(|| answer.body.clone())?;
    verify_that!(answer.json()["outcome"], eq(&json!(outcome)))
}

#[tokio::test(flavor = "multi_thread")]
async fn resends_to_every_zone_run_once_and_get_the_first_answer() -> Result<()> {
    let (fleet, key) = start().await;
    for vm in 0..fleet.vms.len() {
        fleet.behave(vm, &json!({"late_ms": 200})).await;
    }
    let sends: Vec<_> = (0..9)
        .map(|index| {
            let (client, request) = (fleet.client.clone(), pairing(&fleet, index % 3, &key, "p1"));
            tokio::spawn(async move { client.send(&request).await })
        })
        .collect();
    let mut bodies = Vec::new();
    for send in sends {
        let answer = send.await.or_fail()?;
        verify_that!(answer.status, eq(200)).with_failure_message(|| answer.body.clone())?;
        bodies.push(answer.body);
    }
    verify_that!(bodies.iter().collect::<std::collections::BTreeSet<_>>().len(), eq(1)).or_fail()?;
    let late = fleet.client.send(&pairing(&fleet, 1, &key, "p1")).await;
    verify_that!(late.body, eq(&bodies[0])).or_fail()?;
    verify_that!(runs(&fleet, "p1").await, eq(1))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_an_idempotency_key_is_refused() -> Result<()> {
    let (fleet, key) = start().await;
    let request = Request::post(fleet.caller_url(0, "/pairing/none"), "cabin 7").key(&key);
    verify_problem(&fleet.client.send(&request).await, 400, "not_run")
}

#[tokio::test(flavor = "multi_thread")]
async fn with_the_log_down_it_is_not_run_and_a_later_resend_runs() -> Result<()> {
    let (fleet, key) = start().await;
    set_log_faults(&fleet, &json!({"down": true})).await;
    let refused = fleet.client.send(&pairing(&fleet, 0, &key, "p2")).await;
    verify_problem(&refused, 503, "not_run")?;
    verify_that!(refused.headers.contains_key("retry-after"), eq(true)).or_fail()?;
    verify_that!(runs(&fleet, "p2").await, eq(0)).or_fail()?;
    set_log_faults(&fleet, &json!({"down": false})).await;
    wait_until("the re-send runs", async || {
        let answer = fleet.client.try_send(&pairing(&fleet, 1, &key, "p2")).await.ok()?;
        (answer.status == 200).then_some(())
    })
    .await;
    verify_that!(runs(&fleet, "p2").await, eq(1))
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_log_do_not_run_it_twice() -> Result<()> {
    let (fleet, key) = start().await;
    for round in 0..5 {
        let name = format!("lost-{round}");
        set_log_faults(&fleet, &json!({"lose_next_answers": 2})).await;
        wait_until("some send is answered", async || {
            let answer = fleet.client.try_send(&pairing(&fleet, round % 3, &key, &name)).await.ok()?;
            (answer.status == 200).then_some(())
        })
        .await;
        verify_that!(runs(&fleet, &name).await, eq(1)).or_fail()?;
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_killed_while_the_call_runs_leaves_the_outcome_unknown() -> Result<()> {
    let (mut fleet, key) = start().await;
    for vm in 0..fleet.vms.len() {
        fleet.behave(vm, &json!({"late_ms": 1500})).await;
    }
    let (client, request) = (fleet.client.clone(), pairing(&fleet, 0, &key, "p3"));
    let first = tokio::spawn(async move { client.try_send(&request).await });
    wait_until("the call runs", async || (runs(&fleet, "p3").await == 1).then_some(())).await;
    fleet.vms[0].node.kill();
    verify_that!(first.await.or_fail()?, err(anything())).or_fail()?;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let resent = fleet.client.send(&pairing(&fleet, 1, &key, "p3")).await;
    verify_problem(&resent, 409, "unknown")?;
    verify_that!(runs(&fleet, "p3").await, eq(1))
}

#[tokio::test(flavor = "multi_thread")]
async fn after_a_definite_refusal_a_resend_runs() -> Result<()> {
    let (fleet, key) = start().await;
    let drain = |what: &str| {
        let zones = ["milano", "verona", "brescia"];
        json!({"why": "test", "changes": zones.map(|zone| json!({what: {"zone": zone}}))})
    };
    fleet.publish(0, &drain("drain"), None).await;
    wait_until("the drain is known", async || {
        let answer = fleet.client.try_send(&Request::get(fleet.caller_url(0, "/look/x")).key(&key)).await.ok()?;
        (answer.status == 503).then_some(())
    })
    .await;
    verify_problem(&fleet.client.send(&pairing(&fleet, 0, &key, "p4")).await, 503, "not_run")?;
    fleet.publish(0, &drain("undrain"), None).await;
    wait_until("the re-send runs", async || {
        let answer = fleet.client.try_send(&pairing(&fleet, 1, &key, "p4")).await.ok()?;
        (answer.status == 200).then_some(())
    })
    .await;
    verify_that!(runs(&fleet, "p4").await, eq(1))
}
