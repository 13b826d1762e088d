//! Tests the settings of a node.

use fulmartrestle_mesh::MeshSettings;
use fulmartrestle_policy::ZoneTrafficSettings;
use googletest::prelude::*;

/// Returns settings with further bounds.
fn settings(further_bounds: &str) -> String {
    let address = "\"127.0.0.1:1\"";
    let addresses = ["caller", "ready", "control", "peer", "metrics", "target", "store"];
    let addresses = addresses.map(|name| format!("\"{name}_address\": {address},")).concat();
    format!(
        "{{\"name\": \"n\", \"availability_zone\": \"z\", \"service\": \"s\", {addresses} \"max_descriptors\": 1024,
        \"memory_mb\": 160, \"first_start\": false, \"bounds\": {{\"revoke_ms\": 5000, \"grace_s\": 6,
        \"quota_slack\": 20, \"retry_ratio\": 0.2, \"retry_slack\": 48 {further_bounds}}}}}"
    )
}

/// Guards against settings of deployments without cold targets that are rejected, and against a limit that is lost because
/// one of its two bounds is missing.
#[gtest]
fn bounds_for_cold_targets_are_optional() {
    struct Case {
        further_bounds: &'static str,
        cold_bounds: Option<(f64, f64)>,
    }
    let cases = [
        Case { further_bounds: "", cold_bounds: None },
        Case { further_bounds: ", \"cold_overage\": 1.5, \"cold_slack\": 8", cold_bounds: Some((1.5, 8.0)) },
        Case { further_bounds: ", \"cold_overage\": 1.5", cold_bounds: Some((1.5, 0.0)) },
        Case { further_bounds: ", \"cold_slack\": 8", cold_bounds: Some((1.0, 8.0)) },
    ];
    for case in cases {
        let settings = MeshSettings::parse("test", &settings(case.further_bounds)).expect(case.further_bounds);
        expect_that!(settings.bounds.cold_bounds(), eq(case.cold_bounds), "{}", case.further_bounds);
    }
    let negative = MeshSettings::parse("test", &settings(", \"cold_slack\": -1"));
    expect_that!(negative.expect_err("a negative slack").to_string(), contains_substring("bounds.cold_slack"));
}

/// Guards against settings of earlier deployments that are rejected because they do not name the bound.
#[gtest]
fn bound_of_configuration_is_optional_and_checked() {
    let config_apply_ms = |further_bounds| {
        let settings = MeshSettings::parse("test", &settings(further_bounds)).expect(further_bounds);
        settings.bounds.store_bounds().config_apply_ms
    };
    expect_that!(config_apply_ms(""), eq(2_000));
    expect_that!(config_apply_ms(", \"config_apply_ms\": 2500"), eq(2_500));
    let zero = MeshSettings::parse("test", &settings(", \"config_apply_ms\": 0"));
    expect_that!(zero.expect_err("no time at all").to_string(), contains_substring("bounds.config_apply_ms"));
}

/// Returns settings with `zone_traffic` as it is written, if any.
fn parse(zone_traffic: Option<&str>) -> std::result::Result<Option<ZoneTrafficSettings>, String> {
    let zone_traffic = zone_traffic.map(|text| format!(", \"zone_traffic\": {text}")).unwrap_or_default();
    let text = format!(
        r#"{{"name": "a", "availability_zone": "milano", "caller_address": "127.0.0.1:1",
        "ready_address": "127.0.0.1:2", "control_address": "127.0.0.1:3", "peer_address": "127.0.0.1:4",
        "metrics_address": "127.0.0.1:5", "target_address": "127.0.0.1:6", "service": "trips",
        "store_address": "127.0.0.1:7", "max_descriptors": 1024, "memory_mb": 160, "first_start": false,
        "bounds": {{"revoke_ms": 5000, "grace_s": 6, "quota_slack": 20, "retry_ratio": 0.2, "retry_slack": 48}}
        {zone_traffic}}}"#
    );
    let settings = MeshSettings::parse("node.jsonc", &text).map_err(|error| error.to_string())?;
    Ok(settings.zone_traffic)
}

/// An absent block must leave the choice of a target as it was, and an invalid one must name its field.
#[gtest]
fn zone_traffic_is_optional_and_checked() {
    let defaults = ZoneTrafficSettings::default();
    assert_that!(parse(None), ok(none()));
    assert_that!(parse(Some("{}")), ok(some(eq(&defaults))));
    let priced = ZoneTrafficSettings { price_per_mb: 150.5, ..defaults };
    assert_that!(parse(Some(r#"{"price_per_mb": 150.5}"#)), ok(some(eq(&priced))));
    for (text, field, value) in [
        (r#"{"price_per_mb": -1}"#, "zone_traffic.price_per_mb", "-1"),
        (r#"{"price_per_mb": 1e999}"#, "zone_traffic.price_per_mb", ""),
        (r#"{"max_share": 1.5}"#, "zone_traffic.max_share", "1.5"),
        (r#"{"max_share": -0.1}"#, "zone_traffic.max_share", "-0.1"),
        (r#"{"max_share": "much"}"#, "zone_traffic.max_share", "much"),
    ] {
        assert_that!(parse(Some(text)), err(all!(contains_substring(field), contains_substring(value))));
    }
}
