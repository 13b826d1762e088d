//! Tests of the in-memory log and its fault injection.

use fulmartrestle_core::LogOffset;
use fulmartrestle_platform_log::{LogError, LogFaults, MemoryLog, PlatformLog, StreamName};
use googletest::prelude::*;

fn stream() -> StreamName {
    "config".parse().expect("a valid stream name")
}

async fn payloads(log: &dyn PlatformLog, from: u64) -> Vec<Vec<u8>> {
    let page = log.read(&stream(), LogOffset(from), 100).await.expect("a readable log");
    page.records.into_iter().map(|entry| entry.payload).collect()
}

struct FaultCase {
    name: &'static str,
    faults: LogFaults,
    result: std::result::Result<LogOffset, LogError>,
    records_written: usize,
}

fn fault_cases() -> Vec<FaultCase> {
    let none = LogFaults::default;
    vec![
        FaultCase { name: "no fault", faults: none(), result: Ok(LogOffset(0)), records_written: 2 },
        FaultCase {
            name: "down",
            faults: LogFaults { down: true, ..none() },
            result: Err(LogError::Unavailable),
            records_written: 0,
        },
        FaultCase {
            name: "next refused",
            faults: LogFaults { refuse_next_appends: 1, ..none() },
            result: Err(LogError::Unavailable),
            records_written: 0,
        },
        FaultCase {
            name: "next response lost",
            faults: LogFaults { lose_next_answers: 1, ..none() },
            result: Err(LogError::ResponseLost),
            records_written: 2,
        },
        FaultCase {
            name: "all responses lost",
            faults: LogFaults { lose_answers_per_mille: 1_000, ..none() },
            result: Err(LogError::ResponseLost),
            records_written: 2,
        },
    ]
}

#[tokio::test]
async fn append_result_matches_what_was_written_under_each_fault() {
    for case in fault_cases() {
        let log = MemoryLog::new();
        log.set_faults(case.faults);
        let result = log.append(&stream(), vec![b"a".to_vec(), b"b".to_vec()]).await;
        log.set_faults(LogFaults::default());
        assert_that!(result, eq(&case.result), "{}", case.name);
        assert_that!(payloads(&log, 0).await.len(), eq(case.records_written), "{}", case.name);
    }
}

#[tokio::test]
async fn counted_faults_apply_only_to_the_next_appends() {
    let log = MemoryLog::new();
    log.set_faults(LogFaults { refuse_next_appends: 1, lose_next_answers: 1, ..LogFaults::default() });
    assert_that!(log.append(&stream(), vec![b"a".to_vec()]).await, err(eq(&LogError::Unavailable)));
    assert_that!(log.append(&stream(), vec![b"b".to_vec()]).await, err(eq(&LogError::ResponseLost)));
    assert_that!(log.append(&stream(), vec![b"c".to_vec()]).await, ok(eq(&LogOffset(1))));
    assert_that!(payloads(&log, 0).await, elements_are![eq(b"b"), eq(b"c")]);
}

#[tokio::test]
async fn pages_return_the_offset_of_the_next_read() {
    let log = MemoryLog::new();
    let records = (0..5).map(|byte| vec![byte]).collect();
    log.append(&stream(), records).await.expect("an append");
    log.trim_before(&stream(), LogOffset(2));
    assert_that!(log.read(&stream(), LogOffset(1), 9).await, err(eq(&LogError::Trimmed { first: LogOffset(2) })));
    let page = log.read(&stream(), LogOffset(2), 2).await.expect("a page");
    assert_that!(
        (page.first_offset, page.next_offset, page.end_offset),
        eq((LogOffset(2), LogOffset(4), LogOffset(5)))
    );
    let last_page = log.read(&stream(), page.next_offset, 9).await.expect("a page");
    assert_that!((last_page.records.len(), last_page.next_offset), eq((1, LogOffset(5))));
    let past_end = log.read(&stream(), LogOffset(6), 9).await;
    assert_that!(past_end, err(matches_pattern!(LogError::BadRequest(contains_substring("6")))));
}

#[tokio::test]
async fn an_empty_append_is_rejected() {
    let result = MemoryLog::new().append(&stream(), Vec::new()).await;
    assert_that!(result, err(matches_pattern!(LogError::BadRequest(_))));
}
