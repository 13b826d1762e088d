//! Claim nodes in three zones, callers that send again, and the checks of at-most-once.

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
const TICK_STEPS: u64 = 5;
const STEPS_PER_100_S: u64 = 50_000;

/// Chances of faults; messages per thousand.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    pub loss: u64,
    pub doubling: u64,
    pub long_delay: u64,
    pub pause_per_100_s: u64,
    pub restart_per_100_s: u64,
    pub cut_per_100_s: u64,
    pub refused_by_target: u64,
    pub drift_ppm: i64,
    pub log: LogFaults,
    /// Callers that claim to have drawn every key just now.
    pub ages_hidden: bool,
    /// A second log that the first zone alone uses.
    pub forked_log: bool,
    /// Releases never reach a batcher.
    pub releases_lost: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Totals {
    pub sent: u64,
    pub won: u64,
    pub held: u64,
    pub not_run: u64,
    pub messages: u64,
    pub bytes: u64,
    pub runs_twice: u64,
    pub ran_after_not_run: u64,
    pub second_verdicts: u64,
    pub open: u64,
    pub stuck: u64,
    pub verdict_us: u64,
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
    offset_us: u64,
    clock_ppm: i64,
    paused_at: TimeUs,
    paused_until: TimeUs,
}

#[derive(Clone, Debug, Default)]
struct Call {
    drawn_at: TimeUs,
    runs: u64,
    attempts: u64,
    /// A node crashed that knew a claim of this key, so that the outcome may stay unknown.
    crashed: bool,
}

pub struct Fleet {
    pub now: TimeUs,
    pub totals: Totals,
    pub logs: Vec<SimLog>,
    pub calls_per_s: u64,
    pub resend_max: u64,
    pub measure_bytes: bool,
    nodes: Vec<SimNode>,
    queue: BTreeMap<(TimeUs, u64), (usize, Event)>,
    order: u64,
    rng: ChaCha8Rng,
    faults: Faults,
    settings: ClaimSettings,
    calls: BTreeMap<ClaimKey, Call>,
    claims: BTreeMap<ClaimId, (ClaimKey, TimeUs)>,
    refused: BTreeSet<ClaimId>,
    decided: BTreeSet<ClaimId>,
    cut: Option<(usize, TimeUs)>,
    again: BTreeMap<(TimeUs, u64), ClaimKey>,
}

