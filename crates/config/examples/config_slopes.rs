//! Measures what configuration costs, at several sizes: bytes in memory and on the wire, time to
//! look up and to certify, and the traffic of its spread.
//!
//! ```text
//! cargo run --release -p fulmartrestle-config --example config_slopes           # rows and times
//! cargo run --release -p fulmartrestle-config --example config_slopes -- 800    # spread, 800 members
//! ```

use std::hint::black_box;
use std::time::Instant;

use fulmartrestle_config::fleet::{FleetConfig, KeyHash, KeyId, KeyRow, OperatorName, RouteRow, TenantRow, Weight};
use fulmartrestle_config::plan::{Change, FleetFacts, Intent, IntentChange, Plan, PlanRequest, TimeZones, plan};
use fulmartrestle_config::replica::{LogRecord, Replica};
use fulmartrestle_config::spread::{
    ConfigEffect, ConfigMember, ConfigMessage, ConfigNode, ConfigNodeSettings, LogTicket, ReadResult,
};
use fulmartrestle_core::{Class, LogOffset, RatePerS, TimeUs, Tokens, Version, VmId};

/// What a datagram or stream frame adds to a message, in bytes: IP, UDP and the sender's envelope.
const ENVELOPE_BYTES: usize = 48;
const ZONE_COUNT: u64 = 9;
const NOW_UNIX_MS: i64 = 1_772_366_400_000;

static TIME_ZONES: std::sync::OnceLock<TimeZones> = std::sync::OnceLock::new();

fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

fn tenant_row(index: usize, rate: u64) -> TenantRow {
    let tenant = id(&format!("tenant-{index:05}"));
    TenantRow { tenant, rate_per_s: RatePerS(rate), burst: Tokens(50), weight: Weight(1) }
}

fn route_row(index: usize) -> RouteRow {
    RouteRow {
        route: id(&format!("route-{index:05}")),
        path_prefix: format!("/service-{}/resource-{index:05}", index % 280),
        service: id(&format!("service-{}", index % 280)),
        class: Class::Lookup,
        at_most_once: false,
        open_to_all: false,
        tenants: None,
        chain: (1..4).map(|step| id(&format!("service-{}", (index + step) % 280))).collect(),
        timeout_ms: 1_000,
        retryable: true,
    }
}

fn key_row(index: usize, tenants: usize) -> KeyRow {
    let hash = KeyHash::of(&secret(index));
    KeyRow { hash, key_id: KeyId::of(&hash), tenant: id(&format!("tenant-{:05}", index % tenants)), withdrawn: false }
}

fn secret(index: usize) -> String {
    format!("fk_{index:064x}")
}

#[derive(Clone, Copy)]
struct Size {
    tenants: usize,
    routes: usize,
    keys: usize,
}

fn config(size: Size) -> FleetConfig {
    let tenants = (0..size.tenants).map(|index| Change::PutTenant(tenant_row(index, 100)));
    let routes = (0..size.routes).map(|index| Change::PutRoute(route_row(index)));
    let keys = (0..size.keys).map(|index| Change::PutKey(key_row(index, size.tenants)));
    FleetConfig::from_changes(Version(0), &tenants.chain(routes).chain(keys).collect::<Vec<_>>())
}

fn encoded_len(value: &impl serde::Serialize) -> usize {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).unwrap().len()
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kib| kib.parse::<usize>().ok()).unwrap_or_default() * 1024
}

/// Nanoseconds per call, the least of five rounds.
fn ns_per_call(count: usize, mut call: impl FnMut(usize)) -> u128 {
    let rounds = (0..5).map(|_| {
        let start = Instant::now();
        (0..count).for_each(&mut call);
        start.elapsed().as_nanos() / count as u128
    });
    rounds.min().unwrap_or_default()
}

fn measure_sizes() {
    println!("# bytes per row: growth of resident memory over 200,000 rows, and encoded size");
    let before = resident_bytes();
    let tenants: Vec<_> = (0..200_000).map(|index| tenant_row(index, 100)).collect();
    let after_tenants = resident_bytes();
    let routes: Vec<_> = (0..200_000).map(route_row).collect();
    let after_routes = resident_bytes();
    let keys: Vec<_> = (0..200_000).map(|index| key_row(index, 500)).collect();
    let after_keys = resident_bytes();
    println!("tenant memory_B={} wire_B={}", (after_tenants - before) / 200_000, encoded_len(&tenants[7]));
    println!("route  memory_B={} wire_B={}", (after_routes - after_tenants) / 200_000, encoded_len(&routes[7]));
    println!("key    memory_B={} wire_B={}", (after_keys - after_routes) / 200_000, encoded_len(&keys[7]));
    black_box((tenants, routes, keys));
}

fn plan_of(config: &FleetConfig, change: IntentChange, random: u8) -> Plan {
    let intent = Intent { why: "a change of one row for the measurement".to_owned(), changes: vec![change] };
    let request = PlanRequest {
        who: &id::<OperatorName>("ada"),
        facts: &FleetFacts::default(),
        time_zones: TIME_ZONES.get_or_init(TimeZones::from_system),
        now_unix_ms: NOW_UNIX_MS,
        random: [random; 32],
    };
    plan(config, &intent, &request).unwrap().plan
}

