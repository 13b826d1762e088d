//! Reading of node settings.

use fulmartrestle_config::settings::{IsolationSettings, Limits, Settings, SettingsBuilder};
use googletest::prelude::*;

const SAMPLE: &str = include_str!("../examples/node.jsonc");

#[gtest]
fn documented_sample_is_read_whole() {
    let settings = Settings::parse("node.jsonc", SAMPLE).unwrap();
    let wanted = SettingsBuilder::new("milano".parse().unwrap(), "po-plain".parse().unwrap())
        .caller_address("10.0.1.7:8080".parse().unwrap())
        .peer_address("10.0.1.7:8081".parse().unwrap())
        .admin_address("10.0.1.7:8082".parse().unwrap())
        .log_url("http://10.0.0.5:7070")
        .metrics_address("10.0.0.6:8125".parse().unwrap())
        .limits(Limits::default())
        .isolation(IsolationSettings::default())
        .build();
    assert_that!(settings, eq(&wanted));
}

#[gtest]
fn faults_are_reported_with_place_field_and_value() {
    struct Case {
        name: &'static str,
        replaced: &'static str,
        by: &'static str,
        error: &'static str,
    }
    let cases = [
        Case {
            name: "unknown field",
            replaced: "\"region\"",
            by: "\"regoin\"",
            error: "s.jsonc:5:3: field `regoin`: unknown field `regoin`",
        },
        Case {
            name: "wrong type in a nested object",
            replaced: "1048576",
            by: "\"big\"",
            error: "s.jsonc:35:23: field `limits.max_body_bytes`: invalid type",
        },
        Case {
            name: "unknown field in a nested object",
            replaced: "\"max_connections\"",
            by: "\"connections\"",
            error: "s.jsonc:37:5: field `limits.connections`: unknown field",
        },
        Case {
            name: "invalid identifier",
            replaced: "\"milano\"",
            by: "\"mi lano\"",
            error: "s.jsonc:4:24: field `availability_zone`: not a valid availability zone: \"mi lano\"",
        },
        Case {
            name: "invalid address",
            replaced: "10.0.1.7:8080",
            by: "10.0.1.7",
            error: "s.jsonc:8:21: field `caller_address`: invalid socket address syntax",
        },
        Case {
            name: "unknown level",
            replaced: "\"info\",",
            by: "\"loud\",",
            error: "field `log_level`: unknown variant",
        },
        Case { name: "missing comma", replaced: "\"milano\",", by: "\"milano\"", error: "s.jsonc:4:32: " },
        Case {
            name: "log by name",
            replaced: "http://10.0.0.5:7070",
            by: "http://log:7070",
            error: "s.jsonc: field `log_url`: expected http://IP:PORT, found `http://log:7070`",
        },
        Case {
            name: "two listeners on one address",
            replaced: "10.0.1.7:8081",
            by: "10.0.1.7:8080",
            error: "field `caller_address`: two listeners have the same address",
        },
        Case {
            name: "zero limit",
            replaced: "4096",
            by: "0",
            error: "field `limits.max_connections`: expected at least 1, found `0`",
        },
        Case { name: "missing field", replaced: "\"region\": \"po-plain\",", by: "", error: "missing field `region`" },
        Case {
            name: "empty document",
            replaced: SAMPLE,
            by: "// nothing",
            error: "s.jsonc:1:1: the document is empty",
        },
    ];
    for case in cases {
        let text = SAMPLE.replacen(case.replaced, case.by, 1);
        let error = Settings::parse("s.jsonc", &text).map(|_| ()).unwrap_err().to_string();
        expect_that!(error, contains_substring(case.error), "case: {}", case.name);
    }
}

#[gtest]
fn missing_file_is_named() {
    let error = Settings::load(std::path::Path::new("no/such/node.jsonc")).map(|_| ()).unwrap_err();
    assert_that!(error.to_string(), contains_substring("no/such/node.jsonc"));
}
