//! Measures traffic, activation time and memory of configuration propagation in virtual time, for a fleet of the given
//! number of members in nine zones.
//!
//! ```text
//! cargo run --release -p fulmartrestle-config --example config_propagation -- 800
//! ```

mod support;

use std::time::Instant;

use fulmartrestle_config::fleet::{FleetConfig, KeyHash, KeyId};
use fulmartrestle_config::plan::{Change, IntentChange, Plan};
use fulmartrestle_config::propagation::{
    ConfigEffect, ConfigMember, ConfigMessage, ConfigNode, ConfigNodeSettings, LogRequestId, ReadResult,
};
use fulmartrestle_config::replica::LogRecord;
use fulmartrestle_core::{LogOffset, TimeUs, Version, VmId};
use support::{
    NOW_UNIX_MS, create_plan_for, encoded_len, id, key_row, ns_per_call, resident_bytes, secret, tenant_row,
};

/// Overhead of a message, in bytes: IP and UDP headers and the sender's envelope.
const ENVELOPE_BYTES: usize = 48;
const ZONE_COUNT: u64 = 9;

const DEFAULT_MEMBERS: u64 = 800;

fn members(count: u64) -> Vec<ConfigMember> {
    (1..=count).map(|vm| ConfigMember { vm: VmId(vm), zone: id(&format!("zone-{}", vm % ZONE_COUNT)) }).collect()
}

/// Traffic and log reads of one node.
#[derive(Clone, Copy, Default)]
struct Traffic {
    sent_bytes: usize,
    received_bytes: usize,
    reads: usize,
}

/// A simulated fleet without faults. Messages take 1 ms, and requests to the log 3 ms each way.
struct Fleet {
    now: TimeUs,
    nodes: Vec<ConfigNode>,
    traffic: Vec<Traffic>,
    scheduled: std::collections::BTreeMap<TimeUs, Vec<Event>>,
    records: Vec<Vec<u8>>,
    cpu_ns: u128,
}

enum Event {
    Message { from: VmId, to: VmId, message: ConfigMessage },
    Read { index: usize, request_id: LogRequestId, from: LogOffset },
    ReadResponse { index: usize, request_id: LogRequestId, result: ReadResult },
}

impl Fleet {
    fn new(count: u64) -> Self {
        let all = members(count);
        let start = |own: &ConfigMember| {
            let settings =
                ConfigNodeSettings { local_member: own.clone(), log_retention_ms: 86_400_000, seed: own.vm.0 };
            let mut node = ConfigNode::new(settings, TimeUs(0));
            node.set_members(&all);
            node
        };
        Self {
            now: TimeUs(0),
            nodes: all.iter().map(start).collect(),
            traffic: vec![Traffic::default(); all.len()],
            scheduled: std::collections::BTreeMap::new(),
            records: Vec::new(),
            cpu_ns: 0,
        }
    }

    fn run_ms(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now = self.now.plus_ms(1);
            while let Some(entry) = self.scheduled.first_entry().filter(|entry| *entry.key() <= self.now) {
                entry.remove().into_iter().for_each(|event| self.deliver(event));
            }
            // Nodes tick every 100 ms, evenly distributed over that interval.
            let phase = (self.now.0 / 1_000) as usize % 100;
            for index in (phase..self.nodes.len()).step_by(100) {
                let now = self.now;
                let start = Instant::now();
                let effects = self.nodes[index].tick(now, NOW_UNIX_MS);
                self.cpu_ns += start.elapsed().as_nanos();
                self.perform(index, effects);
            }
        }
    }

    fn perform(&mut self, index: usize, effects: Vec<ConfigEffect>) {
        for effect in effects {
            match effect {
                ConfigEffect::Send { to, message } => {
                    let bytes = encoded_len(&message) + ENVELOPE_BYTES;
                    self.traffic[index].sent_bytes += bytes;
                    self.traffic[to.0 as usize - 1].received_bytes += bytes;
                    let event = Event::Message { from: VmId(index as u64 + 1), to, message };
                    self.schedule(1, event);
                }
                ConfigEffect::ReadLog { request_id, from } => {
                    self.traffic[index].reads += 1;
                    self.schedule(3, Event::Read { index, request_id, from });
                }
                ConfigEffect::Append { .. } | ConfigEffect::NewConfig(_) | ConfigEffect::ConfirmCompleted { .. } => {}
            }
        }
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.scheduled.entry(self.now.plus_ms(delay_ms)).or_default().push(event);
    }

    fn deliver(&mut self, event: Event) {
        let start = Instant::now();
        let (index, effects) = match event {
            Event::Message { from, to, message } => {
                let index = to.0 as usize - 1;
                (index, self.nodes[index].on_message(self.now, from, message))
            }
            Event::ReadResponse { index, request_id, result } => {
                (index, self.nodes[index].on_read_result(self.now, request_id, result))
            }
            Event::Read { index, request_id, from } => {
                let records = self.records.iter().skip(from.0 as usize).cloned().collect();
                let end = LogOffset(self.records.len() as u64);
                let result = ReadResult::Records { from, records, end };
                return self.schedule(3, Event::ReadResponse { index, request_id, result });
            }
        };
        self.cpu_ns += start.elapsed().as_nanos();
        self.perform(index, effects);
    }

    /// Commits a change and returns the time until it is active on every node, in milliseconds.
    fn commit_change(&mut self, round: u64) -> u64 {
        self.commit(IntentChange::SetTenant(tenant_row(0, round)), round as u8)
    }

    /// Withdraws a key and returns the time until every node rejects it, in milliseconds.
    fn withdraw_key(&mut self, index: usize) -> u64 {
        let hash = KeyHash::from_key(&secret(index));
        let plan = self.plan(IntentChange::WithdrawKey(KeyId::from_hash(&hash)), index as u8);
        self.records.push(LogRecord::Confirm(plan).encode());
        let start = self.now;
        while self.nodes.iter().any(|node| node.config().is_none_or(|config| config.tenant_for_hash(&hash).is_some())) {
            self.run_ms(1);
        }
        self.now.ms_since(start)
    }

    fn plan(&self, change: IntentChange, random: u8) -> Plan {
        // Based on the latest version of any node, since a plan based on an older version could conflict.
        let latest = self.nodes.iter().max_by_key(|node| node.replica().applied_offset()).unwrap();
        create_plan_for(latest.replica().config().unwrap(), change, random)
    }

    fn commit(&mut self, change: IntentChange, random: u8) -> u64 {
        let plan = self.plan(change, random);
        self.records.push(LogRecord::Confirm(plan).encode());
        let (start, version) = (self.now, Version(self.records.len() as u64));
        while self.nodes.iter().any(|node| node.config().is_none_or(|config| config.version() < version)) {
            self.run_ms(1);
        }
        self.now.ms_since(start)
    }
}

