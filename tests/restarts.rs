//! Sidecar processes that start again: a key that was revoked, or a target that had left, must not be in use again.

mod support;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime};

use googletest::prelude::*;
use serde_json::{Value, json};
use support::{CallerRequest, FIRST_START_UNIX_MS, HEALTH_PATH, SidecarFleet, wait_until};

/// Time for which requests are sent after a restart, in milliseconds. It covers the first status messages of all nodes.
const WATCH_MS: u64 = 3_000;

/// Time from a deregistration to the moment from which no request may reach the target, in milliseconds.
const DRAIN_MS: u64 = 2_000;

fn config(version: u32, api_keys: &[&str]) -> Value {
    let route = |name: &str, prefix: &str, public: bool| {
        json!({"name": name, "host": "trips.example", "prefix": prefix, "kind": "safe", "timeout_ms": 1_000,
        "slo_ms": 500, "priority": 1, "service": "trips", "attempts": 2, "public": public})
    };
    json!({"version": format!("{version:08x}"), "routes": [route("view", "/view/", false), route("open", "/open/", true)], "services": [{"name": "trips", "health_path": HEALTH_PATH, "max_conns": 100}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 100_000, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000},
        "tenants": [{"name": "agency", "api_keys": api_keys, "rate_per_s": 1_000, "burst": 1_000}]})
}

fn request(api_key: &'static str, request_id: String) -> CallerRequest {
    CallerRequest { method: "GET", path: "/view/1", request_id, api_key, deadline_ms: 2_000 }
}

async fn start_fleet() -> SidecarFleet {
    let fleet = SidecarFleet::start(&["front", "trips", "trips"], &config(1, &["key-1"])).await;
    for vm in 0..3 {
        fleet.wait_for_status(vm, &request("key-1", format!("first-{vm}")), 200).await;
    }
    fleet
}

/// Time from the return of an older store until the operator has written its configuration again, in milliseconds.
const REWRITTEN_AFTER_MS: u64 = 1_900;

/// Which nodes start again.
#[derive(Clone, Copy, Debug)]
enum Restart {
    One,
    All,
}

async fn restart(fleet: &mut SidecarFleet, nodes: Restart) {
    match nodes {
        Restart::One => fleet.restart_node(1).await,
        Restart::All => fleet.restart_all_nodes().await,
    }
}

