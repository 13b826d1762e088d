//! Randomized documents: parsing settings, intents or records never panics, and each error has a valid position.

use fulmartrestle_config::Settings;
use fulmartrestle_config::jsonc::DocumentError;
use fulmartrestle_config::plan::Intent;
use fulmartrestle_config::replica::LogRecord;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestCaseResult, TestRunner};

const DEFAULT_SEED: u64 = 20_261_203;
const CASES: u32 = 1_000;

const SETTINGS: &str = include_str!("../examples/node.jsonc");
const INTENT: &str = r#"{"why": "è primavera", "changes": [
    {"set_tenant": {"tenant": "alpi", "rate_per_s": 250, "burst": 50, "weight": 2}},
    {"plan_stop": {"stop": "works", "scope": {"zone": "verona"}, "local_time": "2026-03-30T02:30",
        "time_zone": "Europe/Rome"}}, /* last */ {"grant_key": "alpi"}]}"#;

/// One modification of a valid document.
#[derive(Clone, Debug)]
enum Edit {
    Remove { at: usize, count: usize },
    Insert { at: usize, text: String },
    Truncate { at: usize },
}

fn edit() -> impl Strategy<Value = Edit> {
    let text = prop_oneof![
        Just("{".to_owned()),
        Just("[[[[".repeat(300)),
        Just("\"".to_owned()),
        Just("-1e999".to_owned()),
        Just("18446744073709551616".to_owned()),
        Just("null".to_owned()),
        Just("/*".to_owned()),
        Just("\\u12".to_owned()),
        "\\PC{0,6}",
    ];
    prop_oneof![
        (any::<usize>(), 1..30_usize).prop_map(|(at, count)| Edit::Remove { at, count }),
        (any::<usize>(), text).prop_map(|(at, text)| Edit::Insert { at, text }),
        any::<usize>().prop_map(|at| Edit::Truncate { at }),
    ]
}

fn apply(document: &str, edits: &[Edit]) -> String {
    let mut chars: Vec<char> = document.chars().collect();
    for edit in edits {
        let length = chars.len() + 1;
        match edit {
            Edit::Remove { at, count } => {
                let at = at % length;
                chars.drain(at..(at + count).min(length - 1));
            }
            Edit::Insert { at, text } => {
                let at = at % length;
                chars.splice(at..at, text.chars());
            }
            Edit::Truncate { at } => chars.truncate(at % length),
        }
    }
    chars.into_iter().collect()
}

fn check_position(error: &DocumentError, text: &str) -> TestCaseResult {
    let lines = text.matches('\n').count() + 1;
    prop_assert!(error.position.line >= 1 && error.position.line <= lines, "{error}");
    prop_assert!(error.position.column >= 1, "{error}");
    prop_assert!(!error.message.is_empty());
    prop_assert!(error.value.chars().count() <= DocumentError::MAX_VALUE_CHARS);
    Ok(())
}

fn run<S: Strategy>(strategy: &S, test: impl Fn(S::Value) -> TestCaseResult) {
    let seed = std::env::var("FULMARTRESTLE_SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SEED);
    let config =
        Config { cases: CASES, rng_seed: RngSeed::Fixed(seed), failure_persistence: None, ..Config::default() };
    if let Err(error) = TestRunner::new(config).run(strategy, test) {
        panic!("FULMARTRESTLE_SEED={seed}: {error}");
    }
}

#[gtest]
fn edited_settings_are_parsed_or_rejected_with_a_position() {
    run(&prop::collection::vec(edit(), 1..4), |edits| {
        let text = apply(SETTINGS, &edits);
        match Settings::parse("s.jsonc", &text) {
            Err(fulmartrestle_config::SettingsError::Document(error)) => check_position(&error, &text),
            Err(error) => {
                prop_assert!(error.to_string().starts_with("s.jsonc: field `"), "{error}");
                Ok(())
            }
            Ok(_) => Ok(()),
        }
    });
}

#[gtest]
fn edited_intents_are_parsed_or_rejected_with_a_position() {
    run(&prop::collection::vec(edit(), 1..4), |edits| {
        let text = apply(INTENT, &edits);
        Intent::parse("i.jsonc", &text).map_or_else(|error| check_position(&error, &text), |_| Ok(()))
    });
}

#[gtest]
fn any_text_is_parsed_or_rejected_with_a_position() {
    run(&"\\PC{0,40}", |text| {
        Intent::parse("i.jsonc", &text).map_or_else(|error| check_position(&error, &text), |_| Ok(()))
    });
}

#[gtest]
fn any_bytes_are_decoded_as_a_record() {
    run(&prop::collection::vec(any::<u8>(), 0..60), |mut bytes| {
        let _ = LogRecord::decode(&bytes);
        bytes.insert(0, 1);
        let _ = LogRecord::decode(&bytes);
        Ok(())
    });
}

/// Shows that the check detects an error with a wrong position.
#[gtest]
fn error_with_a_wrong_position_is_detected() {
    let mut error = Intent::parse("i.jsonc", "{").unwrap_err();
    assert_that!(check_position(&error, "{").is_ok(), is_true());
    error.position.line = 2;
    assert_that!(check_position(&error, "{").is_err(), is_true());
}