impl Fleet {
    pub fn new(seed: u64, size: usize, settings: ClaimSettings, faults: Faults, retention_ms: u64) -> Self {
        let logs = (0..2).map(|_| SimLog::new(faults.log.clone(), retention_ms)).collect();
        let mut fleet = Self {
            now: TimeUs::from_s(1),
            totals: Totals::default(),
            logs,
            calls_per_s: 20,
            resend_max: 6,
            measure_bytes: false,
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            order: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults,
            settings,
            calls: BTreeMap::new(),
            claims: BTreeMap::new(),
            refused: BTreeSet::new(),
            decided: BTreeSet::new(),
            cut: None,
            again: BTreeMap::new(),
        };
        for place in 0..size {
            let node = fleet.start(place % 3);
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

    /// Ends all faults, lets releases be written, and sends every call again that has not run and
    /// was only ever refused. Those that still don't run count as stuck.
    pub fn settle(&mut self) {
        let Faults { drift_ppm, releases_lost, .. } = self.faults;
        self.faults = Faults { drift_ppm, releases_lost, ..Faults::default() };
        self.calls_per_s = 0;
        self.cut = None;
        self.logs.iter_mut().for_each(|log| log.faults = LogFaults::default());
        self.logs.iter_mut().for_each(|log| log.down_until = TimeUs(0));
        self.nodes.iter_mut().for_each(|node| node.paused_until = TimeUs(0));
        self.run_ms(8_000);
        let window_ms = self.settings.window_ms;
        let open: Vec<ClaimKey> = self
            .calls
            .iter()
            .filter(|(_, call)| call.runs == 0 && !call.crashed)
            .filter(|(_, call)| self.now.ms_since(call.drawn_at) + 5_000 < window_ms)
            .map(|(key, _)| *key)
            .collect();
        self.totals.open = open.len() as u64;
        for key in &open {
            let place = self.rng.random_range(0..self.nodes.len());
            self.send_call(*key, place);
        }
        self.run_ms(4_000);
        self.totals.stuck = open.iter().filter(|key| self.calls[*key].runs == 0).count() as u64;
    }

    pub fn key_count(&self) -> usize {
        self.nodes.iter().map(|node| node.node.key_count()).sum()
    }

    fn step(&mut self) {
        self.now = self.now.plus_us(STEP_US);
        self.bring_faults();
        self.logs.iter_mut().for_each(|log| log.tick(self.now));
        self.deliver();
        if self.rng.random_range(0..150) == 0 {
            self.update_views(false);
        }
        self.tick();
        self.offer();
    }

    fn start(&mut self, zone: usize) -> SimNode {
        let vm = VmId(self.rng.next_u64());
        let drift = self.faults.drift_ppm;
        SimNode {
            vm,
            zone,
            node: ClaimNode::new(vm, zone_name(zone), self.settings.clone()),
            started_at: self.now,
            offset_us: self.rng.random_range(0..1_000_000_000),
            clock_ppm: [-drift, 0, drift][self.rng.random_range(0..3)],
            paused_at: TimeUs(0),
            paused_until: TimeUs(0),
        }
    }

    fn local(&self, place: usize) -> TimeUs {
        let node = &self.nodes[place];
        let elapsed = self.now.us_since(node.started_at) as i64;
        TimeUs(node.offset_us + (elapsed + elapsed * node.clock_ppm / 1_000_000) as u64)
    }

    fn chance_per_100_s(&mut self, chance: u64) -> bool {
        self.rng.random_range(0..STEPS_PER_100_S) < chance
    }

    fn bring_faults(&mut self) {
        for place in 0..self.nodes.len() {
            if self.chance_per_100_s(self.faults.pause_per_100_s) {
                let pause_ms = [300, 3_000, 12_000, 120_000][self.rng.random_range(0..4)];
                self.nodes[place].paused_at = self.now;
                self.nodes[place].paused_until = self.now.plus_ms(pause_ms);
            }
            if self.chance_per_100_s(self.faults.restart_per_100_s) {
                self.note_crash(place);
                self.nodes[place] = self.start(self.nodes[place].zone);
            }
        }
        if self.chance_per_100_s(self.faults.cut_per_100_s) {
            let until = self.now.plus_ms(self.rng.random_range(500..10_000));
            self.cut = Some((self.rng.random_range(0..3), until));
        }
        self.cut = self.cut.filter(|(_, until)| self.now < *until);
        if self.chance_per_100_s(self.faults.log.outage_per_100_s) {
            let until = self.now.plus_ms([200, 2_000, 15_000][self.rng.random_range(0..3)]);
            self.logs.iter_mut().for_each(|log| log.down_until = until);
        }
    }

    fn note_crash(&mut self, place: usize) {
        let vm = self.nodes[place].vm;
        let mut again = Vec::new();
        for (claim, (key, _)) in self.claims.iter().filter(|(claim, _)| claim.holder == vm) {
            let call = self.calls.get_mut(key).expect("call of claim");
            call.crashed = true;
            if !self.decided.contains(claim) {
                again.push(*key);
            }
        }
        for key in again {
            self.schedule(key, 500);
        }
    }

    fn is_cut(&self, left: usize, right: usize) -> bool {
        left != right && self.cut.is_some_and(|(zone, _)| zone == left || zone == right)
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (place, event) = entry.remove();
            if self.now < self.nodes[place].paused_until {
                let at = self.nodes[place].paused_until;
                self.push(at, place, event);
                continue;
            }
            let local = self.local(place);
            let node = &mut self.nodes[place];
            match event {
                Event::Message { from, to, message } => {
                    if node.vm == to || self.rng.random_range(0..2) == 0 {
                        node.node.on_message(from, message, local);
                    }
                }
                Event::Appended { vm, request_id, result } if node.vm == vm => {
                    node.node.on_append_result(request_id, result, local);
                }
                Event::Read { vm, request_id, result } if node.vm == vm => {
                    node.node.on_read_result(request_id, &result, local)
                }
                Event::Appended { .. } | Event::Read { .. } => {}
            }
            self.collect(place);
        }
    }

    fn push(&mut self, at: TimeUs, place: usize, event: Event) {
        self.order += 1;
        self.queue.insert((at, self.order), (place, event));
    }

    fn update_views(&mut self, all: bool) {
        for place in 0..self.nodes.len() {
            if self.now < self.nodes[place].paused_until || !(all || self.rng.random_range(0..3) > 0) {
                continue;
            }
            let own_zone = self.nodes[place].zone;
            let sees = |node: &&SimNode| {
                let silent = self.now < node.paused_until && self.now.ms_since(node.paused_at) > 3_000;
                !silent && !self.is_cut(own_zone, node.zone)
            };
            let view: Vec<ClaimMember> = self
                .nodes
                .iter()
                .filter(sees)
                .map(|node| ClaimMember { vm: node.vm, zone: zone_name(node.zone) })
                .collect();
            let local = self.local(place);
            self.nodes[place].node.set_members(&view, local);
            self.collect(place);
        }
    }

    fn tick(&mut self) {
        let step = self.now.0 / STEP_US;
        for place in 0..self.nodes.len() {
            let due = (step + place as u64).is_multiple_of(TICK_STEPS);
            if due && self.now >= self.nodes[place].paused_until {
                let local = self.local(place);
                self.nodes[place].node.tick(local);
                self.collect(place);
            }
        }
    }

    fn offer(&mut self) {
        let new_calls = self.calls_per_s * STEP_US;
        let extra = self.rng.random_range(0..1_000_000) < new_calls % 1_000_000;
        for _ in 0..new_calls / 1_000_000 + u64::from(extra) {
            let key = ClaimKey(self.rng.random());
            self.calls.insert(key, Call { drawn_at: self.now, ..Call::default() });
            let place = self.rng.random_range(0..self.nodes.len());
            self.send_call(key, place);
            if self.rng.random_range(0..10) == 0 {
                let other = self.rng.random_range(0..self.nodes.len());
                self.send_call(key, other);
            }
        }
        while let Some(entry) = self.again.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let key = entry.remove();
            let place = self.rng.random_range(0..self.nodes.len());
            self.send_call(key, place);
        }
    }

