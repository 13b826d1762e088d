//! Fuzz tests of the decoders: random bytes yield an error or a value, never a panic, and memory stays bounded.

use bytes::BytesMut;
use fulmartrestle_core::CallId;
use fulmartrestle_node::context::ContextSigner;
use fulmartrestle_node::peer::ControlEnvelope;
use fulmartrestle_node::wire::{CallHead, HeadError, HeaderPair, ResponseHead, decode_exact, decode_head, encode_head};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Number of cases of each randomised test.
const CASES: u32 = 2_000;

/// Maximum length of a random input, in bytes.
const MAX_INPUT_BYTES: usize = 600;

/// Returns a runner with a fixed seed, so that each run has the same result. `FULMARTRESTLE_SEED` overrides the seed.
fn runner() -> TestRunner {
    let seed: u8 = std::env::var("FULMARTRESTLE_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]))
}

fn any_bytes() -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(any::<u8>(), 0..MAX_INPUT_BYTES)
}

#[googletest::test]
fn random_bytes_decode_to_an_error_or_a_value() {
    let result = runner().run(&any_bytes(), |bytes| {
        let _ = decode_exact::<ControlEnvelope>(&bytes);
        let _ = decode_exact::<CallHead>(&bytes);
        let mut framed = BytesMut::from(&bytes[..]);
        let _ = decode_head::<ResponseHead>(&mut framed);
        Ok(())
    });
    expect_that!(result, ok(anything()));
}

#[googletest::test]
fn heads_split_at_any_position_decode_completely() {
    let input = (prop::collection::vec(any::<u8>(), 0..200), 0_usize..400);
    let result = runner().run(&input, |(value, split)| {
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
    expect_that!(result, ok(anything()));
}

#[googletest::test]
fn a_length_over_the_limit_is_rejected_before_buffering() {
    let mut buffer = BytesMut::from(&u32::MAX.to_le_bytes()[..]);
    let decoded = decode_head::<HeaderPair>(&mut buffer);
    expect_that!(decoded, err(eq(&HeadError::TooLong(u32::MAX as usize))));
}

#[googletest::test]
fn only_a_header_signed_for_the_call_by_the_same_signer_verifies() {
    struct Case {
        name: &'static str,
        value: String,
        verifies: bool,
    }
    let signer = ContextSigner::new([7; 32]);
    let signed = signer.sign(CallId(42));
    let (call, tag) = signed.split_once('.').unwrap_or_default();
    let cases = [
        Case { name: "own", value: signed.clone(), verifies: true },
        Case { name: "another node's", value: ContextSigner::new([8; 32]).sign(CallId(42)), verifies: false },
        Case { name: "another call's tag", value: format!("{:016x}.{tag}", 43), verifies: false },
        Case { name: "short tag", value: format!("{call}.{}", &tag[..30]), verifies: false },
        Case { name: "no tag", value: call.to_owned(), verifies: false },
        Case { name: "not ASCII", value: format!("{call}.{}", "é".repeat(16)), verifies: false },
    ];
    for case in cases {
        expect_that!(signer.verify(&case.value).is_ok(), eq(case.verifies), "{}", case.name);
    }
}
