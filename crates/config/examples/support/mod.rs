//! Helpers shared by the measurements.
#![allow(dead_code)] // Each measurement uses only some of the items.

use std::time::Instant;

use fulmartrestle_config::fleet::{FleetConfig, KeyHash, KeyId, KeyRow, OperatorName, TenantRow, Weight};
use fulmartrestle_config::plan::{Intent, IntentChange, ObservedFleet, Plan, PlanRequest, TimeZones, create_plan};
use fulmartrestle_core::{RatePerS, Tokens};

/// 2026-03-01T12:00:00Z.
pub const NOW_UNIX_MS: i64 = 1_772_366_400_000;

static TIME_ZONES: std::sync::OnceLock<TimeZones> = std::sync::OnceLock::new();

pub fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

pub fn tenant_row(index: usize, rate: u64) -> TenantRow {
    let tenant = id(&format!("tenant-{index:05}"));
    TenantRow { tenant, rate_per_s: RatePerS(rate), burst: Tokens(50), weight: Weight(1) }
}

pub fn key_row(index: usize, tenants: usize) -> KeyRow {
    let hash = KeyHash::from_key(&secret(index));
    KeyRow {
        hash,
        key_id: KeyId::from_hash(&hash),
        tenant: id(&format!("tenant-{:05}", index % tenants)),
        withdrawn: false,
    }
}

pub fn secret(index: usize) -> String {
    format!("fk_{index:064x}")
}

pub fn encoded_len(value: &impl serde::Serialize) -> usize {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).unwrap().len()
}

/// Returns the resident memory of this process, in bytes.
pub fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kib| kib.parse::<usize>().ok()).unwrap_or_default() * 1024
}

/// Returns the time per call in nanoseconds, the minimum of five rounds.
pub fn ns_per_call(count: usize, mut call: impl FnMut(usize)) -> u128 {
    let rounds = (0..5).map(|_| {
        let start = Instant::now();
        (0..count).for_each(&mut call);
        start.elapsed().as_nanos() / count as u128
    });
    rounds.min().unwrap_or_default()
}

pub fn create_plan_for(config: &FleetConfig, change: IntentChange, random: u8) -> Plan {
    let intent = Intent { why: "a change of one row for the measurement".to_owned(), changes: vec![change] };
    let request = PlanRequest {
        operator: &id::<OperatorName>("ada"),
        observed: &ObservedFleet::default(),
        time_zones: TIME_ZONES.get_or_init(TimeZones::from_system),
        now_unix_ms: NOW_UNIX_MS,
        random_bytes: [random; 32],
    };
    create_plan(config, &intent, &request).unwrap().plan
}
