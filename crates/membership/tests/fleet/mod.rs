//! Simulated fleet: nodes that exchange datagrams over a simulated network in virtual time.

#![allow(dead_code)]

pub mod invariants;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use fulmartrestle_core::{AvailabilityZone, TimeUs, VmId};
use fulmartrestle_membership::{
    Incarnation, JoinRecord, MemberRow, MemberState, Membership, MembershipMessage, MembershipSettings, MessageKind,
    Rumour,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Interval between ticks of the nodes, in milliseconds.
pub const TICK_MS: u64 = 50;
/// Number of datagrams per node in one tick above which the members are assumed to answer each other endlessly.
const MAX_DELIVERIES_PER_NODE: usize = 100;
/// Capacity of the socket buffer of a paused node, in datagrams.
const MAX_BUFFERED_DATAGRAMS: usize = 64;

/// Delay, loss, duplication and partitions of the simulated network.
#[derive(Clone, Debug)]
pub struct Network {
    /// Smallest and largest delay, in microseconds.
    pub delay_us: (u64, u64),
    pub loss_percent: u32,
    pub duplication_percent: u32,
    /// Pairs of zones that cannot reach each other, with the smaller number first.
    pub partitions: Vec<(usize, usize)>,
}

impl Default for Network {
    fn default() -> Self {
        Self { delay_us: (300, 1_500), loss_percent: 0, duplication_percent: 0, partitions: Vec::new() }
    }
}

pub struct Node {
    pub membership: Membership,
    pub zone: usize,
    pub address: SocketAddr,
    pub running: bool,
    pub paused_until: TimeUs,
    pub sent_bytes: u64,
    pub sent_datagrams: u64,
    receive_buffer: Vec<(SocketAddr, MembershipMessage)>,
}

/// Recorded input of one node, which can be replayed without the fleet.
pub struct Trace {
    pub node: usize,
    pub events: Vec<(TimeUs, TraceEvent)>,
}

pub enum TraceEvent {
    Tick,
    Datagram(SocketAddr, MembershipMessage),
}

struct Delivery {
    from: SocketAddr,
    from_zone: usize,
    to: usize,
    message: MembershipMessage,
}

/// A deliberate fault that the invariants have to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    None,
    /// Members never receive the suspicions and death notices about themselves.
    DropAccusations,
    /// Rows of other members arrive with an incremented incarnation.
    RaiseIncarnations,
}

pub struct Fleet {
    pub injected_fault: InjectedFault,
    pub nodes: Vec<Node>,
    pub now: TimeUs,
    pub network: Network,
    pub random: ChaCha8Rng,
    pub records: Vec<JoinRecord>,
    pub measure_bytes: bool,
    /// Description of the latest violation of a bound on the size or number of datagrams.
    pub bound_violation: Option<String>,
    pub trace: Option<Trace>,
    settings: MembershipSettings,
    queue: BTreeMap<(TimeUs, u64), Delivery>,
    sequence: u64,
}

impl Fleet {
    /// Starts `count` nodes in `zones` zones. Their directories contain only their own rows.
    pub fn new(count: usize, zones: usize, settings: MembershipSettings, seed: u64) -> Self {
        let mut fleet = Self {
            injected_fault: InjectedFault::None,
            nodes: Vec::new(),
            now: TimeUs::from_ms(1),
            network: Network::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            records: Vec::new(),
            measure_bytes: false,
            bound_violation: None,
            trace: None,
            settings,
            queue: BTreeMap::new(),
            sequence: 0,
        };
        for index in 0..count {
            let node = fleet.new_node(index, index % zones);
            fleet.nodes.push(node);
        }
        fleet
    }

    /// Starts a fleet whose nodes join through the join records of earlier ones, and runs it for 10 s.
    pub fn start_joined(count: usize, zones: usize, seed: u64) -> Self {
        let mut fleet = Self::new(count, zones, MembershipSettings::default(), seed);
        fleet.join_all();
        fleet.run_ms(10_000);
        fleet
    }

