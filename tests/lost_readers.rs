//! Nodes that read the store on behalf of all others and are lost at the moment of a change.

mod support;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::{Value, json};
use support::{CallerRequest, SidecarFleet};
use tokio::runtime::Handle;
use tokio::task::JoinSet;

const NODES: usize = 6;

/// Time within which a new version must be in force, in milliseconds: the default of the settings.
const CONFIG_APPLY_MS: u64 = 2_000;

/// Time from the start of a node until its first read, which waits for a change, has ended, in milliseconds. Until then the
/// node does not rely on the others.
const FIRST_READ_MS: u64 = 6_500;

const SEND_INTERVAL_MS: u64 = 20;

fn config(version: u32, routes: &[&str]) -> Value {
    let route = |name: &&str| {
        json!({"name": name, "host": "trips.example", "prefix": format!("/{name}/"), "kind": "safe",
            "timeout_ms": 1_000, "slo_ms": 500, "priority": 1, "service": "trips", "attempts": 2, "public": true})
    };
    json!({"version": format!("{version:08x}"), "routes": routes.iter().map(route).collect::<Vec<_>>(),
        "services": [{"name": "trips", "max_conns": 100}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 100_000, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000}})
}

/// Returns the node with the highest ID, which relies on what the others read.
fn relying_node(fleet: &SidecarFleet) -> usize {
    let id = |vm: &usize| {
        let started: Value = serde_json::from_str(&fleet.vms[*vm].node.ready_line).expect("a log line");
        started["node"].as_str().expect("an ID").to_owned()
    };
    (0..NODES).max_by_key(id).expect("there are nodes")
}

/// When the dropped route was served last, and how often it was refused.
#[derive(Debug)]
struct Outcome {
    /// Time from the acknowledgement of the change, in milliseconds; `None` if the route was not served after it.
    served_until_ms: Option<u64>,
    refused: usize,
}

/// Kills all nodes but the one that relies on them, and drops a route at the same moment.
async fn lose_readers(phase_ms: u64) -> Outcome {
    let mut fleet = SidecarFleet::start(&["trips"; NODES], &config(1, &["kept", "dropped"])).await;
    let survivor = relying_node(&fleet);
    let request = |number| CallerRequest {
        method: "GET",
        path: "/dropped/1",
        request_id: format!("dropped-{number}"),
        api_key: "",
        deadline_ms: 1_000,
    };
    fleet.wait_for_status(survivor, &request("first".to_owned()), 200).await;
    tokio::time::sleep(Duration::from_millis(FIRST_READ_MS + phase_ms)).await;
    for (vm, entry) in fleet.vms.iter_mut().enumerate() {
        if vm != survivor {
            entry.node.kill();
        }
    }
    fleet.publish_config(&config(2, &["kept"])).await;
    let acknowledged = Instant::now();
    let mut outcome = Outcome { served_until_ms: None, refused: 0 };
    for number in 0.. {
        let sent_ms = acknowledged.elapsed().as_millis() as u64;
        if sent_ms > 2 * CONFIG_APPLY_MS {
            break;
        }
        match fleet.try_send(survivor, &request(number.to_string())).await.map(|response| response.status) {
            Ok(200) => outcome.served_until_ms = Some(sent_ms),
            Ok(404) => outcome.refused += 1,
            _ => {}
        }
        tokio::time::sleep(Duration::from_millis(SEND_INTERVAL_MS)).await;
    }
    outcome
}

/// Guards against a node that acts on an old configuration for too long, because the nodes that read the store for it were
/// all lost when the configuration changed. How long it took depended on the moment within their interval.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn new_version_is_in_force_in_time_after_the_loss_of_all_readers() {
    let mut cases = JoinSet::new();
    for phase_ms in [0, 160, 320, 480, 640, 800] {
        // Starting a process blocks the thread, which delays the requests of other cases on the same thread.
        cases.spawn_blocking(move || (phase_ms, Handle::current().block_on(lose_readers(phase_ms))));
    }
    let outcomes = cases.join_all().await;
    for (phase_ms, outcome) in &outcomes {
        println!("phase {phase_ms} ms: {outcome:?}");
        expect_that!(outcome.served_until_ms, none().or(some(le(CONFIG_APPLY_MS))), "phase {phase_ms} ms");
        expect_that!(outcome.refused, ge(20), "phase {phase_ms} ms");
    }
    // A node whose last read had only just begun knows of the change at once.
    let delayed = outcomes.iter().filter(|(_, outcome)| outcome.served_until_ms.is_some()).count();
    expect_that!(delayed, ge(3), "{outcomes:?}");
}
