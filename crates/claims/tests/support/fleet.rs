//! A simulated fleet of claim nodes in three zones with callers that retry, which counts violations of
//! at-most-once execution.

use std::collections::{BTreeMap, BTreeSet};

use fulmartrestle_claims::{
    AppendResult, ClaimDecision, ClaimEffect, ClaimId, ClaimKey, ClaimMember, ClaimMessage, ClaimNode, ClaimSettings,
    LogRequestId, ReadResult,
};
use fulmartrestle_core::{AvailabilityZone, TimeUs, VmId};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{LogFaults, SimLog};

pub const ZONES: [&str; 3] = ["midrand", "pretoria", "sandton"];
const STEP_US: u64 = 2_000;
const STEPS_PER_TICK: u64 = 5;
const STEPS_PER_100_S: u64 = 50_000;

/// Fault probabilities and clock drift. Probabilities without a unit in their name are per thousand
/// messages or calls.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    pub loss: u64,
    pub duplication: u64,
    pub long_delay: u64,
    pub pause_per_100_s: u64,
    pub restart_per_100_s: u64,
    pub partition_per_100_s: u64,
    pub refused_by_target: u64,
    pub drift_ppm: i64,
    pub log: LogFaults,
    /// Callers report an age of zero for every key.
    pub hide_key_ages: bool,
    /// The nodes of the first zone use a separate log.
    pub forked_log: bool,
    /// Release requests never reach a batcher of another node.
    pub drop_releases: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Totals {
    pub sent: u64,
    pub won: u64,
    pub held: u64,
    pub not_run: u64,
    pub messages: u64,
    pub bytes: u64,
    pub ran_twice: u64,
    pub ran_after_not_run: u64,
    pub duplicate_decisions: u64,
    pub unresolved: u64,
    pub stuck: u64,
    pub decision_us: u64,
}

enum Event {
    Message { from: VmId, to: VmId, message: ClaimMessage },
    Appended { vm: VmId, request_id: LogRequestId, result: AppendResult },
    Read { vm: VmId, request_id: LogRequestId, result: ReadResult },
}

struct SimNode {
    vm: VmId,
    zone: usize,
    node: ClaimNode,
    started_at: TimeUs,
    clock_offset_us: u64,
    clock_ppm: i64,
    paused_at: TimeUs,
    paused_until: TimeUs,
}

#[derive(Clone, Debug, Default)]
struct Call {
    key_created_at: TimeUs,
    runs: u64,
    attempts: u64,
    /// A node that held a claim of this key has crashed, so the outcome may remain unknown.
    crashed: bool,
}

pub struct Fleet {
    pub now: TimeUs,
    pub totals: Totals,
    pub logs: Vec<SimLog>,
    pub calls_per_s: u64,
    pub max_resends: u64,
    pub measure_bytes: bool,
    nodes: Vec<SimNode>,
    queue: BTreeMap<(TimeUs, u64), (usize, Event)>,
    next_order: u64,
    rng: ChaCha8Rng,
    faults: Faults,
    settings: ClaimSettings,
    calls: BTreeMap<ClaimKey, Call>,
    claims: BTreeMap<ClaimId, (ClaimKey, TimeUs)>,
    refused_claims: BTreeSet<ClaimId>,
    decided_claims: BTreeSet<ClaimId>,
    partition: Option<(usize, TimeUs)>,
    scheduled_resends: BTreeMap<(TimeUs, u64), ClaimKey>,
}

impl Fleet {
    pub fn new(seed: u64, size: usize, settings: ClaimSettings, faults: Faults, retention_ms: u64) -> Self {
        let logs = (0..2).map(|_| SimLog::new(faults.log.clone(), retention_ms)).collect();
        let mut fleet = Self {
            now: TimeUs::from_s(1),
            totals: Totals::default(),
            logs,
            calls_per_s: 20,
            max_resends: 6,
            measure_bytes: false,
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            next_order: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults,
            settings,
            calls: BTreeMap::new(),
            claims: BTreeMap::new(),
            refused_claims: BTreeSet::new(),
            decided_claims: BTreeSet::new(),
            partition: None,
            scheduled_resends: BTreeMap::new(),
        };
        for node_index in 0..size {
            let node = fleet.start(node_index % 3);
            fleet.nodes.push(node);
        }
        fleet.update_views(true);
        fleet
    }

    pub fn run_ms(&mut self, ms: u64) {
        for _ in 0..ms * 1_000 / STEP_US {
            self.step();
        }
    }