    /// Adds a node in `zone`, which does not join.
    pub fn add(&mut self, zone: usize) {
        let node = self.new_node(self.nodes.len(), zone);
        self.nodes.push(node);
    }

    pub fn join_all(&mut self) {
        for index in 0..self.nodes.len() {
            self.join(index);
        }
    }

    /// Makes a node read the join records, and append its own if that is due.
    pub fn join(&mut self, index: usize) {
        let now = self.now;
        self.nodes[index].membership.join(&self.records, now);
        self.append_join_record_if_due(index);
    }

    pub fn append_join_record_if_due(&mut self, index: usize) {
        let now = self.now;
        let membership = &mut self.nodes[index].membership;
        if membership.needs_join_record(now, 3_600_000) {
            self.records.push(membership.join_record());
            membership.mark_join_record_appended(now);
        }
    }

    fn new_node(&mut self, index: usize, zone: usize) -> Node {
        let address = address_of(index);
        let own = MemberRow {
            vm: VmId(self.random.random()),
            incarnation: Incarnation(0),
            zone: zone_name(zone),
            peer_address: address,
            state: MemberState::Alive,
            target: None,
        };
        let membership = Membership::new(own, self.settings.clone(), self.random.random());
        Node {
            membership,
            zone,
            address,
            running: true,
            paused_until: TimeUs::default(),
            sent_bytes: 0,
            sent_datagrams: 0,
            receive_buffer: Vec::new(),
        }
    }

    pub fn vm(&self, index: usize) -> VmId {
        self.nodes[index].membership.own_vm()
    }

    /// Returns the state of node `subject` in the directory of node `viewer`.
    pub fn observed_state(&self, viewer: usize, subject: usize) -> Option<MemberState> {
        self.nodes[viewer].membership.state(self.vm(subject))
    }

    pub fn crash(&mut self, index: usize) {
        self.nodes[index].running = false;
        self.nodes[index].receive_buffer.clear();
    }

    /// Replaces a node by a new member with an empty directory at the same address.
    pub fn restart(&mut self, index: usize) {
        let zone = self.nodes[index].zone;
        self.nodes[index] = self.new_node(index, zone);
        self.join(index);
    }

    pub fn pause(&mut self, index: usize, ms: u64) {
        self.nodes[index].paused_until = self.now.plus_ms(ms);
    }

    pub fn is_active(&self, index: usize) -> bool {
        self.nodes[index].running && self.nodes[index].paused_until <= self.now
    }

