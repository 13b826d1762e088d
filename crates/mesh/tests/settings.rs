//! Tests the settings of a node.

use fulmartrestle_mesh::MeshSettings;
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