    /// Ends all faults but clock drift and dropped releases, waits until releases are written, and
    /// sends every call again that has not run and whose key is within the window. Calls that still do
    /// not run count as stuck.
    pub fn end_faults_and_settle(&mut self) {
        let Faults { drift_ppm, drop_releases, .. } = self.faults;
        self.faults = Faults { drift_ppm, drop_releases, ..Faults::default() };
        self.calls_per_s = 0;
        self.partition = None;
        self.logs.iter_mut().for_each(|log| log.faults = LogFaults::default());
        self.logs.iter_mut().for_each(|log| log.down_until = TimeUs(0));
        self.nodes.iter_mut().for_each(|node| node.paused_until = TimeUs(0));
        self.run_ms(8_000);
        let window_ms = self.settings.window_ms;
        let unresolved: Vec<ClaimKey> = self
            .calls
            .iter()
            .filter(|(_, call)| call.runs == 0 && !call.crashed)
            .filter(|(_, call)| self.now.ms_since(call.key_created_at) + 5_000 < window_ms)
            .map(|(key, _)| *key)
            .collect();
        self.totals.unresolved = unresolved.len() as u64;
        for key in &unresolved {
            let node_index = self.rng.random_range(0..self.nodes.len());
            self.send_call(*key, node_index);
        }
        self.run_ms(4_000);
        self.totals.stuck = unresolved.iter().filter(|key| self.calls[*key].runs == 0).count() as u64;
    }

    pub fn key_count(&self) -> usize {
        self.nodes.iter().map(|node| node.node.key_count()).sum()
    }

    fn step(&mut self) {
        self.now = self.now.plus_us(STEP_US);
        self.inject_faults();
        self.logs.iter_mut().for_each(|log| log.tick(self.now));
        self.deliver();
        if self.rng.random_range(0..150) == 0 {
            self.update_views(false);
        }
        self.tick();
        self.send_new_calls();
    }

    fn start(&mut self, zone: usize) -> SimNode {
        let vm = VmId(self.rng.next_u64());
        let drift = self.faults.drift_ppm;
        SimNode {
            vm,
            zone,
            node: ClaimNode::new(vm, zone_name(zone), self.settings.clone()),
            started_at: self.now,
            clock_offset_us: self.rng.random_range(0..1_000_000_000),
            clock_ppm: [-drift, 0, drift][self.rng.random_range(0..3)],
            paused_at: TimeUs(0),
            paused_until: TimeUs(0),
        }
    }

    fn local_time(&self, node_index: usize) -> TimeUs {
        let node = &self.nodes[node_index];
        let elapsed = self.now.us_since(node.started_at) as i64;
        TimeUs(node.clock_offset_us + (elapsed + elapsed * node.clock_ppm / 1_000_000) as u64)
    }

    fn chance_per_100_s(&mut self, chance: u64) -> bool {
        self.rng.random_range(0..STEPS_PER_100_S) < chance
    }

    fn inject_faults(&mut self) {
        for node_index in 0..self.nodes.len() {
            if self.chance_per_100_s(self.faults.pause_per_100_s) {
                let pause_ms = [300, 3_000, 12_000, 120_000][self.rng.random_range(0..4)];
                self.nodes[node_index].paused_at = self.now;
                self.nodes[node_index].paused_until = self.now.plus_ms(pause_ms);
            }
            if self.chance_per_100_s(self.faults.restart_per_100_s) {
                self.record_crash(node_index);
                self.nodes[node_index] = self.start(self.nodes[node_index].zone);
            }
        }
        if self.chance_per_100_s(self.faults.partition_per_100_s) {
            let until = self.now.plus_ms(self.rng.random_range(500..10_000));
            self.partition = Some((self.rng.random_range(0..3), until));
        }
        self.partition = self.partition.filter(|(_, until)| self.now < *until);
        if self.chance_per_100_s(self.faults.log.outage_per_100_s) {
            let until = self.now.plus_ms([200, 2_000, 15_000][self.rng.random_range(0..3)]);
            self.logs.iter_mut().for_each(|log| log.down_until = until);
        }
    }

    fn record_crash(&mut self, node_index: usize) {
        let vm = self.nodes[node_index].vm;
        let mut resends = Vec::new();
        for (claim, (key, _)) in self.claims.iter().filter(|(claim, _)| claim.holder == vm) {
            let call = self.calls.get_mut(key).expect("call of claim");
            call.crashed = true;
            if !self.decided_claims.contains(claim) {
                resends.push(*key);
            }
        }
        for key in resends {
            self.schedule_resend(key, 500);
        }
    }

