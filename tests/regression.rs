//! Faults that were found and mended; each test names the issue under which it was found.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use serde_json::json;
use support::{Fleet, FleetPlan, Request, TargetPlan, wait_until};

/// Time after which no rumour of a crash is passed on any more in a fleet of two.
const RUMOURS_RUN_OUT: Duration = Duration::from_secs(8);

/// Issue 4: a node that joined after a request had crashed two targets had no crash marks and ran the
/// request on a third.
#[tokio::test(flavor = "multi_thread")]
async fn issue_4_a_newcomer_knows_the_requests_that_crash_targets() -> Result<()> {
    let target = || TargetPlan { service: "search", zone: "milano", child: None };
    let plan = FleetPlan {
        zones: vec!["milano"],
        targets: vec![target(), target()],
        changes: json!([
            {"set_tenant": {"tenant": "laghi", "rate_per_s": 5000, "burst": 5000, "weight": 1}},
            {"grant_key": "laghi"},
            {"set_route": {
                "route": "search", "path_prefix": "/search", "service": "search", "class": "lookup",
                "timeout_ms": 3000, "retryable": true,
            }},
        ]),
    };
    let mut fleet = Fleet::start(&plan).await;
    let keys = fleet.configure(&plan).await;
    fleet.wait_until_admitted("/search/warm", &keys[0]).await;
    for vm in 0..2 {
        fleet.behave(vm, &json!({"crash_marker": "poison", "restart_after_ms": 300})).await;
    }
    wait_until("the request is blocked", async || {
        let request = Request::get(fleet.caller_url(0, "/search/poison")).key(&keys[0]);
        let answer = fleet.client.try_send(&request).await.ok()?;
        (answer.status == 422).then_some(())
    })
    .await;

    // Rumours of the crashes must have run out: a newcomer that still hears one shows nothing.
    tokio::time::sleep(RUMOURS_RUN_OUT).await;
    fleet.start_vm(&target());
    fleet.behave(2, &json!({"crash_marker": "poison", "restart_after_ms": 300})).await;
    wait_until("the newcomer serves", async || {
        let request = Request::get(fleet.caller_url(2, "/search/fine")).key(&keys[0]);
        (fleet.client.try_send(&request).await.ok()?.status == 200).then_some(())
    })
    .await;
    for _ in 0..10 {
        let request = Request::get(fleet.caller_url(2, "/search/poison")).key(&keys[0]);
        let answer = fleet.client.send(&request).await;
        verify_that!(answer.status, eq(422)).with_failure_message(|| answer.body.clone())?;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    verify_that!(fleet.records(2).await["crashes"], eq(&json!(0)))
}
