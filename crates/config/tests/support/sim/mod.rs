//! Simulation of nodes in virtual time, with message loss, partitions, restarts and failures of the log.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use fulmartrestle_config::plan::{Plan, PlanId};
use fulmartrestle_config::propagation::{
    AppendResult, ConfigEffect, ConfigMember, ConfigMessage, ConfigNode, ConfigNodeSettings, ConfirmOutcome,
    LogRequestId, ReadResult,
};
use fulmartrestle_config::replica::{CertificationResult, LogRecord, Replica};
use fulmartrestle_core::{LogOffset, TimeUs, Version, VmId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

mod checks;

use super::NOW_UNIX_MS;
use super::fake_log::FakeLog;

pub const ZONES: [&str; 3] = ["brescia", "milano", "verona"];
const STEP_MS: u64 = 10;
const TICK_MS: u64 = 100;
const RETENTION_MS: u64 = 300_000;
const LOG_DELAY_MS: u64 = 3;

/// Bugs injected into the simulation to show that the checks detect them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InjectedBug {
    /// One node reads records that differ from those in the log.
    ReadsCorruptRecords,
    /// One node returns to an older version.
    RevertsToOldVersion,
    /// A restarted node serves before it has reached the end of the log.
    ServesBeforeLogEnd,
    /// A confirmation is reported as committed whatever its certification result.
    ReportsWrongOutcome,
    /// A record is written although its append is reported as not written.
    WritesFailedAppend,
    /// One node stops processing messages and log results.
    StopsUpdating,
    /// One node checks keys against an old configuration.
    AcceptsOldKeys,
}

enum Event {
    Message { from: VmId, to: VmId, message: ConfigMessage },
    Read { vm: VmId, request_id: LogRequestId, from: LogOffset },
    ReadResponse { vm: VmId, request_id: LogRequestId, result: ReadResult },
    Append { vm: VmId, request_id: LogRequestId, record: Vec<u8> },
    AppendResponse { vm: VmId, request_id: LogRequestId, result: AppendResult },
    LateWrite { record: Vec<u8> },
}

pub struct SimNode {
    pub node: ConfigNode,
    pub member: ConfigMember,
    pub paused_until: TimeUs,
    restarts: u64,
    /// Version served last since the node's start.
    version_in_run: Version,
    /// Highest version served before or after any restart.
    highest_version: Version,
    log_lost_since_start: bool,
    deferred: Vec<Event>,
}

pub struct Sim {
    pub now: TimeUs,
    pub nodes: Vec<SimNode>,
    pub log_is_down: bool,
    /// Zones without a connection to the log.
    pub log_partitioned: [bool; 3],
    /// Zones without a connection to other zones.
    pub zone_partitioned: [bool; 3],
    pub lossy: bool,
    /// Whether all messages between nodes are lost.
    pub drop_all_messages: bool,
    /// One-way delay between nodes and the log, in milliseconds.
    pub log_delay_ms: u64,
    /// Number of further appends whose responses are lost.
    pub lost_appends: u32,
    pub injected_bug: Option<InjectedBug>,
    pub outcomes: BTreeMap<PlanId, ConfirmOutcome>,
    log: FakeLog,
    retention_ms: u64,
    queue: BinaryHeap<Reverse<(TimeUs, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    rng: ChaCha8Rng,
    seed: u64,
    /// State of the first node after five seconds, for the injected bugs.
    early_state: Option<ConfigNode>,
}

impl Sim {
    pub fn new(seed: u64, node_count: usize, first: &Plan) -> Self {
        Self::with_retention(seed, node_count, first, RETENTION_MS)
    }

    pub fn with_retention(seed: u64, node_count: usize, first: &Plan, retention_ms: u64) -> Self {
        let mut sim = Self {
            now: TimeUs(0),
            nodes: Vec::new(),
            log_is_down: false,
            log_partitioned: [false; 3],
            zone_partitioned: [false; 3],
            lossy: false,
            drop_all_messages: false,
            log_delay_ms: LOG_DELAY_MS,
            lost_appends: 0,
            injected_bug: None,
            outcomes: BTreeMap::new(),
            log: FakeLog::default(),
            retention_ms,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            seed,
            early_state: None,
        };
        sim.log.write(TimeUs(0), LogRecord::Confirm(first.clone()).encode());
        for index in 0..node_count {
            let member = ConfigMember { vm: VmId(index as u64 + 1), zone: super::id(ZONES[index % 3]) };
            let sim_node = sim.start_node(member, index as u64, 0);
            sim.nodes.push(sim_node);
        }
        sim.update_members();
        sim
    }

    fn start_node(&self, member: ConfigMember, index: u64, restarts: u64) -> SimNode {
        let settings = ConfigNodeSettings {
            local_member: member.clone(),
            log_retention_ms: self.retention_ms as i64,
            seed: self.seed.wrapping_mul(1_000).wrapping_add(index + 100 * restarts),
        };
        SimNode {
            node: ConfigNode::new(settings, self.now),
            member,
            paused_until: TimeUs(0),
            restarts,
            version_in_run: Version(0),
            highest_version: Version(0),
            log_lost_since_start: false,
            deferred: Vec::new(),
        }
    }

