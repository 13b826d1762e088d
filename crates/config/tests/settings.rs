//! Parsing of node settings.

use fulmartrestle_config::settings::{IsolationSettings, Limits, Settings, SettingsBuilder};
use googletest::prelude::*;

const SAMPLE: &str = include_str!("../examples/node.jsonc");

#[gtest]
fn documented_sample_is_parsed_completely() {
    let settings = Settings::parse("node.jsonc", SAMPLE).unwrap();
    let expected = SettingsBuilder::new("milano".parse().unwrap(), "po-plain".parse().unwrap())
        .caller_address("10.0.1.7:8080".parse().unwrap())
        .peer_address("10.0.1.7:8081".parse().unwrap())
        .admin_address("10.0.1.7:8082".parse().unwrap())
        .log_url("http://10.0.0.5:7070")
        .metrics_address("10.0.0.6:8125".parse().unwrap())
        .limits(Limits::default())
        .isolation(IsolationSettings::default())
        .build();
    assert_that!(settings, eq(&expected));
}

#[gtest]
fn errors_state_position_field_and_value() {
    struct Case {
        name: &'static str,
        from: &'static str,
        to: &'static str,
        error: &'static str,
    }
    let cases = [
        Case {
            name: "unknown field",
            from: "\"region\"",
            to: "\"regoin\"",
            error: "s.jsonc:5:3: field `regoin`: unknown field `regoin`",
        },
        Case {
            name: "wrong type in a nested object",
            from: "1048576",
            to: "\"big\"",
            error: "s.jsonc:35:23: field `limits.max_body_bytes`: invalid type",
        },
        Case {
            name: "unknown field in a nested object",
            from: "\"max_connections\"",
            to: "\"connections\"",
            error: "s.jsonc:37:5: field `limits.connections`: unknown field",
        },
        Case {
            name: "invalid identifier",
            from: "\"milano\"",
            to: "\"mi lano\"",
            error: "s.jsonc:4:24: field `availability_zone`: not a valid availability zone: \"mi lano\"",
        },
        Case {
            name: "invalid address",
            from: "10.0.1.7:8080",
            to: "10.0.1.7",
            error: "s.jsonc:8:21: field `caller_address`: invalid socket address syntax",
        },
        Case { name: "unknown level", from: "\"info\",", to: "\"loud\",", error: "field `log_level`: unknown variant" },
        Case { name: "missing comma", from: "\"milano\",", to: "\"milano\"", error: "s.jsonc:4:32: " },
        Case {
            name: "log URL with a host name",
            from: "http://10.0.0.5:7070",
            to: "http://log:7070",
            error: "s.jsonc: field `log_url`: expected http://IP:PORT, found `http://log:7070`",
        },
        Case {
            name: "two listeners on one address",
            from: "10.0.1.7:8081",
            to: "10.0.1.7:8080",
            error: "field `caller_address`: two listeners have the same address",
        },
        Case {
            name: "zero limit",
            from: "4096",
            to: "0",
            error: "field `limits.max_connections`: expected at least 1, found `0`",
        },
        Case { name: "missing field", from: "\"region\": \"po-plain\",", to: "", error: "missing field `region`" },
        Case { name: "empty document", from: SAMPLE, to: "// nothing", error: "s.jsonc:1:1: the document is empty" },
    ];
    for case in cases {
        let text = SAMPLE.replacen(case.from, case.to, 1);
        let error = Settings::parse("s.jsonc", &text).map(|_| ()).unwrap_err().to_string();
        expect_that!(error, contains_substring(case.error), "case: {}", case.name);
    }
}

#[gtest]
fn missing_file_is_named_in_the_error() {
    let error = Settings::load(std::path::Path::new("no/such/node.jsonc")).map(|_| ()).unwrap_err();
    assert_that!(error.to_string(), contains_substring("no/such/node.jsonc"));
}
