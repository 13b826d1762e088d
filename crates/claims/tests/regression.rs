//! Regression tests for faults found by the randomised simulations.

use fulmartrestle_claims::{
    AppendResult, BatcherResponse, ClaimEffect, ClaimId, ClaimKey, ClaimMember, ClaimMessage, ClaimNode, ClaimSettings,
    LogRequestId, ReadPage, ReadResult,
};
use fulmartrestle_core::{AvailabilityZone, LogOffset, TimeUs, VmId};
use googletest::prelude::*;

const BATCHER: VmId = VmId(1);
const ENTRY: VmId = VmId(2);

fn read_request_ids(effects: &[ClaimEffect]) -> Vec<LogRequestId> {
    let request_id_of =
        |effect: &ClaimEffect| if let ClaimEffect::Read { request_id, .. } = effect { Some(*request_id) } else { None };
    effects.iter().filter_map(request_id_of).collect()
}

fn append_request_id(effects: &[ClaimEffect]) -> Option<LogRequestId> {
    let request_id_of = |effect: &ClaimEffect| {
        if let ClaimEffect::Append { request_id, .. } = effect { Some(*request_id) } else { None }
    };
    effects.iter().find_map(request_id_of)
}

fn may_be_written_flags(effects: &[ClaimEffect]) -> Vec<bool> {
    let refusal = |effect: &ClaimEffect| match effect {
        ClaimEffect::Send {
            message: ClaimMessage::ClaimResponse { response: BatcherResponse::Refused { may_be_written, .. }, .. },
            ..
        } => Some(*may_be_written),
        _ => None,
    };
    effects.iter().filter_map(refusal).collect()
}

fn empty_stream() -> ReadResult {
    ReadResult::Page(ReadPage { batches: Vec::new(), end_offset: LogOffset(0), trimmed_before: LogOffset(0) })
}

/// Issue 5: after its first refusal was lost, a batcher stated in the second one that nothing had been
/// written. The entry node then sent no release and the key stayed claimed (at_most_once, seed 1500,
/// 120,000 ms).
#[gtest]
fn a_second_refusal_still_says_that_the_claim_may_be_written() {
    let zone: AvailabilityZone = "midrand".parse().expect("valid zone");
    let mut batcher = ClaimNode::new(BATCHER, zone.clone(), ClaimSettings::default());
    let now = TimeUs::from_s(1);
    batcher.set_members(&[ClaimMember { vm: BATCHER, zone }], now);
    batcher.tick(now);
    for request_id in read_request_ids(&batcher.take_effects()) {
        batcher.on_read_result(request_id, &empty_stream(), now);
    }
    let claim = ClaimId { holder: ENTRY, number: 1 };
    let request = ClaimMessage::ClaimRequest { key: ClaimKey([0; 16]), claim, key_age_ms: 0 };
    batcher.on_message(ENTRY, request, now);
    let append = append_request_id(&batcher.take_effects()).expect("the claim is appended");
    batcher.on_append_result(append, AppendResult::ResponseLost, now);
    for request_id in read_request_ids(&batcher.take_effects()) {
        batcher.on_read_result(request_id, &ReadResult::Unavailable, now);
    }
    expect_that!(may_be_written_flags(&batcher.take_effects()), elements_are![eq(&true)]);
    batcher.on_message(ENTRY, request, now.plus_ms(100));
    expect_that!(may_be_written_flags(&batcher.take_effects()), elements_are![eq(&true)]);
}
