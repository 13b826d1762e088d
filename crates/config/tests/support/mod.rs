//! A small fleet and plans for tests.
#![allow(dead_code)] // Each test file uses only some of the items.

pub mod fake_log;
pub mod sim;

use fulmartrestle_config::fleet::{
    FleetConfig, KeyHash, KeyId, KeyRow, OperatorName, OperatorRow, RouteRow, TenantRow, Weight,
};
use fulmartrestle_config::plan::{
    Change, CreatedPlan, Intent, IntentChange, ObservedFleet, ObservedTarget, ObservedTraffic, Plan, PlanRequest,
    TimeZones, create_plan,
};
use fulmartrestle_core::{Class, RatePerS, Tokens, Version, VmId};

/// 2026-03-01T12:00:00Z.
pub const NOW_UNIX_MS: i64 = 1_772_366_400_000;

/// The system's time zones, read once because that is slow.
static TIME_ZONES: std::sync::OnceLock<TimeZones> = std::sync::OnceLock::new();

pub fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

pub fn tenant_row(name: &str, rate_per_s: u64) -> TenantRow {
    TenantRow { tenant: id(name), rate_per_s: RatePerS(rate_per_s), burst: Tokens(20), weight: Weight(1) }
}

pub fn route_row(name: &str, path_prefix: &str, service: &str) -> RouteRow {
    RouteRow {
        route: id(name),
        path_prefix: path_prefix.to_owned(),
        service: id(service),
        class: Class::Lookup,
        at_most_once: false,
        open_to_all: false,
        tenants: None,
        chain: Vec::new(),
        timeout_ms: 1_000,
        retryable: true,
    }
}

pub fn key_row(secret: &str, tenant: &str) -> KeyRow {
    let hash = KeyHash::from_key(secret);
    KeyRow { hash, key_id: KeyId::from_hash(&hash), tenant: id(tenant), withdrawn: false }
}

pub fn key_id(secret: &str) -> KeyId {
    KeyId::from_hash(&KeyHash::from_key(secret))
}

pub fn fleet() -> FleetConfig {
    let operator = |name: &str| OperatorRow { name: id(name), hash: KeyHash::from_key(name) };
    let changes = [
        Change::PutOperator(operator("ada")),
        Change::PutOperator(operator("bob")),
        Change::PutTenant(tenant_row("alpi", 100)),
        Change::PutTenant(tenant_row("lago", 100)),
        Change::PutRoute(route_row("profiles", "/profiles", "profiles")),
        Change::PutRoute(RouteRow {
            chain: vec![id("profiles")],
            at_most_once: true,
            retryable: false,
            ..route_row("pairings", "/pairings", "pairing")
        }),
        Change::PutKey(key_row("alpi-1", "alpi")),
        Change::PutKey(key_row("lago-1", "lago")),
        Change::PutKey(key_row("lago-2", "lago")),
    ];
    FleetConfig::from_changes(Version(9), &changes)
}

/// Observations of two zones with one target of each service, each with a capacity of 150 requests per second.
pub fn observed_fleet() -> ObservedFleet {
    let mut observed = ObservedFleet::default();
    for (index, (service, zone)) in
        [("profiles", "milano"), ("profiles", "verona"), ("pairing", "milano"), ("pairing", "verona")]
            .into_iter()
            .enumerate()
    {
        observed.targets.push(ObservedTarget {
            vm: VmId(index as u64),
            address: format!("10.0.0.{index}:80").parse().unwrap(),
            service: id(service),
            zone: id(zone),
            capacity_per_s: Some(RatePerS(150)),
        });
    }
    for (tenant, route, rate_per_s) in [("alpi", "profiles", 60), ("lago", "pairings", 30), ("lago", "profiles", 10)] {
        observed.traffic.push(ObservedTraffic {
            route: id(route),
            tenant: Some(id(tenant)),
            zone: id("milano"),
            rate_per_s: RatePerS(rate_per_s),
        });
    }
    observed
}

pub fn try_create_plan(
    config: &FleetConfig,
    changes: Vec<IntentChange>,
    random: u8,
) -> Result<CreatedPlan, fulmartrestle_config::plan::PlanError> {
    let intent = Intent { why: "test".to_owned(), changes };
    let request = PlanRequest {
        operator: &id::<OperatorName>("ada"),
        observed: &observed_fleet(),
        time_zones: TIME_ZONES.get_or_init(TimeZones::from_system),
        now_unix_ms: NOW_UNIX_MS,
        random_bytes: [random; 32],
    };
    create_plan(config, &intent, &request)
}

pub fn create_test_plan(config: &FleetConfig, changes: Vec<IntentChange>, random: u8) -> Plan {
    try_create_plan(config, changes, random).unwrap().plan
}

/// Creates a plan that turns an empty configuration into [`fleet`].
pub fn initial_plan() -> Plan {
    let mut plan = create_test_plan(&FleetConfig::default(), vec![IntentChange::SetTenant(tenant_row("first", 1))], 0);
    let base = fleet();
    plan.writes.extend(base.tenants().rows().iter().cloned().map(Change::PutTenant));
    plan.writes.extend(base.operators().rows().iter().cloned().map(Change::PutOperator));
    plan.writes.extend(base.routes().rows().iter().cloned().map(Change::PutRoute));
    plan.writes.extend(base.keys().rows().iter().cloned().map(Change::PutKey));
    plan.id = plan.expected_id();
    plan
}
