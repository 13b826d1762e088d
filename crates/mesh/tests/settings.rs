//! Tests the settings of a node.

use fulmartrestle_mesh::MeshSettings;
use fulmartrestle_policy::ZoneTrafficSettings;
use googletest::prelude::*;

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