fn replica_with(size: Size) -> Replica {
    let mut replica = Replica::default();
    replica.on_first_retained(LogOffset(0));
    let mut snapshot = replica.snapshot().unwrap();
    snapshot.next_offset = LogOffset(1);
    snapshot.config = config(size);
    let mut replica = Replica::default();
    replica.adopt(snapshot);
    replica
}

/// A replica's own memory: its history of decided plans, full.
fn measure_history() {
    let mut replica = replica_with(Size { tenants: 8, routes: 10, keys: 10 });
    for round in 0..1_024 {
        let base = replica.config().unwrap().clone();
        let change = IntentChange::SetTenant(tenant_row(round % 8, round as u64));
        replica.apply_record(replica.next_offset(), &LogRecord::Confirm(plan_of(&base, change, round as u8)));
    }
    let before = resident_bytes();
    let copies: Vec<_> = (0..100).map(|_| replica.clone()).collect();
    let history_bytes = (resident_bytes() - before) / 100;
    println!("history of 1,024 plans memory_B={history_bytes}, per plan {}", history_bytes / 1_024);
    black_box(copies);
}

fn measure_time() {
    println!("# time per operation, least of five rounds");
    println!("# tenants routes keys key_lookup_ns route_lookup_ns certify_us snapshot_B snapshot_ms");
    let sizes = [
        Size { tenants: 8, routes: 10, keys: 10 },
        Size { tenants: 50, routes: 100, keys: 500 },
        Size { tenants: 200, routes: 500, keys: 4_000 },
        Size { tenants: 500, routes: 2_000, keys: 20_000 },
    ];
    for size in sizes {
        let mut replica = replica_with(size);
        let config = replica.config().unwrap().clone();
        let secrets: Vec<_> = (0..size.keys).map(secret).collect();
        let key_ns = ns_per_call(20_000, |index| {
            black_box(config.tenant_for_key(&secrets[index % size.keys]));
        });
        let paths: Vec<_> = (0..size.routes).map(|index| format!("{}/17/part", route_row(index).path_prefix)).collect();
        let route_ns = ns_per_call(20_000, |index| {
            black_box(config.route_for(&paths[index % size.routes]));
        });
        // The history is full after 1,024 plans; the time is that of the last 200.
        let mut spent_ns = 0;
        for round in 0..1_300 {
            let tenant = tenant_row(round % size.tenants, round as u64);
            let base = replica.config().unwrap().clone();
            let record = LogRecord::Confirm(plan_of(&base, IntentChange::SetTenant(tenant), round as u8));
            let start = Instant::now();
            replica.apply_record(replica.next_offset(), &record);
            if round >= 1_100 {
                spent_ns += start.elapsed().as_nanos();
            }
        }
        let start = Instant::now();
        let parts = replica.snapshot().unwrap().parts(0);
        let snapshot_ms = start.elapsed().as_micros() as f64 / 1_000.0;
        let snapshot_bytes: usize = parts.iter().map(|part| part.bytes.len()).sum();
        let Size { tenants, routes, keys } = size;
        let certify_us = spent_ns as f64 / 200_000.0;
        println!(
            "{tenants:5} {routes:6} {keys:6} {key_ns:6} {route_ns:6} {certify_us:9.1} {snapshot_bytes:10} {snapshot_ms:8.2}"
        );
    }
    let base = config(sizes[1]);
    let one = plan_of(&base, IntentChange::SetTenant(tenant_row(1, 7)), 1);
    let key = plan_of(&base, IntentChange::WithdrawKey(KeyId::of(&KeyHash::of(&secret(1)))), 1);
    println!("# plan on the wire: one tenant {} B, one key withdrawn {} B", encoded_len(&one), encoded_len(&key));
}

fn members(count: u64) -> Vec<ConfigMember> {
    (1..=count).map(|vm| ConfigMember { vm: VmId(vm), zone: id(&format!("zone-{}", vm % ZONE_COUNT)) }).collect()
}

/// Bytes and messages that one node sends and receives, by role.
#[derive(Clone, Copy, Default)]
struct Traffic {
    sent_bytes: usize,
    received_bytes: usize,
    reads: usize,
}

/// A fleet without faults: messages take 1 ms, the log 3 ms each way.
struct Fleet {
    now: TimeUs,
    nodes: Vec<ConfigNode>,
    traffic: Vec<Traffic>,
    due: std::collections::BTreeMap<TimeUs, Vec<Event>>,
    records: Vec<Vec<u8>>,
    cpu_ns: u128,
}

enum Event {
    Message { from: VmId, to: VmId, message: ConfigMessage },
    Read { index: usize, ticket: LogTicket, from: LogOffset },
    Answer { index: usize, ticket: LogTicket, result: ReadResult },
}