/// Guards against a node that starts while the store is back from an older copy, and takes the version there for the
/// newest one although other nodes have a newer one, or although its operator has not written it again yet.
#[googletest::test]
#[tokio::test]
async fn revoked_key_is_refused_after_a_restart() {
    struct Case {
        name: &'static str,
        older_store: bool,
        nodes: Restart,
        /// Whether the tenant is removed with its last key, and not only the key replaced.
        last_tenant: bool,
    }
    let case = |name, nodes| Case { name, older_store: false, nodes, last_tenant: false };
    let cases = [
        case("one node", Restart::One),
        case("all nodes", Restart::All),
        Case { older_store: true, ..case("one node, older store", Restart::One) },
        Case { older_store: true, ..case("all nodes, older store", Restart::All) },
        Case { last_tenant: true, ..case("the last tenant, one node", Restart::One) },
        Case { last_tenant: true, ..case("the last tenant, all nodes", Restart::All) },
    ];
    for case in cases {
        let mut fleet = start_fleet().await;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let published = Instant::now();
        let mut next = config(2, &["key-2"]);
        if case.last_tenant {
            next["tenants"] = json!([]);
        }
        fleet.publish_config(&next).await;
        for vm in 0..3 {
            fleet.wait_for_status(vm, &request("key-1", format!("revoked-{vm}")), 401).await;
        }
        let older_ms = published.elapsed().as_millis() as u64 + 500;
        let restored = Instant::now();
        match (case.older_store, case.nodes) {
            // No node sees the change of the era.
            (true, Restart::All) => {
                fleet.kill_all_nodes();
                fleet.restore_store_copy(older_ms).await;
                fleet.start_killed_nodes().await;
            }
            (true, Restart::One) => {
                fleet.restore_store_copy(older_ms).await;
                restart(&mut fleet, case.nodes).await;
            }
            (false, _) => restart(&mut fleet, case.nodes).await,
        }
        let mut written_again = !case.older_store;
        let until = Instant::now() + Duration::from_millis(WATCH_MS);
        let mut statuses = Vec::new();
        while Instant::now() < until {
            let response = fleet.try_send(1, &request("key-1", format!("old-{}", statuses.len()))).await;
            statuses.extend(response.map(|response| response.status));
            if !written_again && restored.elapsed() > Duration::from_millis(REWRITTEN_AFTER_MS) {
                fleet.publish_config(&next).await;
                written_again = true;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let served = statuses.iter().filter(|status| **status == 200).count();
        expect_that!(served, eq(0), "{}: of {}", case.name, statuses.len());
    }
}

/// How a target says that it leaves.
#[derive(Clone, Copy, Debug)]
enum Leaving {
    Deregistered,
    /// By one heartbeat. Late ones still call it ready afterwards.
    Draining,
    /// By a header of its responses.
    Response,
}

async fn leave(fleet: &SidecarFleet, leaving: Leaving) {
    let target = &fleet.vms[1].target;
    match leaving {
        Leaving::Deregistered => fleet.deregister_target(1).await,
        Leaving::Draining => {
            target.leaving.store(true, Ordering::Relaxed);
            let body = fleet.heartbeat_body(1, FIRST_START_UNIX_MS, "draining", 1_000_000);
            assert_eq!(fleet.send_heartbeat(1, &target.instance_id, body).await, 200);
        }
        Leaving::Response => {
            target.leaving.store(true, Ordering::Relaxed);
            *target.notices.lock().expect("not poisoned") = vec![("server-leaving", "1".to_owned())];
            wait_until("the target has said that it leaves", || async {
                let runs = || target.runs.lock().expect("not poisoned").len();
                let before = runs();
                let _ = fleet.try_send(1, &request("key-1", format!("leaving-{before}"))).await;
                (runs() > before).then_some(())
            })
            .await;
            // Later responses say nothing, as those to requests that began earlier.
            target.notices.lock().expect("not poisoned").clear();
        }
    }
}

/// Guards against a target that had left and is chosen again because its heartbeats, sent before, still call it ready.
#[googletest::test]
#[tokio::test]
async fn target_that_had_left_is_not_used_after_a_restart() {
    struct Case {
        leaving: Leaving,
        nodes: Restart,
        /// Time from the acknowledgement to the restart, in milliseconds.
        after_ms: u64,
        /// Whether the store does not answer from before the target leaves until the end.
        store_silent: bool,
    }
    let case = |leaving, nodes, after_ms| Case { leaving, nodes, after_ms, store_silent: false };
    let cases = [
        case(Leaving::Deregistered, Restart::One, DRAIN_MS),
        case(Leaving::Deregistered, Restart::All, DRAIN_MS),
        case(Leaving::Deregistered, Restart::One, 0),
        case(Leaving::Deregistered, Restart::All, 0),
        case(Leaving::Draining, Restart::One, 0),
        case(Leaving::Draining, Restart::All, 0),
        case(Leaving::Response, Restart::One, DRAIN_MS),
        case(Leaving::Response, Restart::All, DRAIN_MS),
        Case { store_silent: true, ..case(Leaving::Deregistered, Restart::One, DRAIN_MS) },
        Case { store_silent: true, ..case(Leaving::Draining, Restart::One, DRAIN_MS) },
    ];
    for Case { leaving, nodes, after_ms, store_silent } in cases {
        let mut fleet = start_fleet().await;
        if store_silent {
            fleet.store.suspend();
        }
        leave(&fleet, leaving).await;
        let left = Instant::now();
        tokio::time::sleep(Duration::from_millis(after_ms)).await;
        restart(&mut fleet, nodes).await;
        let until = Instant::now() + Duration::from_millis(WATCH_MS);
        let mut served = 0;
        for number in 0.. {
            if Instant::now() > until {
                break;
            }
            // While the store is silent, keys can't be confirmed.
            let request = CallerRequest { path: "/open/1", ..request("key-1", format!("after-{number}")) };
            let response = fleet.try_send(number % 3, &request).await;
            served += usize::from(response.is_ok_and(|response| response.status == 200));
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let bound = left + Duration::from_millis(if after_ms == 0 { 0 } else { DRAIN_MS });
        let runs = fleet.vms[1].target.runs.lock().expect("not poisoned").clone();
        let late = runs.iter().filter(|run| run.started >= bound).count();
        let name = format!("{leaving:?}, {nodes:?}, after {after_ms} ms, store silent: {store_silent}");
        expect_that!(late, eq(0), "{name}");
        expect_that!(served, ge(100), "{name}");
    }
}

/// Sends requests through all nodes for a time. Returns how many were served, and how many reached the target of VM 1.
async fn send_for(fleet: &SidecarFleet, duration_ms: u64) -> (usize, usize) {
    let runs = || fleet.vms[1].target.runs.lock().expect("not poisoned").len();
    let (runs_before, until) = (runs(), Instant::now() + Duration::from_millis(duration_ms));
    let mut served = 0;
    for number in 0.. {
        if Instant::now() > until {
            break;
        }
        let request = CallerRequest { path: "/open/1", ..request("key-1", format!("r-{runs_before}-{number}")) };
        let response = fleet.try_send(number % 3, &request).await;
        served += usize::from(response.is_ok_and(|response| response.status == 200));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    (served, runs() - runs_before)
}

fn unix_ms() -> i64 {
    let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("a time after the epoch");
    time.as_millis() as i64
}

/// Guards against a run that is used again by a late heartbeat, because it had left before its restarted node heard of it,
/// and against a new run at its address that is kept waiting for that.
#[googletest::test]
#[tokio::test]
async fn target_that_leaves_before_its_node_has_heard_of_it_is_not_used() {
    const NEW_RUN_WITHIN_MS: u64 = 1_000;
    struct Case {
        name: &'static str,
        terminated: bool,
        /// Heartbeats that were sent before the target left and arrive after it.
        late_heartbeats: &'static [u64],
        /// Name of the next run at the address.
        next_instance: &'static str,
    }
    let case =
        |name, terminated, late_heartbeats, next_instance| Case { name, terminated, late_heartbeats, next_instance };
    let cases = [
        case("stopped", true, &[1_000], "i-next"),
        case("killed", false, &[1_000], "i-next"),
        case("twice the same heartbeat", true, &[1_000, 1_000], "i-next"),
        case("two late heartbeats, the next run has the same name", true, &[1_000, 1_001], "i-1"),
    ];
    for Case { name, terminated, late_heartbeats, next_instance } in cases {
        let mut fleet = start_fleet().await;
        let instance = fleet.vms[1].target.instance_id.clone();
        fleet.stop_heartbeats(1).await;
        if terminated {
            fleet.vms[1].node.terminate();
        }
        fleet.restart_node(1).await;
        fleet.deregister_target(1).await;
        let left = Instant::now();
        for seq in late_heartbeats {
            let body = fleet.heartbeat_body(1, FIRST_START_UNIX_MS, "ready", *seq);
            assert_eq!(fleet.send_heartbeat(1, &instance, body).await, 200);
            let (served, late) = send_for(&fleet, 1_500).await;
            expect_that!(late, eq(0), "{name}, {:?} after the acknowledgement", left.elapsed());
            expect_that!(served, ge(50), "{name}");
        }
        let next = fleet.heartbeat_body(1, unix_ms(), "ready", 1);
        assert_eq!(fleet.send_heartbeat(1, next_instance, next).await, 200);
        let (_, runs) = send_for(&fleet, NEW_RUN_WITHIN_MS).await;
        expect_that!(runs, ge(1), "{name}: the next run");
    }
}

/// Guards against a target that is used again because its leaving was acknowledged while the store was down, and every node
/// that knew of it was killed, however late its heartbeats come, and against targets that are kept waiting for that without
/// need.
#[googletest::test]
#[tokio::test]
async fn target_that_left_while_the_store_was_down_is_not_used_after_all_nodes_were_killed() {
    const USED_WITHIN_MS: u64 = 1_500;
    struct Case {
        name: &'static str,
        leaving: Option<Leaving>,
        /// Whether the target answers health checks.
        answers: bool,
        /// Time from the start of the nodes to the first late heartbeat.
        late_ms: u64,
        late_heartbeats: &'static [u64],
    }
    let case = |name, leaving, late_heartbeats| Case {
        name,
        leaving: Some(leaving),
        answers: true,
        late_ms: 0,
        late_heartbeats,
    };
    let cases = [
        case("deregistered", Leaving::Deregistered, &[2_000_000]),
        case("draining", Leaving::Draining, &[2_000_000]),
        case("two late heartbeats", Leaving::Deregistered, &[2_000_000, 2_000_001]),
        Case { answers: false, ..case("no health check", Leaving::Deregistered, &[2_000_000, 2_000_001]) },
        Case { late_ms: 5_300, ..case("very late", Leaving::Deregistered, &[2_000_000, 2_000_001]) },
        Case { name: "serving", leaving: None, answers: true, late_ms: 0, late_heartbeats: &[2_000_000] },
        Case {
            name: "serving, very late",
            leaving: None,
            answers: true,
            late_ms: 5_300,
            late_heartbeats: &[2_000_000],
        },
    ];
    for Case { name, leaving, answers, late_ms, late_heartbeats } in cases {
        let mut fleet = start_fleet().await;
        let instance = fleet.vms[1].target.instance_id.clone();
        if !answers {
            let mut without_path = config(2, &["key-1"]);
            without_path["services"] = json!([{"name": "trips", "max_conns": 100}]);
            fleet.publish_config(&without_path).await;
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        fleet.stop_heartbeats(1).await;
        fleet.set_store_down(true).await;
        if let Some(leaving) = leaving {
            leave(&fleet, leaving).await;
        }
        fleet.kill_all_nodes();
        fleet.set_store_down(false).await;
        fleet.start_killed_nodes().await;
        tokio::time::sleep(Duration::from_millis(late_ms)).await;
        for seq in late_heartbeats {
            let body = fleet.heartbeat_body(1, FIRST_START_UNIX_MS, "ready", *seq);
            assert_eq!(fleet.send_heartbeat(1, &instance, body).await, 200);
            let (served, runs) = send_for(&fleet, USED_WITHIN_MS).await;
            match leaving {
                Some(_) => expect_that!(runs, eq(0), "{name}"),
                None => expect_that!(runs, ge(10), "{name}"),
            }
            if answers {
                expect_that!(served, ge(10), "{name}: the other targets");
            }
        }
        let next = fleet.heartbeat_body(1, unix_ms(), "ready", 1);
        assert_eq!(fleet.send_heartbeat(1, "i-next", next).await, 200);
        let (_, runs) = send_for(&fleet, USED_WITHIN_MS).await;
        expect_that!(runs, ge(10), "{name}: the next run");
    }
}

/// Guards against a node that stays without a configuration because the store does not answer, although the other nodes
/// have one: their messages left out what the run before had confirmed, and were not readable.
#[tokio::test]
async fn node_that_starts_while_the_store_is_silent_gets_no_configuration() {
    let mut fleet = start_fleet().await;
    fleet.store.suspend();
    fleet.restart_node(0).await;
    let request = CallerRequest { path: "/open/1", ..request("key-1", "after".to_owned()) };
    fleet.wait_for_status(0, &request, 200).await;
}
