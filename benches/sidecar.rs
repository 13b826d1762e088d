//! Measures the CPU time of sidecar processes, when idle for several fleet sizes, and per call through two
//! nodes: `cargo bench --bench sidecar`.
//!
//! An idle node still receives the status of every other node. This cost must stay far below the 0.4 cores
//! that a node has. Each call uses CPU time on the entry node, to which the caller connects, and on the gate
//! node, which runs beside the target.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use serde_json::json;
use support::{CallerRequest, SidecarFleet};

/// Fleet sizes to measure, in nodes. The last one is about the size of a large deployment.
const FLEET_SIZES: [usize; 3] = [2, 20, 80];

/// Duration of the idle measurement, in seconds.
const IDLE_S: u64 = 5;

/// Calls that each caller sends, one after the other.
const CALLS_PER_CALLER: usize = 1_500;

/// Concurrent callers.
const CALLERS: usize = 8;

/// Clock ticks per second, the unit of CPU time in `/proc/PID/stat`.
const CLOCK_TICKS_PER_S: f64 = 100.0;

const MICROS_PER_S: f64 = 1e6;

#[tokio::main]
async fn main() {
    println!("{:>6} {:>16} {:>14} {:>14}", "nodes", "idle, us/s", "entry, us/call", "gate, us/call");
    for nodes in FLEET_SIZES {
        measure_fleet(nodes).await;
    }
}

/// Measures a fleet of `nodes` sidecars and prints one row of results.
async fn measure_fleet(nodes: usize) {
    let mut services = vec!["front"; nodes];
    services[1] = "trips";
    let fleet = SidecarFleet::start(&services, &config()).await;
    fleet.wait_for_status(0, &request("first"), 200).await;
    let idle_start = node_cpu_s(&fleet);
    tokio::time::sleep(Duration::from_secs(IDLE_S)).await;
    let idle_us_per_s = (node_cpu_s(&fleet)[0] - idle_start[0]) * MICROS_PER_S / IDLE_S as f64;
    let (before, started) = (node_cpu_s(&fleet), Instant::now());
    let callers = (0..CALLERS).map(|caller| call_in_series(&fleet, caller));
    futures_util::future::join_all(callers).await;
    let (after, elapsed_s) = (node_cpu_s(&fleet), started.elapsed().as_secs_f64());
    let cpu_us_per_call = |node: usize| {
        let used_us = (after[node] - before[node]) * MICROS_PER_S - idle_us_per_s * elapsed_s;
        used_us / (CALLERS * CALLS_PER_CALLER) as f64
    };
    println!("{nodes:>6} {idle_us_per_s:>16.0} {:>14.0} {:>14.0}", cpu_us_per_call(0), cpu_us_per_call(1));
}

async fn call_in_series(fleet: &SidecarFleet, caller: usize) {
    for call in 0..CALLS_PER_CALLER {
        fleet.send(0, &request(&format!("{caller}-{call}"))).await;
    }
}

fn request(request_id: &str) -> CallerRequest {
    CallerRequest {
        method: "GET",
        path: "/view/1",
        request_id: request_id.to_owned(),
        api_key: "key-1",
        deadline_ms: 3_000,
    }
}

fn config() -> serde_json::Value {
    json!({"version": "00000001",
        "routes": [{"name": "view", "host": "trips.example", "prefix": "/view/", "kind": "safe", "timeout_ms": 1_000,
            "priority": 1, "service": "trips", "attempts": 2}],
        "tenants": [{"name": "agency", "api_keys": ["key-1"], "rate_per_s": 1_000_000, "burst": 1_000_000}]})
}

/// Returns the CPU time that each node has used so far, in seconds.
fn node_cpu_s(fleet: &SidecarFleet) -> Vec<f64> {
    let process_cpu_s = |pid: u32| {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<f64> = after_name.split_whitespace().map(|field| field.parse().unwrap_or(0.0)).collect();
        // Fields 14 and 15 of the line are user and system time; `fields` starts with field 3.
        (fields.get(11).copied().unwrap_or(0.0) + fields.get(12).copied().unwrap_or(0.0)) / CLOCK_TICKS_PER_S
    };
    fleet.vms.iter().map(|vm| process_cpu_s(vm.node.pid())).collect()
}
