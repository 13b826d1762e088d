//! Timelines made from logs of nodes.

use std::io::{BufRead, Cursor};

use fulmartrestle_timeline::{Timeline, render};
use googletest::prelude::*;

/// Two nodes, one of them behind a collector that adds a prefix, with a call of a target and a full service.
const LOG_A: &str = r#"
{"at_us":1,"event":"started","name":"a"}
{"at_us":2,"event":"outcomes","unix_ms":1700000001500,"window_ms":1000,"zone":"milano","route":"search","priority":1,"call":false,"in_time":8,"late":1,"answered_ms":900,"unserved":"shed=2 deadline=1"}
{"at_us":3,"event":"outcomes","unix_ms":1700000001500,"window_ms":1000,"zone":"milano","route":"index","priority":0,"call":true,"in_time":30,"late":0,"answered_ms":300}
{"at_us":4,"event":"target_use","unix_ms":1700000001500,"window_ms":1000,"zone":"milano","service":"departures","running_milli":9500,"waiting_milli":10500,"limit":10}
{"at_us":5,"event":"suppressed","of":"outcomes","lines":3}
{"at_us":6,"event":"suppressed","of":"refused","lines":70}
"#;
const LOG_B: &str = r#"
  1.2 sidecar-b {"at_us":2,"event":"outcomes","unix_ms":1700000001700,"window_ms":1000,"zone":"verona","route":"search","priority":1,"call":false,"in_time":4,"late":0,"answered_ms":100}
  2.2 sidecar-b {"at_us":2,"event":"outcomes","unix_ms":1700000002700,"window_ms":1000,"zone":"verona","route":"pairing","priority":0,"call":false,"in_time":0,"late":0,"answered_ms":0,"unserved":"target_error=5"}
"#;

fn read(logs: &[(&str, &'static str)], step_s: u64) -> std::result::Result<Timeline, String> {
    let to_log = |(name, text): &(&str, &'static str)| {
        (name.to_string(), Box::new(Cursor::new(text.as_bytes())) as Box<dyn BufRead>)
    };
    Timeline::read(logs.iter().map(to_log).collect(), step_s).map_err(|error| error.to_string())
}

#[gtest]
fn lines_of_all_nodes_are_added_by_step() {
    let timeline = read(&[("a.log", LOG_A), ("b.log", LOG_B)], 1).unwrap();
    let steps: Vec<_> = timeline.steps.iter().map(|step| (step.total().requests, step.total().in_time)).collect();
    assert_that!(steps, eq(&vec![(16, 12), (5, 0)]));
    assert_that!(timeline.steps[0].total().reasons(), eq(&vec![("shed", 2), ("deadline", 1), ("late", 1)]));
    assert_that!(timeline.steps[0].calls["index"].in_time, eq(30));
    let (service, service_use) = timeline.steps[0].busiest_service().unwrap();
    assert_that!((service, service_use.load()), eq(("departures", 2.0)));
    assert_that!(timeline.total().lost(), eq(9));
    assert_that!(timeline.suppressed_lines, eq(3));
}

#[gtest]
fn longer_steps_hold_the_same_requests() {
    let timeline = read(&[("a.log", LOG_A), ("b.log", LOG_B)], 10).unwrap();
    assert_that!(timeline.steps.len(), eq(1));
    assert_that!(timeline.total().requests, eq(21));
}

#[gtest]
fn text_names_the_time_the_route_and_the_reasons() {
    let text = render(&read(&[("a.log", LOG_A), ("b.log", LOG_B)], 1).unwrap());
    for expected in [
        "22:13:21",
        "search 4",
        "departures 200 %",
        "shed 2, deadline 1, late 1",
        "pairing, priority 0",
        "3 lines were not written",
    ] {
        assert_that!(text, contains_substring(expected));
    }
}

#[gtest]
fn bad_input_is_named() {
    struct Case {
        log: &'static str,
        step_s: u64,
        error: &'static str,
    }
    let cases = [
        Case { log: "", step_s: 1, error: "a.log: no line with \"event\":\"outcomes\"" },
        Case { log: "{\"event\":\"started\"}", step_s: 1, error: "a.log: no line with \"event\":\"outcomes\"" },
        Case { log: LOG_A, step_s: 0, error: "step-s: expected 1 or more: 0" },
        Case {
            log: "\n{\"event\":\"outcomes\",\"unix_ms\":1}",
            step_s: 1,
            error: "a.log:2: missing field `window_ms`",
        },
        Case {
            log: "{\"event\":\"outcomes\",\"unix_ms\":1,\"window_ms\":1,\"zone\":\"z\",\"route\":\"r\",\"priority\":0,\"call\":false,\"in_time\":0,\"late\":0,\"answered_ms\":0,\"unserved\":\"shed\"}",
            step_s: 1,
            error: "a.log:1: unserved: expected reason=count: \"shed\"",
        },
    ];
    for case in &cases {
        assert_that!(read(&[("a.log", case.log)], case.step_s), err(starts_with(case.error)));
    }
}