    fn update_members(&mut self) {
        let members: Vec<_> = self.nodes.iter().map(|sim_node| sim_node.member.clone()).collect();
        self.nodes.iter_mut().for_each(|sim_node| sim_node.node.set_members(&members));
    }

    /// Replaces a node by one without state and with a new id.
    pub fn restart(&mut self, index: usize) {
        let old = &self.nodes[index];
        let (restarts, highest) = (old.restarts + 1, old.highest_version);
        let vm = VmId(index as u64 + 1 + 1_000 * restarts);
        let member = ConfigMember { vm, zone: old.member.zone.clone() };
        let mut sim_node = self.start_node(member, index as u64, restarts);
        sim_node.highest_version = highest;
        if self.injected_bug == Some(InjectedBug::ServesBeforeLogEnd)
            && let Some(early_state) = &self.early_state
        {
            sim_node.node.clone_from(early_state);
        }
        self.nodes[index] = sim_node;
        self.update_members();
    }

    pub fn pause(&mut self, index: usize, ms: u64) {
        self.nodes[index].paused_until = self.now.plus_ms(ms);
    }

    pub fn clear_faults(&mut self) {
        self.log_is_down = false;
        self.log_partitioned = [false; 3];
        self.zone_partitioned = [false; 3];
        self.lost_appends = 0;
        self.lossy = false;
        self.drop_all_messages = false;
        self.log_delay_ms = LOG_DELAY_MS;
        let now = self.now;
        self.nodes.iter_mut().for_each(|sim_node| sim_node.paused_until = now);
    }

    pub fn confirm(&mut self, index: usize, plan: &Plan) {
        let effects = self.nodes[index].node.confirm(self.now, plan);
        self.apply_effects(index, effects);
    }

    pub fn request_status(&mut self, index: usize) {
        let effects = self.nodes[index].node.request_status();
        self.apply_effects(index, effects);
    }

    pub fn reference(&self) -> &Replica {
        &self.log.reference
    }

    /// Runs for `ms` milliseconds and checks the invariants after every step.
    pub fn run_ms(&mut self, ms: u64) -> Result<(), String> {
        let end = self.now.plus_ms(ms);
        while self.now < end {
            self.step()?;
        }
        Ok(())
    }

    pub fn step(&mut self) -> Result<(), String> {
        self.now = self.now.plus_ms(STEP_MS);
        self.log.trim(self.now, self.retention_ms);
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > self.now {
                break;
            }
            self.queue.pop();
            if let Some(event) = self.events.remove(&id) {
                self.deliver(event);
            }
        }
        if self.now.0.is_multiple_of(TICK_MS * 1_000) {
            (0..self.nodes.len()).for_each(|index| self.tick(index));
        }
        (0..self.nodes.len()).try_for_each(|index| self.check_node(index))?;
        self.check_outcomes()
    }

    fn tick(&mut self, index: usize) {
        if self.nodes[index].paused_until > self.now {
            return;
        }
        for event in std::mem::take(&mut self.nodes[index].deferred) {
            self.deliver(event);
        }
        let now_unix_ms = NOW_UNIX_MS + (self.now.0 / 1_000) as i64;
        let zone = self.zone_of(index);
        let sim_node = &mut self.nodes[index];
        sim_node.log_lost_since_start |= self.log_is_down || self.log_partitioned[zone];
        let effects = sim_node.node.tick(self.now, now_unix_ms);
        self.apply_effects(index, effects);
    }

    fn zone_of(&self, index: usize) -> usize {
        index % 3
    }

    fn index_of(&self, vm: VmId) -> Option<usize> {
        let index = ((vm.0 - 1) % 1_000) as usize;
        (self.nodes[index].member.vm == vm).then_some(index)
    }

    fn apply_effects(&mut self, index: usize, effects: Vec<ConfigEffect>) {
        let vm = self.nodes[index].member.vm;
        for effect in effects {
            match effect {
                ConfigEffect::ReadLog { request_id, from } => {
                    self.schedule(self.log_delay_ms, Event::Read { vm, request_id, from });
                }
                ConfigEffect::Append { request_id, record } => {
                    self.schedule(self.log_delay_ms, Event::Append { vm, request_id, record });
                }
                ConfigEffect::Send { to, message } => self.send(vm, to, message),
                ConfigEffect::NewConfig(_) => {}
                ConfigEffect::ConfirmCompleted { plan, outcome } => self.record_outcome(plan, outcome),
            }
        }
    }

