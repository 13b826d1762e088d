//! Decoders under random bytes: an error or a value, never a panic, and bounded memory.

use bytes::BytesMut;
use fulmartrestle_core::CallId;
use fulmartrestle_node::context::ContextSigner;
use fulmartrestle_node::peer::ControlEnvelope;
use fulmartrestle_node::wire::{CallHead, HeadError, HeaderPair, ResponseHead, decode_exact, decode_head, encode_head};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Cases of each randomised test.
const CASES: u32 = 2_000;

/// Longest random input, in bytes.
const MAX_INPUT_BYTES: usize = 600;

/// Returns a runner with a fixed seed, so that each run has the same verdict. `FULMARTRESTLE_SEED` shifts it.
fn runner() -> TestRunner {
    let seed: u8 = std::env::var("FULMARTRESTLE_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]))
}

fn any_bytes() -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(any::<u8>(), 0..MAX_INPUT_BYTES)
}

#[googletest::test]
fn random_bytes_are_an_error_or_a_value() {
    let ran = runner().run(&any_bytes(), |bytes| {
        let _ = decode_exact::<ControlEnvelope>(&bytes);
        let _ = decode_exact::<CallHead>(&bytes);
        let mut framed = BytesMut::from(&bytes[..]);
        let _ = decode_head::<ResponseHead>(&mut framed);
        Ok(())
    });
    expect_that!(ran, ok(anything()));
}

#[googletest::test]
fn heads_come_back_whole_from_any_split() {
    let input = (prop::collection::vec(any::<u8>(), 0..200), 0_usize..400);
    let ran = runner().run(&input, |(value, split)| {
        let head = HeaderPair { name: "x-any".to_owned(), value };
        let whole = encode_head(&head).map_err(|error| TestCaseError::fail(error.to_string()))?;
        let split = split.min(whole.len());
        let mut buffer = BytesMut::from(&whole[..split]);
        let first = decode_head::<HeaderPair>(&mut buffer).map_err(|error| TestCaseError::fail(error.to_string()))?;
        prop_assert_eq!(first.is_some(), split == whole.len());
        if first.is_none() {
            buffer.extend_from_slice(&whole[split..]);
            let second = decode_head::<HeaderPair>(&mut buffer);
            prop_assert_eq!(second, Ok(Some(head)));
        }
        Ok(())
    });
    expect_that!(ran, ok(anything()));
}

#[googletest::test]
fn a_length_over_the_bound_is_refused_before_anything_is_held() {
    let mut buffer = BytesMut::from(&u32::MAX.to_le_bytes()[..]);
    let decoded = decode_head::<HeaderPair>(&mut buffer);
    expect_that!(decoded, err(eq(&HeadError::TooLong(u32::MAX as usize))));
}

#[googletest::test]
fn only_the_own_seal_opens() {
    struct Case {
        name: &'static str,
        value: String,
        opens: bool,
    }
    let signer = ContextSigner::new([7; 32]);
    let sealed = signer.seal(CallId(42));
    let (call, tag) = sealed.split_once('.').unwrap_or_default();
    let cases = [
        Case { name: "own", value: sealed.clone(), opens: true },
        Case { name: "another node's", value: ContextSigner::new([8; 32]).seal(CallId(42)), opens: false },
        Case { name: "another call's tag", value: format!("{:016x}.{tag}", 43), opens: false },
        Case { name: "short tag", value: format!("{call}.{}", &tag[..30]), opens: false },
        Case { name: "no tag", value: call.to_owned(), opens: false },
        Case { name: "not ASCII", value: format!("{call}.{}", "é".repeat(16)), opens: false },
    ];
    for case in cases {
        expect_that!(signer.open(&case.value).is_ok(), eq(case.opens), "{}", case.name);
    }
}