    fn is_partitioned(&self, zone_a: usize, zone_b: usize) -> bool {
        zone_a != zone_b && self.partition.is_some_and(|(zone, _)| zone == zone_a || zone == zone_b)
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (node_index, event) = entry.remove();
            if self.now < self.nodes[node_index].paused_until {
                let deliver_at = self.nodes[node_index].paused_until;
                self.schedule_event(deliver_at, node_index, event);
                continue;
            }
            let local_now = self.local_time(node_index);
            let node = &mut self.nodes[node_index];
            match event {
                Event::Message { from, to, message } => {
                    if node.vm == to || self.rng.random_range(0..2) == 0 {
                        node.node.on_message(from, message, local_now);
                    }
                }
                Event::Appended { vm, request_id, result } if node.vm == vm => {
                    node.node.on_append_result(request_id, result, local_now);
                }
                Event::Read { vm, request_id, result } if node.vm == vm => {
                    node.node.on_read_result(request_id, &result, local_now)
                }
                Event::Appended { .. } | Event::Read { .. } => {}
            }
            self.dispatch_effects(node_index);
        }
    }

    fn schedule_event(&mut self, deliver_at: TimeUs, node_index: usize, event: Event) {
        self.next_order += 1;
        self.queue.insert((deliver_at, self.next_order), (node_index, event));
    }

    fn update_views(&mut self, all: bool) {
        for node_index in 0..self.nodes.len() {
            if self.now < self.nodes[node_index].paused_until || !(all || self.rng.random_range(0..3) > 0) {
                continue;
            }
            let own_zone = self.nodes[node_index].zone;
            let is_visible = |node: &&SimNode| {
                let is_silent = self.now < node.paused_until && self.now.ms_since(node.paused_at) > 3_000;
                !is_silent && !self.is_partitioned(own_zone, node.zone)
            };
            let view: Vec<ClaimMember> = self
                .nodes
                .iter()
                .filter(is_visible)
                .map(|node| ClaimMember { vm: node.vm, zone: zone_name(node.zone) })
                .collect();
            let local_now = self.local_time(node_index);
            self.nodes[node_index].node.set_members(&view, local_now);
            self.dispatch_effects(node_index);
        }
    }

    fn tick(&mut self) {
        let step = self.now.0 / STEP_US;
        for node_index in 0..self.nodes.len() {
            let due = (step + node_index as u64).is_multiple_of(STEPS_PER_TICK);
            if due && self.now >= self.nodes[node_index].paused_until {
                let local_now = self.local_time(node_index);
                self.nodes[node_index].node.tick(local_now);
                self.dispatch_effects(node_index);
            }
        }
    }

    fn send_new_calls(&mut self) {
        let new_calls = self.calls_per_s * STEP_US;
        let has_extra_call = self.rng.random_range(0..1_000_000) < new_calls % 1_000_000;
        for _ in 0..new_calls / 1_000_000 + u64::from(has_extra_call) {
            let key = ClaimKey(self.rng.random());
            self.calls.insert(key, Call { key_created_at: self.now, ..Call::default() });
            let node_index = self.rng.random_range(0..self.nodes.len());
            self.send_call(key, node_index);
            if self.rng.random_range(0..10) == 0 {
                let other = self.rng.random_range(0..self.nodes.len());
                self.send_call(key, other);
            }
        }
        while let Some(entry) = self.scheduled_resends.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let key = entry.remove();
            let node_index = self.rng.random_range(0..self.nodes.len());
            self.send_call(key, node_index);
        }
    }

    fn schedule_resend(&mut self, key: ClaimKey, pause_ms: u64) {
        self.next_order += 1;
        self.scheduled_resends.insert((self.now.plus_ms(pause_ms), self.next_order), key);
    }

    fn send_call(&mut self, key: ClaimKey, node_index: usize) {
        let call = self.calls.get_mut(&key).expect("known call");
        call.attempts += 1;
        if self.now < self.nodes[node_index].paused_until {
            self.schedule_resend(key, 500);
            return;
        }
        let age_ms = if self.faults.hide_key_ages { 0 } else { self.now.ms_since(call.key_created_at) };
        self.totals.sent += 1;
        let local_now = self.local_time(node_index);
        let claim = self.nodes[node_index].node.begin_claim(key, age_ms, local_now);
        self.claims.insert(claim, (key, self.now));
        self.dispatch_effects(node_index);
    }

    fn dispatch_effects(&mut self, node_index: usize) {
        loop {
            let effects = self.nodes[node_index].node.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.execute_effect(node_index, effect);
            }
        }
    }

    fn execute_effect(&mut self, node_index: usize, effect: ClaimEffect) {
        let vm = self.nodes[node_index].vm;
        let log = usize::from(self.faults.forked_log && self.nodes[node_index].zone == 0);
        let deliver_at = self.now.plus_us(self.rng.random_range(1_000..8_000));
        match effect {
            ClaimEffect::Append { stream, records, request_id } => {
                let result = self.logs[log].append(stream, records, &mut self.rng, self.now);
                let response_dropped = result == AppendResult::ResponseLost && self.rng.random_range(0..2) == 0;
                if !response_dropped {
                    self.schedule_event(deliver_at, node_index, Event::Appended { vm, request_id, result });
                }
            }
            ClaimEffect::Read { stream, first_offset, request_id } => {
                let result = self.logs[log].read(stream, first_offset, &mut self.rng, self.now);
                self.schedule_event(deliver_at, node_index, Event::Read { vm, request_id, result });
            }
            ClaimEffect::Send { to, message } => self.send(node_index, to, message),
            ClaimEffect::Decided { claim, decision } => self.on_decision(node_index, claim, decision),
        }
    }

    fn send(&mut self, node_index: usize, to: VmId, message: ClaimMessage) {
        self.totals.messages += 1;
        if self.measure_bytes {
            let encoded = bincode::serde::encode_to_vec(message, bincode::config::standard());
            self.totals.bytes += encoded.expect("message encodes").len() as u64;
        }
        let from = self.nodes[node_index].vm;
        let Some(to_index) = self.nodes.iter().position(|node| node.vm == to) else { return };
        let is_release = matches!(message, ClaimMessage::ReleaseRequest { .. });
        let lost = self.rng.random_range(0..1_000) < self.faults.loss || (is_release && self.faults.drop_releases);
        if lost || self.is_partitioned(self.nodes[node_index].zone, self.nodes[to_index].zone) {
            return;
        }
        let copies = 1 + u64::from(self.rng.random_range(0..1_000) < self.faults.duplication);
        for _ in 0..copies {
            let late = self.rng.random_range(0..1_000) < self.faults.long_delay;
            let delay_us = if late { self.rng.random_range(0..6_000_000) } else { self.rng.random_range(200..1_500) };
            self.schedule_event(self.now.plus_us(delay_us), to_index, Event::Message { from, to, message });
        }
    }

    fn on_decision(&mut self, node_index: usize, claim: ClaimId, decision: ClaimDecision) {
        let (key, sent_at) = self.claims[&claim];
        self.totals.decision_us += self.now.us_since(sent_at);
        self.totals.duplicate_decisions += u64::from(!self.decided_claims.insert(claim));
        match decision {
            ClaimDecision::Won => self.run_call(node_index, claim, key),
            ClaimDecision::Held { .. } => self.totals.held += 1,
            ClaimDecision::NotRun(_) => {
                self.totals.not_run += 1;
                self.refused_claims.insert(claim);
                self.maybe_resend(key);
            }
        }
    }

    fn run_call(&mut self, node_index: usize, claim: ClaimId, key: ClaimKey) {
        self.totals.won += 1;
        self.totals.ran_after_not_run += u64::from(self.refused_claims.contains(&claim));
        let refused = self.rng.random_range(0..1_000) < self.faults.refused_by_target;
        if refused {
            self.refused_claims.insert(claim);
            let local_now = self.local_time(node_index);
            self.nodes[node_index].node.release_claim(claim, local_now);
            self.maybe_resend(key);
            return;
        }
        let call = self.calls.get_mut(&key).expect("known call");
        call.runs += 1;
        self.totals.ran_twice += u64::from(call.runs > 1);
        if self.rng.random_range(0..10) == 0 {
            self.maybe_resend(key);
        }
    }

    fn maybe_resend(&mut self, key: ClaimKey) {
        let pause_ms = [100, 1_000, 5_000, 2 * self.settings.window_ms][self.rng.random_range(0..4)];
        if self.calls[&key].attempts < self.max_resends {
            self.schedule_resend(key, pause_ms);
        }
    }
}

fn zone_name(index: usize) -> AvailabilityZone {
    ZONES[index].parse().expect("valid zone")
}