    fn record_outcome(&mut self, plan: PlanId, outcome: ConfirmOutcome) {
        let reported = match (self.injected_bug, outcome) {
            (Some(InjectedBug::ReportsWrongOutcome), ConfirmOutcome::Decided(_)) => {
                ConfirmOutcome::Decided(CertificationResult::Committed { version: Version(1) })
            }
            _ => outcome,
        };
        self.outcomes.insert(plan, reported);
    }

    fn send(&mut self, from: VmId, to: VmId, message: ConfigMessage) {
        let draw: u32 = self.rng.random_range(0..100);
        let copies = match draw {
            _ if self.drop_all_messages => 0,
            0..5 if self.lossy => 0,
            5..8 if self.lossy => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let is_late = self.lossy && self.rng.random_ratio(1, 20);
            let delay_ms = self.rng.random_range(if is_late { 0..800 } else { 1..3 });
            self.schedule(delay_ms, Event::Message { from, to, message: message.clone() });
        }
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.next_event += 1;
        self.queue.push(Reverse((self.now.plus_ms(delay_ms), self.next_event)));
        self.events.insert(self.next_event, event);
    }

    fn deliver(&mut self, event: Event) {
        let vm = match &event {
            Event::Read { vm, .. } | Event::Append { vm, .. } => return self.handle_log_request(*vm, event),
            Event::LateWrite { record } => {
                self.log.write(self.now, record.clone());
                return;
            }
            Event::Message { to, .. } => *to,
            Event::ReadResponse { vm, .. } | Event::AppendResponse { vm, .. } => *vm,
        };
        let Some(index) = self.index_of(vm) else { return };
        if self.nodes[index].paused_until > self.now {
            self.nodes[index].deferred.push(event);
            return;
        }
        if self.injected_bug == Some(InjectedBug::StopsUpdating) && index == 0 {
            return;
        }
        let now = self.now;
        let node = &mut self.nodes[index].node;
        let effects = match event {
            Event::Message { from, message, .. } => {
                if self.is_partitioned(from, vm) {
                    return;
                }
                self.nodes[index].node.on_message(now, from, message)
            }
            Event::ReadResponse { request_id, result, .. } => node.on_read_result(now, request_id, result),
            Event::AppendResponse { request_id, result, .. } => node.on_append_result(now, request_id, result),
            Event::Read { .. } | Event::Append { .. } | Event::LateWrite { .. } => return,
        };
        self.apply_effects(index, effects);
    }

    fn is_partitioned(&self, from: VmId, to: VmId) -> bool {
        let zone = |vm: VmId| ((vm.0 - 1) % 1_000) as usize % 3;
        let (from, to) = (zone(from), zone(to));
        from != to && (self.zone_partitioned[from] || self.zone_partitioned[to])
    }

    fn handle_log_request(&mut self, vm: VmId, event: Event) {
        let zone = ((vm.0 - 1) % 1_000) as usize % 3;
        let is_reachable = !self.log_is_down && !self.log_partitioned[zone];
        match event {
            Event::Read { request_id, from, .. } => {
                let result = if is_reachable { self.read(vm, from) } else { ReadResult::Unavailable };
                self.schedule(self.log_delay_ms, Event::ReadResponse { vm, request_id, result });
            }
            Event::Append { request_id, record, .. } => {
                let result = self.append(is_reachable, record);
                self.schedule(self.log_delay_ms, Event::AppendResponse { vm, request_id, result });
            }
            _ => {}
        }
    }

    fn read(&self, vm: VmId, from: LogOffset) -> ReadResult {
        let mut result = self.log.read(from);
        if let ReadResult::Records { records, .. } = &mut result
            && self.injected_bug == Some(InjectedBug::ReadsCorruptRecords)
            && vm == VmId(1)
        {
            records.iter_mut().for_each(|record| record[0] = 0);
        }
        result
    }

    fn append(&mut self, is_reachable: bool, record: Vec<u8>) -> AppendResult {
        if !is_reachable {
            if self.injected_bug == Some(InjectedBug::WritesFailedAppend) {
                self.log.write(self.now, record);
            }
            return AppendResult::NotAppended;
        }
        if self.lost_appends == 0 {
            return AppendResult::Appended(self.log.write(self.now, record));
        }
        self.lost_appends -= 1;
        // The response is lost. The record is written now, later or never.
        match self.rng.random_range(0..3) {
            0 => _ = self.log.write(self.now, record),
            1 => self.schedule(1_000, Event::LateWrite { record }),
            _ => {}
        }
        AppendResult::Unknown
    }

    /// Runs until `is_done` returns true and returns the time it took, in milliseconds. Fails after `max_ms`.
    pub fn run_until(&mut self, max_ms: u64, is_done: impl Fn(&Self) -> bool) -> Result<u64, String> {
        let start = self.now;
        while !is_done(self) {
            if self.now.ms_since(start) >= max_ms {
                return Err(format!("not done after {max_ms} ms"));
            }
            self.step()?;
        }
        Ok(self.now.ms_since(start))
    }
}