    fn schedule(&mut self, key: ClaimKey, pause_ms: u64) {
        self.order += 1;
        self.again.insert((self.now.plus_ms(pause_ms), self.order), key);
    }

    fn send_call(&mut self, key: ClaimKey, place: usize) {
        let call = self.calls.get_mut(&key).expect("known call");
        call.attempts += 1;
        if self.now < self.nodes[place].paused_until {
            self.schedule(key, 500);
            return;
        }
        let age_ms = if self.faults.ages_hidden { 0 } else { self.now.ms_since(call.drawn_at) };
        self.totals.sent += 1;
        let local = self.local(place);
        let claim = self.nodes[place].node.begin_claim(key, age_ms, local);
        self.claims.insert(claim, (key, self.now));
        self.collect(place);
    }

    fn collect(&mut self, place: usize) {
        loop {
            let effects = self.nodes[place].node.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.carry_out(place, effect);
            }
        }
    }

    fn carry_out(&mut self, place: usize, effect: ClaimEffect) {
        let vm = self.nodes[place].vm;
        let log = usize::from(self.faults.forked_log && self.nodes[place].zone == 0);
        let at = self.now.plus_us(self.rng.random_range(1_000..8_000));
        match effect {
            ClaimEffect::Append { stream, records, request_id } => {
                let result = self.logs[log].append(stream, records, &mut self.rng, self.now);
                let silent = result == AppendResult::ResponseLost && self.rng.random_range(0..2) == 0;
                if !silent {
                    self.push(at, place, Event::Appended { vm, request_id, result });
                }
            }
            ClaimEffect::Read { stream, first_offset, request_id } => {
                let result = self.logs[log].read(stream, first_offset, &mut self.rng, self.now);
                self.push(at, place, Event::Read { vm, request_id, result });
            }
            ClaimEffect::Send { to, message } => self.send(place, to, message),
            ClaimEffect::Decided { claim, decision } => self.on_decision(place, claim, decision),
        }
    }

    fn send(&mut self, place: usize, to: VmId, message: ClaimMessage) {
        self.totals.messages += 1;
        if self.measure_bytes {
            let encoded = bincode::serde::encode_to_vec(message, bincode::config::standard());
            self.totals.bytes += encoded.expect("message encodes").len() as u64;
        }
        let from = self.nodes[place].vm;
        let Some(to_place) = self.nodes.iter().position(|node| node.vm == to) else { return };
        let release = matches!(message, ClaimMessage::ReleaseRequest { .. });
        let lost = self.rng.random_range(0..1_000) < self.faults.loss || (release && self.faults.releases_lost);
        if lost || self.is_cut(self.nodes[place].zone, self.nodes[to_place].zone) {
            return;
        }
        let copies = 1 + u64::from(self.rng.random_range(0..1_000) < self.faults.doubling);
        for _ in 0..copies {
            let late = self.rng.random_range(0..1_000) < self.faults.long_delay;
            let delay_us = if late { self.rng.random_range(0..6_000_000) } else { self.rng.random_range(200..1_500) };
            self.push(self.now.plus_us(delay_us), to_place, Event::Message { from, to, message });
        }
    }

    fn on_decision(&mut self, place: usize, claim: ClaimId, decision: ClaimDecision) {
        let (key, sent_at) = self.claims[&claim];
        self.totals.verdict_us += self.now.us_since(sent_at);
        self.totals.second_verdicts += u64::from(!self.decided.insert(claim));
        match decision {
            ClaimDecision::Won => self.run_call(place, claim, key),
            ClaimDecision::Held { .. } => self.totals.held += 1,
            ClaimDecision::NotRun(_) => {
                self.totals.not_run += 1;
                self.refused.insert(claim);
                self.send_again(key);
            }
        }
    }

    fn run_call(&mut self, place: usize, claim: ClaimId, key: ClaimKey) {
        self.totals.won += 1;
        self.totals.ran_after_not_run += u64::from(self.refused.contains(&claim));
        let refused = self.rng.random_range(0..1_000) < self.faults.refused_by_target;
        if refused {
            self.refused.insert(claim);
            let local = self.local(place);
            self.nodes[place].node.release_claim(claim, local);
            self.send_again(key);
            return;
        }
        let call = self.calls.get_mut(&key).expect("known call");
        call.runs += 1;
        self.totals.runs_twice += u64::from(call.runs > 1);
        if self.rng.random_range(0..10) == 0 {
            self.send_again(key);
        }
    }

    fn send_again(&mut self, key: ClaimKey) {
        let pause_ms = [100, 1_000, 5_000, 2 * self.settings.window_ms][self.rng.random_range(0..4)];
        if self.calls[&key].attempts < self.resend_max {
            self.schedule(key, pause_ms);
        }
    }
}

fn zone_name(index: usize) -> AvailabilityZone {
    ZONES[index].parse().expect("valid zone")
}
