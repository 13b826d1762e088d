//! Regression tests for fixed faults. Each test name starts with the number of its issue.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use serde_json::json;
use support::{Fleet, FleetSpec, Request, TargetSpec, wait_until};

/// Time after which gossip about a crash is no longer retransmitted in a fleet of two nodes.
const CRASH_GOSSIP_EXPIRY: Duration = Duration::from_secs(8);

/// Issue 4: a node that joined after a request had crashed two targets had no crash marks, and sent the
/// request to a third target.
#[tokio::test(flavor = "multi_thread")]
async fn issue_4_new_node_blocks_requests_that_crash_targets() -> Result<()> {
    let target = || TargetSpec { service: "search", zone: "milano", child_path: None };
    let spec = FleetSpec {
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
    let mut fleet = Fleet::start(&spec).await;
    let keys = fleet.configure(&spec).await;
    fleet.wait_until_admitted("/search/warm", &keys[0]).await;
    for vm in 0..2 {
        fleet.set_behaviour(vm, &json!({"crash_marker": "poison", "restart_after_ms": 300})).await;
    }
    wait_until("the request is blocked", async || {
        let request = Request::get(fleet.caller_url(0, "/search/poison")).bearer_auth(&keys[0]);
        let response = fleet.client.try_send(&request).await.ok()?;
        (response.status == 422).then_some(())
    })
    .await;

    // Wait until the crashes are no longer gossiped: a new node that still received the gossip would block
    // the request even without the fix.
    tokio::time::sleep(CRASH_GOSSIP_EXPIRY).await;
    fleet.start_vm(&target());
    fleet.set_behaviour(2, &json!({"crash_marker": "poison", "restart_after_ms": 300})).await;
    wait_until("the new node serves requests", async || {
        let request = Request::get(fleet.caller_url(2, "/search/fine")).bearer_auth(&keys[0]);
        (fleet.client.try_send(&request).await.ok()?.status == 200).then_some(())
    })
    .await;
    for _ in 0..10 {
        let request = Request::get(fleet.caller_url(2, "/search/poison")).bearer_auth(&keys[0]);
        let response = fleet.client.send(&request).await;
        verify_that!(response.status, eq(422)).with_failure_message(|| response.body.clone())?;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    verify_that!(fleet.target_records(2).await["crashes"], eq(&json!(0)))
}
