//! Measures the memory, encoded size and processing time of configurations of several sizes.
//!
//! ```text
//! cargo run --release -p fulmartrestle-config --example config_costs
//! ```

mod support;

use std::hint::black_box;
use std::time::Instant;

use fulmartrestle_config::fleet::{FleetConfig, KeyHash, KeyId, RouteRow};
use fulmartrestle_config::plan::{Change, IntentChange};
use fulmartrestle_config::replica::{LogRecord, Replica};
use fulmartrestle_core::{Class, LogOffset, Version};
use support::{create_plan_for, encoded_len, id, key_row, ns_per_call, resident_bytes, secret, tenant_row};

fn route_row(index: usize) -> RouteRow {
    RouteRow {
        route: id(&format!("route-{index:05}")),
        path_prefix: format!("/service-{}/resource-{index:05}", index % 280),
        service: id(&format!("service-{}", index % 280)),
        class: Class::Lookup,
        at_most_once: false,
        open_to_all: false,
        tenants: None,
        chain: (1..4).map(|step| id(&format!("service-{}", (index + step) % 280))).collect(),
        timeout_ms: 1_000,
        retryable: true,
    }
}

#[derive(Clone, Copy)]
struct Size {
    tenants: usize,
    routes: usize,
    keys: usize,
}

fn config(size: Size) -> FleetConfig {
    let tenants = (0..size.tenants).map(|index| Change::PutTenant(tenant_row(index, 100)));
    let routes = (0..size.routes).map(|index| Change::PutRoute(route_row(index)));
    let keys = (0..size.keys).map(|index| Change::PutKey(key_row(index, size.tenants)));
    FleetConfig::from_changes(Version(0), &tenants.chain(routes).chain(keys).collect::<Vec<_>>())
}

/// Measures the memory and encoded size per row.
fn measure_sizes() {
    println!("# bytes per row: growth of resident memory over 200,000 rows, and encoded size");
    let before = resident_bytes();
    let tenants: Vec<_> = (0..200_000).map(|index| tenant_row(index, 100)).collect();
    let after_tenants = resident_bytes();
    let routes: Vec<_> = (0..200_000).map(route_row).collect();
    let after_routes = resident_bytes();
    let keys: Vec<_> = (0..200_000).map(|index| key_row(index, 500)).collect();
    let after_keys = resident_bytes();
    println!("tenant memory_B={} wire_B={}", (after_tenants - before) / 200_000, encoded_len(&tenants[7]));
    println!("route  memory_B={} wire_B={}", (after_routes - after_tenants) / 200_000, encoded_len(&routes[7]));
    println!("key    memory_B={} wire_B={}", (after_keys - after_routes) / 200_000, encoded_len(&keys[7]));
    black_box((tenants, routes, keys));
}

fn replica_with(size: Size) -> Replica {
    let mut replica = Replica::default();
    replica.set_first_retained(LogOffset(0));
    let mut snapshot = replica.snapshot().unwrap();
    snapshot.next_offset = LogOffset(1);
    snapshot.config = config(size);
    let mut replica = Replica::default();
    replica.install_snapshot(snapshot);
    replica
}

/// Measures the memory of a replica with a full history of certified plans.
fn measure_history() {
    let mut replica = replica_with(Size { tenants: 8, routes: 10, keys: 10 });
    for round in 0..1_024 {
        let base = replica.config().unwrap().clone();
        let change = IntentChange::SetTenant(tenant_row(round % 8, round as u64));
        replica.apply_record(replica.next_offset(), &LogRecord::Confirm(create_plan_for(&base, change, round as u8)));
    }
    let before = resident_bytes();
    let copies: Vec<_> = (0..100).map(|_| replica.clone()).collect();
    let history_bytes = (resident_bytes() - before) / 100;
    println!("history of 1,024 plans memory_B={history_bytes}, per plan {}", history_bytes / 1_024);
    // Freed memory would be reused and hide the growth in the next measurement.
    std::mem::forget(copies);
}

/// Measures the time per operation for several sizes of configuration.
fn measure_time() {
    println!("# time per operation, least of five rounds");
    println!("# tenants routes keys key_lookup_ns route_lookup_ns certify_us snapshot_B snapshot_ms");
    let sizes = [
        Size { tenants: 8, routes: 10, keys: 10 },
        Size { tenants: 50, routes: 100, keys: 500 },
        Size { tenants: 200, routes: 500, keys: 4_000 },
        Size { tenants: 500, routes: 2_000, keys: 20_000 },
    ];
    for size in sizes {
        let mut replica = replica_with(size);
        let config = replica.config().unwrap().clone();
        let secrets: Vec<_> = (0..size.keys).map(secret).collect();
        let key_ns = ns_per_call(20_000, |index| {
            black_box(config.tenant_for_key(&secrets[index % size.keys]));
        });
        let paths: Vec<_> = (0..size.routes).map(|index| format!("{}/17/part", route_row(index).path_prefix)).collect();
        let route_ns = ns_per_call(20_000, |index| {
            black_box(config.route_for(&paths[index % size.routes]));
        });
        // The history is full after 1,024 plans. The time is measured for the last 200.
        let mut spent_ns = 0;
        for round in 0..1_300 {
            let tenant = tenant_row(round % size.tenants, round as u64);
            let base = replica.config().unwrap().clone();
            let record = LogRecord::Confirm(create_plan_for(&base, IntentChange::SetTenant(tenant), round as u8));
            let start = Instant::now();
            replica.apply_record(replica.next_offset(), &record);
            if round >= 1_100 {
                spent_ns += start.elapsed().as_nanos();
            }
        }
        let start = Instant::now();
        let parts = replica.snapshot().unwrap().to_parts(0);
        let snapshot_ms = start.elapsed().as_micros() as f64 / 1_000.0;
        let snapshot_bytes: usize = parts.iter().map(|part| part.bytes.len()).sum();
        let Size { tenants, routes, keys } = size;
        let certify_us = spent_ns as f64 / 200_000.0;
        println!(
            "{tenants:5} {routes:6} {keys:6} {key_ns:6} {route_ns:6} {certify_us:9.1} {snapshot_bytes:10} {snapshot_ms:8.2}"
        );
    }
    let base = config(sizes[1]);
    let one = create_plan_for(&base, IntentChange::SetTenant(tenant_row(1, 7)), 1);
    let key = create_plan_for(&base, IntentChange::WithdrawKey(KeyId::from_hash(&KeyHash::from_key(&secret(1)))), 1);
    println!("# plan on the wire: one tenant {} B, one key withdrawn {} B", encoded_len(&one), encoded_len(&key));
}

fn main() {
    measure_history();
    measure_sizes();
    measure_time();
}
