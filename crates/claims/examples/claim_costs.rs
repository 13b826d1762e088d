//! Measures appends, messages, bytes and memory of claims by claim rate and fleet size.
//!
//! Run it with `cargo run --release -p fulmartrestle-claims --example claim_costs`. Simulations use
//! virtual time. Memory is the growth of the resident set, as reported by Linux.

#[path = "../tests/support/mod.rs"]
mod support;

use fulmartrestle_claims::{
    ClaimBatch, ClaimEffect, ClaimId, ClaimKey, ClaimMember, ClaimNode, ClaimRecord, ClaimSettings, ClaimStream,
    ReadPage, ReadResult,
};
use fulmartrestle_core::{LogOffset, TimeUs, VmId};
use support::{Faults, Fleet};

const DURATION_S: u64 = 20;
const PAGE_BYTES: u64 = 4_096;

fn print_rates() {
    println!("nodes  claims/s  appends/s  records/append  log B/s  messages/claim  B/claim  mean decision ms");
    for (nodes, claims_per_s) in [(9, 5), (9, 50), (9, 500), (9, 2_000), (48, 500), (150, 500)] {
        let mut fleet = Fleet::new(1, nodes, ClaimSettings::default(), Faults::default(), 3_600_000);
        fleet.calls_per_s = claims_per_s;
        fleet.max_resends = 0;
        fleet.measure_bytes = true;
        fleet.run_ms(DURATION_S * 1_000);
        let log = &fleet.logs[0];
        let totals = &fleet.totals;
        let sent = totals.sent.max(1) as f64;
        println!(
            "{nodes:>5} {claims_per_s:>9} {:>10.1} {:>15.1} {:>8.0} {:>15.2} {:>8.1} {:>17.1}",
            log.appends as f64 / DURATION_S as f64,
            log.records as f64 / log.appends.max(1) as f64,
            log.bytes as f64 / DURATION_S as f64,
            totals.messages as f64 / sent,
            totals.bytes as f64 / sent,
            totals.decision_us as f64 / 1_000.0 / sent,
        );
    }
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Returns the growth of memory, in bytes, when a batcher reads a stream of `claims` records.
fn batcher_bytes(claims: u64) -> u64 {
    let own = VmId(1);
    let zone: fulmartrestle_core::AvailabilityZone = "midrand".parse().expect("valid zone");
    let mut node = ClaimNode::new(own, zone.clone(), ClaimSettings::default());
    node.set_members(&[ClaimMember { vm: own, zone }], TimeUs::from_s(1));
    node.tick(TimeUs::from_s(1));
    let reads: Vec<_> = node.take_effects();
    let records = (0..claims).map(|number| {
        let mut bytes = u128::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835).to_le_bytes();
        bytes[0] = 0;
        ClaimRecord::Claim { key: ClaimKey(bytes), claim: ClaimId { holder: VmId(2), number } }
    });
    let batches = vec![ClaimBatch { offset: LogOffset(0), records: records.collect() }];
    let page = ReadPage { batches, end_offset: LogOffset(1), trimmed_before: LogOffset(0) };
    let result = ReadResult::Page(page);
    let before = resident_bytes();
    for effect in reads {
        if let ClaimEffect::Read { stream: ClaimStream(0), request_id, .. } = effect {
            node.on_read_result(request_id, &result, TimeUs::from_s(1));
        }
    }
    let growth_bytes = resident_bytes().saturating_sub(before);
    assert_eq!(node.key_count() as u64, claims);
    std::mem::forget(node);
    growth_bytes
}

fn print_memory() {
    println!("claims in window  batcher bytes  bytes/claim");
    for claims in [50_000, 200_000, 1_000_000] {
        let bytes = batcher_bytes(claims);
        println!("{claims:>16} {bytes:>14} {:>12.1}", bytes as f64 / claims as f64);
    }
}

fn main() {
    print_rates();
    print_memory();
}
