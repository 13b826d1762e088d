//! Measures memory, messages and CPU time of a node by number of members and tenants.
//!
//! Run it with `cargo run --release -p fulmartrestle-quota --example capacity`. Memory per node is the
//! growth of the resident set, as reported by Linux, divided by the number of cloned nodes.

use std::time::Instant;

use fulmartrestle_core::{AvailabilityZone, RatePerS, Tenant, TimeUs, Tokens, Version, VmId, rendezvous_score};
use fulmartrestle_quota::{
    QuotaConfig, QuotaMember, QuotaMessage, QuotaNode, QuotaSettings, QuotaShard, RateDecision, TenantRate,
};

const MEMBER_COUNTS: [usize; 5] = [50, 200, 1_000, 3_000, 7_100];
const TENANT_COUNTS: [usize; 4] = [8, 50, 200, 500];
const ZONES: [&str; 3] = ["milano", "verona", "brescia"];
const TICK_MS: u64 = 10;
const PAGE_BYTES: u64 = 4_096;

fn zone(index: usize) -> AvailabilityZone {
    ZONES[index].parse().expect("valid zone")
}

fn tenant(index: usize) -> Tenant {
    format!("tenant-{index}").parse().expect("valid tenant")
}

fn config(tenants: usize) -> QuotaConfig {
    let rate = |index| TenantRate { tenant: tenant(index), rate_per_s: RatePerS(900), burst: Tokens(900) };
    QuotaConfig { version: Version(1), zones: (0..3).map(zone).collect(), tenants: (0..tenants).map(rate).collect() }
}

/// Returns members, the first of which owns at least one shard of its zone.
fn members(count: usize) -> Vec<QuotaMember> {
    let mut members: Vec<QuotaMember> =
        (0..count).map(|index| QuotaMember { vm: VmId(index as u64 + 1), zone: zone(index % 3) }).collect();
    let role = format!("quota/{}/0", ZONES[0]);
    let other_members = members.iter().skip(1).filter(|member| member.zone == zone(0));
    let best_score = other_members.map(|member| rendezvous_score(&role, member.vm)).max().unwrap_or(0);
    let owner = (1_000_000..).map(VmId).find(|vm| rendezvous_score(&role, *vm) > best_score).expect("some id wins");
    members[0].vm = owner;
    members
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn bytes_per_clone(node: &QuotaNode, copies: usize) -> u64 {
    let before = resident_bytes();
    let clones: Vec<QuotaNode> = (0..copies).map(|_| node.clone()).collect();
    let growth_bytes = resident_bytes().saturating_sub(before);
    assert_eq!(clones.len(), copies);
    std::mem::forget(clones);
    growth_bytes / copies as u64
}

/// Messages, bytes and CPU time of an owner over a period of virtual time.
struct OwnerTraffic {
    messages: u64,
    bytes: u64,
    shards: usize,
    busy_us: u64,
}

/// Runs an owner over a period of virtual time. Its members acknowledge lease requests at once.
fn run_owner(node: &mut QuotaNode, from_s: u64, until_s: u64) -> OwnerTraffic {
    let mut traffic = OwnerTraffic { messages: 0, bytes: 0, shards: 0, busy_us: 0 };
    for step in from_s * 100..until_s * 100 {
        let now = TimeUs::from_ms(step * TICK_MS);
        let started = Instant::now();
        node.tick(now);
        for send in node.take_outgoing() {
            traffic.messages += 1;
            let encoded = bincode::serde::encode_to_vec(&send.message, bincode::config::standard());
            traffic.bytes += encoded.expect("message encodes").len() as u64;
            if let QuotaMessage::LeaseRequest { shard, seq, .. } = send.message {
                node.on_message(
                    send.to,
                    QuotaMessage::LeaseAck { shard, seq, recently_started: false, applied_version: Version(1) },
                    now,
                );
            }
        }
        traffic.busy_us += started.elapsed().as_micros() as u64;
        traffic.shards = node.lending_shards(now).len();
    }
    traffic
}

fn configured_node(members: &[QuotaMember], tenants: usize) -> QuotaNode {
    let mut node = QuotaNode::new(members[0].vm, zone(0), QuotaSettings::default());
    node.set_members(members, TimeUs::from_s(1));
    node.set_config(config(tenants), TimeUs::from_s(1));
    node
}

fn print_members() {
    println!("members  bytes/node  owner bytes  shards  owner msg/s  owner B/s  owner us/tick  set_members us");
    for count in MEMBER_COUNTS {
        let members = members(count);
        let mut node = configured_node(&members, 8);
        let copies = 40_000 / count + 20;
        let idle_bytes = bytes_per_clone(&node, copies);
        run_owner(&mut node, 1, 200);
        let owner_bytes = bytes_per_clone(&node, copies);
        let traffic = run_owner(&mut node, 200, 300);
        let joined = with_joined_member(&members);
        let started = Instant::now();
        node.set_members(&joined, TimeUs::from_s(300));
        println!(
            "{count:>7} {idle_bytes:>11} {owner_bytes:>12} {:>7} {:>12.1} {:>10.0} {:>14.1} {:>15}",
            traffic.shards,
            traffic.messages as f64 / 100.0,
            traffic.bytes as f64 / 100.0,
            traffic.busy_us as f64 / 10_000.0,
            started.elapsed().as_micros(),
        );
    }
}

fn with_joined_member(members: &[QuotaMember]) -> Vec<QuotaMember> {
    let mut more = members.to_vec();
    more.push(QuotaMember { vm: VmId(u64::MAX), zone: zone(0) });
    more
}

fn print_tenants() {
    println!("tenants  bytes/node  ns/admit  us/tick");
    for count in TENANT_COUNTS {
        let members = members(50);
        let mut node = configured_node(&members, count);
        let bytes = bytes_per_clone(&node, 200);
        run_owner(&mut node, 1, 20);
        let names: Vec<Tenant> = (0..count).map(tenant).collect();
        let now = TimeUs::from_s(22);
        let started = Instant::now();
        let calls = 200_000;
        let admitted = (0..calls)
            .filter(|call| node.admit(&names[call % count], now.plus_us(*call as u64)) == RateDecision::Admitted)
            .count();
        let admit_ns = started.elapsed().as_nanos() / calls as u128;
        node.take_outgoing();
        let started = Instant::now();
        for step in 0..1_000 {
            node.tick(now.plus_ms(step * TICK_MS));
        }
        let tick_us = started.elapsed().as_micros() as f64 / 1_000.0;
        println!("{count:>7} {bytes:>11} {admit_ns:>9} {tick_us:>8.1}   ({admitted} of {calls} admitted)");
    }
}

fn main() {
    println!("shards per zone: {}", QuotaShard::all().count());
    print_members();
    print_tenants();
}
