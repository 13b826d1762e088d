//! Processor time of nodes on the platform, as processes: at rest by the size of the fleet, and for each call
//! through two nodes: `cargo bench --bench sidecar`.
//!
//! At rest a node hears every other node; the cost must stay far below what a node has, 0.4 of a core. A call
//! costs its entry, and the node beside its target.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use serde_json::json;
use support::{CallerRequest, SidecarFleet};

/// Sizes of the fleets that are measured. The last is about that of a large deployment.
const FLEETS: [usize; 3] = [2, 20, 80];

/// Time for which a fleet is left alone, in seconds.
const REST_S: u64 = 5;

/// Calls of each caller in the run with calls, and callers.
const CALLS: usize = 1_500;
const CALLERS: usize = 8;

/// Ticks of processor time per second in the system's statistics.
const CLOCK_TICKS_PER_S: f64 = 100.0;

const MICRO: f64 = 1e6;

#[tokio::main]
async fn main() {
    println!("{:>6} {:>16} {:>14} {:>14}", "nodes", "at rest, us/s", "entry, us/call", "gate, us/call");
    for nodes in FLEETS {
        measure(nodes).await;
    }
}

async fn measure(nodes: usize) {
    let mut services = vec!["front"; nodes];
    services[1] = "trips";
    let fleet = SidecarFleet::start(&services, &config()).await;
    fleet.wait_for_status(0, &request("first"), 200).await;
    let rest = cpu_s(&fleet);
    tokio::time::sleep(Duration::from_secs(REST_S)).await;
    let at_rest_us = (cpu_s(&fleet)[0] - rest[0]) * MICRO / REST_S as f64;
    let (before, started) = (cpu_s(&fleet), Instant::now());
    let callers = (0..CALLERS).map(|caller| call_in_series(&fleet, caller));
    futures_util::future::join_all(callers).await;
    let (after, elapsed_s) = (cpu_s(&fleet), started.elapsed().as_secs_f64());
    let per_call = |node: usize| {
        let used_us = (after[node] - before[node]) * MICRO - at_rest_us * elapsed_s;
        used_us / (CALLERS * CALLS) as f64
    };
    println!("{nodes:>6} {at_rest_us:>16.0} {:>14.0} {:>14.0}", per_call(0), per_call(1));
}

async fn call_in_series(fleet: &SidecarFleet, caller: usize) {
    for call in 0..CALLS {
        fleet.send(0, &request(&format!("{caller}-{call}"))).await;
    }
}

fn request(id: &str) -> CallerRequest {
    CallerRequest { method: "GET", path: "/view/1", id: id.to_owned(), key: "key-1", deadline_ms: 3_000 }
}

fn config() -> serde_json::Value {
    json!({"version": "00000001",
        "routes": [{"name": "view", "host": "trips.example", "prefix": "/view/", "kind": "safe", "timeout_ms": 1_000,
            "priority": 1, "service": "trips", "attempts": 2}],
        "tenants": [{"name": "agency", "api_keys": ["key-1"], "rate_per_s": 1_000_000, "burst": 1_000_000}]})
}

/// Returns the processor time of each node so far, in seconds.
fn cpu_s(fleet: &SidecarFleet) -> Vec<f64> {
    let of_process = |id: u32| {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<f64> = after_name.split_whitespace().map(|field| field.parse().unwrap_or(0.0)).collect();
        // Fields 14 and 15 of the whole line are user and system time.
        (fields.get(11).copied().unwrap_or(0.0) + fields.get(12).copied().unwrap_or(0.0)) / CLOCK_TICKS_PER_S
    };
    fleet.vms.iter().map(|vm| of_process(vm.node.id())).collect()
}