impl Fleet {
    fn new(count: u64) -> Self {
        let all = members(count);
        let start = |own: &ConfigMember| {
            let settings = ConfigNodeSettings { own: own.clone(), log_retention_ms: 86_400_000, seed: own.vm.0 };
            let mut node = ConfigNode::new(settings, TimeUs(0));
            node.set_members(&all);
            node
        };
        Self {
            now: TimeUs(0),
            nodes: all.iter().map(start).collect(),
            traffic: vec![Traffic::default(); all.len()],
            due: std::collections::BTreeMap::new(),
            records: Vec::new(),
            cpu_ns: 0,
        }
    }

    fn run_ms(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now = self.now.plus_ms(1);
            while let Some(entry) = self.due.first_entry().filter(|entry| *entry.key() <= self.now) {
                entry.remove().into_iter().for_each(|event| self.deliver(event));
            }
            // Nodes tick every 100 ms, spread over the time in between.
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
                ConfigEffect::ReadLog { ticket, from } => {
                    self.traffic[index].reads += 1;
                    self.schedule(3, Event::Read { index, ticket, from });
                }
                ConfigEffect::Append { .. } | ConfigEffect::NewConfig(_) | ConfigEffect::Settled { .. } => {}
            }
        }
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.due.entry(self.now.plus_ms(delay_ms)).or_default().push(event);
    }

    fn deliver(&mut self, event: Event) {
        let start = Instant::now();
        let (index, effects) = match event {
            Event::Message { from, to, message } => {
                let index = to.0 as usize - 1;
                (index, self.nodes[index].on_message(self.now, from, message))
            }
            Event::Answer { index, ticket, result } => {
                (index, self.nodes[index].on_read_result(self.now, ticket, result))
            }
            Event::Read { index, ticket, from } => {
                let records = self.records.iter().skip(from.0 as usize).cloned().collect();
                let end = LogOffset(self.records.len() as u64);
                let result = ReadResult::Records { from, records, end };
                return self.schedule(3, Event::Answer { index, ticket, result });
            }
        };
        self.cpu_ns += start.elapsed().as_nanos();
        self.perform(index, effects);
    }

    /// Commits a change and returns the time until it is in force on every node.
    fn change(&mut self, round: u64) -> u64 {
        self.commit(IntentChange::SetTenant(tenant_row(0, round)), round as u8)
    }

    /// Withdraws a key and returns the time until it has stopped on every node.
    fn withdraw(&mut self, index: usize) -> u64 {
        let hash = KeyHash::of(&secret(index));
        let plan = self.plan(IntentChange::WithdrawKey(KeyId::of(&hash)), index as u8);
        self.records.push(LogRecord::Confirm(plan).encode());
        let start = self.now;
        while self.nodes.iter().any(|node| node.config().is_none_or(|config| config.tenant_for_hash(&hash).is_some())) {
            self.run_ms(1);
        }
        self.now.ms_since(start)
    }

    fn plan(&self, change: IntentChange, random: u8) -> Plan {
        // The log's end, not a node's view: a plan from an older version could lose.
        let tail = self.nodes.iter().max_by_key(|node| node.replica().applied_offset()).unwrap();
        plan_of(tail.replica().config().unwrap(), change, random)
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

fn measure_spread(count: u64) {
    println!("# spread in virtual time: 9 zones, no faults, 30 s idle, then 10 changes, one each 6.6 s");
    println!(
        "# members idle_max_B_per_s idle_mean_B_per_s busy_max_B_per_s busy_mean_B_per_s log_reads_per_s \
         in_force_mean_ms in_force_max_ms withdrawn_mean_ms withdrawn_max_ms cpu_us_per_node_s set_members_us memory_B_per_node"
    );
    let resident_before = resident_bytes();
    let mut fleet = Fleet::new(count);
    let mut first = plan_of(&FleetConfig::default(), IntentChange::SetTenant(tenant_row(0, 1)), 1);
    first.writes.extend((0..10).map(|index| Change::PutKey(key_row(index, 1))));
    first.id = first.expected_id();
    fleet.records.push(LogRecord::Confirm(first).encode());
    fleet.run_ms(90_000);
    let idle = fleet.traffic_over(30, |fleet| fleet.run_ms(30_000));
    let mut times = Vec::new();
    fleet.cpu_ns = 0;
    let begin = fleet.now;
    let busy = fleet.traffic_over(66, |fleet| {
        for round in 0..10 {
            let start = fleet.now;
            times.push(fleet.change(round + 2));
            fleet.run_ms(6_600_u64.saturating_sub(fleet.now.ms_since(start)));
        }
    });
    let mut withdrawals = Vec::new();
    let seconds = u128::from(fleet.now.ms_since(begin) / 1_000);
    let cpu_us = fleet.cpu_ns / 1_000 / u128::from(count) / seconds;
    for index in 0..10 {
        withdrawals.push(fleet.withdraw(index));
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
    /// Bytes sent and received per node and second while `run` takes `seconds`.
    fn traffic_over(&mut self, seconds: usize, run: impl FnOnce(&mut Self)) -> Summary {
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
    match std::env::args().nth(1).and_then(|count| count.parse().ok()) {
        Some(count) => measure_spread(count),
        None => {
            measure_sizes();
            measure_history();
            measure_time();
        }
    }
}