fn measure_propagation(count: u64) {
    println!("# propagation in virtual time: 9 zones, no faults, 30 s idle, then 10 changes, one each 6.6 s");
    println!(
        "# members idle_max_B_per_s idle_mean_B_per_s busy_max_B_per_s busy_mean_B_per_s log_reads_per_s \
         in_force_mean_ms in_force_max_ms withdrawn_mean_ms withdrawn_max_ms cpu_us_per_node_s set_members_us memory_B_per_node"
    );
    let resident_before = resident_bytes();
    let mut fleet = Fleet::new(count);
    let mut first = create_plan_for(&FleetConfig::default(), IntentChange::SetTenant(tenant_row(0, 1)), 1);
    first.writes.extend((0..10).map(|index| Change::PutKey(key_row(index, 1))));
    first.id = first.expected_id();
    fleet.records.push(LogRecord::Confirm(first).encode());
    fleet.run_ms(90_000);
    let idle = fleet.measure_traffic(30, |fleet| fleet.run_ms(30_000));
    let mut times = Vec::new();
    fleet.cpu_ns = 0;
    let begin = fleet.now;
    let busy = fleet.measure_traffic(66, |fleet| {
        for round in 0..10 {
            let start = fleet.now;
            times.push(fleet.commit_change(round + 2));
            fleet.run_ms(6_600_u64.saturating_sub(fleet.now.ms_since(start)));
        }
    });
    let mut withdrawals = Vec::new();
    let seconds = u128::from(fleet.now.ms_since(begin) / 1_000);
    let cpu_us = fleet.cpu_ns / 1_000 / u128::from(count) / seconds;
    for index in 0..10 {
        withdrawals.push(fleet.withdraw_key(index));
        fleet.run_ms(1_700);
    }
    let memory_bytes = (resident_bytes() - resident_before) as u64 / count;
    let all = members(count);
    let members_ns = ns_per_call(3, |_| fleet.nodes[0].set_members(&all));
    println!(
        "{count:6} {:8} {:8} {:8} {:8} {:6.1} {:6} {:6} {:6} {:6} {cpu_us:6} {:8} {memory_bytes:8}",
        idle.max,
        idle.mean,
        busy.max,
        busy.mean,
        busy.reads_per_s,
        times.iter().sum::<u64>() / times.len() as u64,
        times.iter().max().copied().unwrap_or_default(),
        withdrawals.iter().sum::<u64>() / withdrawals.len() as u64,
        withdrawals.iter().max().copied().unwrap_or_default(),
        members_ns / 1_000,
    );
}

struct Summary {
    max: usize,
    mean: usize,
    reads_per_s: f64,
}

impl Fleet {
    /// Returns the bytes sent and received per node and second while `run` runs for `seconds` of virtual time.
    fn measure_traffic(&mut self, seconds: usize, run: impl FnOnce(&mut Self)) -> Summary {
        self.traffic = vec![Traffic::default(); self.nodes.len()];
        run(self);
        let bytes = |traffic: &Traffic| (traffic.sent_bytes + traffic.received_bytes) / seconds;
        let total: usize = self.traffic.iter().map(bytes).sum();
        let reads: usize = self.traffic.iter().map(|traffic| traffic.reads).sum();
        Summary {
            max: self.traffic.iter().map(bytes).max().unwrap_or_default(),
            mean: total / self.nodes.len(),
            reads_per_s: reads as f64 / seconds as f64,
        }
    }
}

fn main() {
    let count = std::env::args().nth(1).and_then(|count| count.parse().ok());
    measure_propagation(count.unwrap_or(DEFAULT_MEMBERS));
}