    pub fn run_ms(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.run_tick();
        }
    }

    /// Delivers the datagrams that arrive before the next tick, and then ticks all active nodes.
    pub fn run_tick(&mut self) {
        let end = self.now.plus_ms(TICK_MS);
        let mut deliveries = 0;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            deliveries += 1;
            if deliveries > self.nodes.len() * MAX_DELIVERIES_PER_NODE {
                self.bound_violation = Some(format!("more than {deliveries} datagrams in {TICK_MS} ms"));
                break;
            }
            let ((at, _), delivery) = entry.remove_entry();
            self.now = at;
            self.deliver(delivery);
        }
        self.now = end;
        for index in 0..self.nodes.len() {
            if self.is_active(index) {
                self.drain_receive_buffer(index);
                self.record(index, TraceEvent::Tick);
                self.nodes[index].membership.tick(end);
                self.send_all(index);
            }
        }
    }

    fn record(&mut self, index: usize, event: TraceEvent) {
        let now = self.now;
        if let Some(trace) = &mut self.trace
            && trace.node == index
        {
            trace.events.push((now, event));
        }
    }

    fn drain_receive_buffer(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        for (from, message) in std::mem::take(&mut node.receive_buffer) {
            node.membership.handle_message(from, message, now);
        }
    }

    fn deliver(&mut self, mut delivery: Delivery) {
        let to_zone = self.nodes[delivery.to].zone;
        if self.is_partitioned(delivery.from_zone, to_zone) || !self.nodes[delivery.to].running {
            return;
        }
        self.apply_fault(delivery.to, &mut delivery.message);
        if !self.is_active(delivery.to) {
            let receive_buffer = &mut self.nodes[delivery.to].receive_buffer;
            if receive_buffer.len() < MAX_BUFFERED_DATAGRAMS {
                receive_buffer.push((delivery.from, delivery.message));
            }
            return;
        }
        let now = self.now;
        if self.trace.is_some() {
            self.record(delivery.to, TraceEvent::Datagram(delivery.from, delivery.message.clone()));
        }
        self.nodes[delivery.to].membership.handle_message(delivery.from, delivery.message, now);
        self.send_all(delivery.to);
    }

    fn apply_fault(&self, to: usize, message: &mut MembershipMessage) {
        let vm = self.vm(to);
        match self.injected_fault {
            InjectedFault::None => {}
            InjectedFault::DropAccusations => {
                message.rumours.retain(|rumour| !matches!(rumour, Rumour::Delta(delta) if delta.vm == vm));
                if let MessageKind::SyncRows { dead, .. } = &mut message.kind {
                    dead.retain(|delta| delta.vm != vm);
                }
            }
            InjectedFault::RaiseIncarnations => {
                for rumour in &mut message.rumours {
                    if let Rumour::Row(row) = rumour
                        && row.vm != vm
                    {
                        row.incarnation.0 += 1;
                    }
                }
            }
        }
    }

    pub fn is_partitioned(&self, left: usize, right: usize) -> bool {
        left != right && self.network.partitions.contains(&(left.min(right), left.max(right)))
    }

    fn send_all(&mut self, index: usize) {
        let from = self.nodes[index].address;
        let from_zone = self.nodes[index].zone;
        for send in self.nodes[index].membership.take_outgoing() {
            if self.measure_bytes {
                self.measure(index, &send.message);
            }
            let Some(to) = index_of(send.to).filter(|to| *to < self.nodes.len()) else { continue };
            if self.is_partitioned(from_zone, self.nodes[to].zone) {
                continue;
            }
            if self.random.random_range(0..100) < self.network.duplication_percent {
                self.enqueue(from, from_zone, to, send.message.clone());
            }
            self.enqueue(from, from_zone, to, send.message);
        }
    }

    fn measure(&mut self, index: usize, message: &MembershipMessage) {
        let size_bytes = match message.encode() {
            Ok(bytes) => bytes.len(),
            Err(error) => {
                self.bound_violation = Some(format!("{error}: {message:?}"));
                return;
            }
        };
        if size_bytes > message.size_bytes() {
            self.bound_violation = Some(format!("{size_bytes} bytes exceed the computed bound: {message:?}"));
        }
        self.nodes[index].sent_bytes += size_bytes as u64 + 28;
        self.nodes[index].sent_datagrams += 1;
    }

    fn enqueue(&mut self, from: SocketAddr, from_zone: usize, to: usize, message: MembershipMessage) {
        if self.random.random_range(0..100) < self.network.loss_percent {
            return;
        }
        let (min_us, max_us) = self.network.delay_us;
        let at = self.now.plus_us(self.random.random_range(min_us..=max_us));
        self.sequence += 1;
        self.queue.insert((at, self.sequence), Delivery { from, from_zone, to, message });
    }
}

pub fn zone_name(zone: usize) -> AvailabilityZone {
    let name = format!("zone-{zone}");
    name.parse().unwrap_or_else(|error| panic!("{error}"))
}

fn address_of(index: usize) -> SocketAddr {
    SocketAddr::from(([10, (index >> 16) as u8, (index >> 8) as u8, index as u8], 7_000))
}

fn index_of(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(address) => {
            let [_, high, middle, low] = address.ip().octets();
            Some(usize::from(high) << 16 | usize::from(middle) << 8 | usize::from(low))
        }
        SocketAddr::V6(_) => None,
    }
}
