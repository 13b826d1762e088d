//! A simulated fleet of quota nodes in three zones, with a message queue and fault injection.

use std::collections::BTreeMap;

use fulmartrestle_core::{AvailabilityZone, RatePerS, Tenant, TimeUs, Tokens, Version, VmId};
use fulmartrestle_quota::{
    OutgoingMessage, QuotaConfig, QuotaMember, QuotaMessage, QuotaNode, QuotaSettings, RateDecision, TenantRate,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::RateMeter;

pub const ZONES: [&str; 3] = ["milano", "verona", "brescia"];
const STEP_US: u64 = 1_000;
const STEPS_PER_TICK: u64 = 10;

/// Fault probabilities and clock drift. Probabilities without a unit in their name are per thousand
/// messages or views.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    pub loss: u64,
    pub duplication: u64,
    pub long_delay: u64,
    pub pause_per_100_s: u64,
    pub restart_per_10_000_s: u64,
    pub partition_per_100_s: u64,
    pub omit_member: u64,
    pub drift_ppm: i64,
    pub all_clocks_fast: bool,
    pub slow_first_zone: bool,
    /// Confirmations of every version are injected although no zone has applied it.
    pub false_confirmations: bool,
}

/// Offered load of one tenant, in requests per second for each zone.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    pub per_s: [u64; 3],
}

struct Waiter {
    tenant: Tenant,
    arrived_local: TimeUs,
    next_attempt_at: TimeUs,
}

struct SimNode {
    vm: VmId,
    zone: usize,
    node: QuotaNode,
    clock_offset_us: u64,
    clock_ppm: i64,
    paused_at: TimeUs,
    paused_until: TimeUs,
    started_at: TimeUs,
    received_version: u64,
    waiters: Vec<Waiter>,
    view: Vec<QuotaMember>,
}

struct Delivery {
    from: VmId,
    to_index: usize,
    to: VmId,
    message: QuotaMessage,
}

/// Counters of one simulation.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    pub offered: u64,
    pub admitted: u64,
    pub refused: u64,
    pub messages: u64,
    pub bytes: u64,
    pub violations: u64,
    /// Requests that a single central bucket would refuse without waiting.
    pub over_rate: u64,
    pub wait_us: u64,
}

pub struct Fleet {
    pub now: TimeUs,
    pub totals: Totals,
    pub load: BTreeMap<Tenant, Load>,
    pub disjoint_views: bool,
    pub measure_bytes: bool,
    zone_settings: [QuotaSettings; 3],
    central_meters: BTreeMap<Tenant, RateMeter>,
    nodes: Vec<SimNode>,
    queue: BTreeMap<(TimeUs, u64), Delivery>,
    next_order: u64,
    rng: ChaCha8Rng,
    faults: Faults,
    configs: Vec<QuotaConfig>,
    meters: BTreeMap<Tenant, Vec<RateMeter>>,
    new_meters_at: Option<TimeUs>,
    partitioned_zone: Option<(usize, TimeUs)>,
}

pub fn tenant(name: &str) -> Tenant {
    name.parse().expect("valid tenant")
}

pub fn zone(index: usize) -> AvailabilityZone {
    ZONES[index].parse().expect("valid zone")
}

pub fn config(version: u64, rates: &[(&str, u64, u64)]) -> QuotaConfig {
    let rate = |&(name, rate, burst): &(&str, u64, u64)| TenantRate {
        tenant: tenant(name),
        rate_per_s: RatePerS(rate),
        burst: Tokens(burst),
    };
    QuotaConfig {
        version: Version(version),
        zones: (0..3).map(zone).collect(),
        tenants: rates.iter().map(rate).collect(),
    }
}

impl Fleet {
    pub fn new(seed: u64, size: usize, settings: QuotaSettings, faults: Faults, initial_config: QuotaConfig) -> Self {
        Self::with_zone_settings(seed, size, [settings.clone(), settings.clone(), settings], faults, initial_config)
    }

    pub fn with_zone_settings(
        seed: u64,
        size: usize,
        zone_settings: [QuotaSettings; 3],
        faults: Faults,
        initial_config: QuotaConfig,
    ) -> Self {
        let mut fleet = Self {
            now: TimeUs::from_s(1),
            totals: Totals::default(),
            load: BTreeMap::new(),
            disjoint_views: false,
            measure_bytes: false,
            zone_settings,
            central_meters: BTreeMap::new(),
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            next_order: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults,
            configs: Vec::new(),
            meters: BTreeMap::new(),
            new_meters_at: None,
            partitioned_zone: None,
        };
        for rate in &initial_config.tenants {
            let meter = RateMeter::new(rate.rate_per_s.0, rate.burst.0, fleet.now);
            fleet.central_meters.insert(rate.tenant.clone(), meter.clone());
            fleet.meters.insert(rate.tenant.clone(), vec![meter]);
        }
        fleet.configs.push(initial_config);
        for node_index in 0..size {
            let started = fleet.start(node_index % 3, 0);
            fleet.nodes.push(started);
        }
        fleet
    }

    /// Replaces the bound that is checked over the whole simulation, so that it covers later
    /// configurations with higher limits.
    pub fn set_rate_bound(&mut self, name: &str, rate_per_s: u64, burst: u64) {
        self.meters.insert(tenant(name), vec![RateMeter::new(rate_per_s, burst, self.now)]);
    }

    /// Publishes a configuration. A meter with its rates starts once all nodes have received it and
    /// earlier loans have expired.
    pub fn publish(&mut self, config: QuotaConfig) {
        self.configs.push(config);
        for meters in self.meters.values_mut() {
            meters.truncate(1);
        }
        self.new_meters_at = None;
    }

    pub fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.step();
        }
    }

    /// Stops one owner of the tenant's shard permanently, as a crash would.
    pub fn stop_owner(&mut self, name: &str) {
        let shard = fulmartrestle_quota::QuotaShard::for_tenant(&tenant(name));
        let owner = self.nodes.iter().position(|node| node.node.lending_shards(self.local_time(node)).contains(&shard));
        let node_index = owner.expect("some node lends");
        self.nodes[node_index].paused_at = self.now;
        self.nodes[node_index].paused_until = TimeUs(u64::MAX);
    }

    /// Returns the number of running nodes that lend the tenant's tokens, normally one per zone.
    pub fn lending_zones(&self, name: &str) -> usize {
        let shard = fulmartrestle_quota::QuotaShard::for_tenant(&tenant(name));
        let lends = |node: &&SimNode| {
            self.now >= node.paused_until && node.node.lending_shards(self.local_time(node)).contains(&shard)
        };
        self.nodes.iter().filter(lends).count()
    }

    fn step(&mut self) {
        self.now = self.now.plus_us(STEP_US);
        self.inject_faults();
        self.deliver();
        self.update_views();
        self.tick();
        self.retry_waiters();
        self.offer_load();
        self.start_new_meters();
    }

    fn start(&mut self, zone_index: usize, received_version: u64) -> SimNode {
        let vm = VmId(self.rng.next_u64());
        let settings = self.zone_settings[zone_index].clone();
        let mut node = QuotaNode::new(vm, zone(zone_index), settings);
        let drift = self.faults.drift_ppm;
        let drift_of_node = [-drift, drift, 0][self.rng.random_range(0..3)];
        let clock_ppm = match (self.faults.all_clocks_fast, self.faults.slow_first_zone) {
            (true, _) => drift,
            (false, true) if zone_index == 0 => -900_000,
            (false, _) => drift_of_node,
        };
        let clock_offset_us = self.rng.random_range(0..1_000_000_000);
        let local_now = TimeUs(clock_offset_us);
        node.set_members(&[], local_now);
        SimNode {
            vm,
            zone: zone_index,
            node,
            clock_offset_us,
            clock_ppm,
            paused_at: TimeUs(0),
            paused_until: TimeUs(0),
            started_at: self.now,
            received_version,
            waiters: Vec::new(),
            view: Vec::new(),
        }
    }

    fn local_time(&self, node: &SimNode) -> TimeUs {
        let elapsed = self.now.us_since(node.started_at) as i64;
        let drifted = elapsed + elapsed * node.clock_ppm / 1_000_000;
        TimeUs(node.clock_offset_us + drifted as u64)
    }

    fn inject_faults(&mut self) {
        const STEPS_PER_100_S: u64 = 100_000;
        const STEPS_PER_10_000_S: u64 = 100 * STEPS_PER_100_S;
        let size = self.nodes.len();
        for node_index in 0..size {
            if self.rng.random_range(0..STEPS_PER_100_S) < self.faults.pause_per_100_s {
                let pause_ms = [300, 2_000, 5_000, 9_000][self.rng.random_range(0..4)];
                self.nodes[node_index].paused_at = self.now;
                self.nodes[node_index].paused_until = self.now.plus_ms(pause_ms);
            }
            if self.rng.random_range(0..STEPS_PER_10_000_S) < self.faults.restart_per_10_000_s {
                let zone_index = self.nodes[node_index].zone;
                self.nodes[node_index] = self.start(zone_index, 0);
            }
        }
        if self.partitioned_zone.is_none()
            && self.rng.random_range(0..STEPS_PER_100_S) < self.faults.partition_per_100_s
        {
            let until = self.now.plus_ms(self.rng.random_range(1_000..15_000));
            self.partitioned_zone = Some((self.rng.random_range(0..3), until));
        }
        self.partitioned_zone = self.partitioned_zone.filter(|(_, until)| self.now < *until);
    }

    fn is_partitioned(&self, zone_a: usize, zone_b: usize) -> bool {
        zone_a != zone_b
            && self.partitioned_zone.is_some_and(|(partitioned, _)| partitioned == zone_a || partitioned == zone_b)
    }

    /// Delivers due messages. A restarted process receives half of the messages addressed to its
    /// predecessor.
    fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let delivery = entry.remove();
            let node_index = delivery.to_index;
            if self.nodes[node_index].vm != delivery.to && self.rng.random_range(0..2) == 0 {
                continue;
            }
            if self.now < self.nodes[node_index].paused_until {
                let retry_at = self.nodes[node_index].paused_until;
                self.next_order += 1;
                self.queue.insert((retry_at, self.next_order), delivery);
                continue;
            }
            let local_now = self.local_time(&self.nodes[node_index]);
            self.nodes[node_index].node.on_message(delivery.from, delivery.message, local_now);
            self.dispatch_output(node_index);
        }
    }

    fn dispatch_output(&mut self, node_index: usize) {
        let from = self.nodes[node_index].vm;
        for OutgoingMessage { to, message } in self.nodes[node_index].node.take_outgoing() {
            self.totals.messages += 1;
            self.count_bytes(&message);
            let Some(to_index) = self.nodes.iter().position(|node| node.vm == to) else { continue };
            let lost = self.rng.random_range(0..1_000) < self.faults.loss;
            if lost || self.is_partitioned(self.nodes[node_index].zone, self.nodes[to_index].zone) {
                continue;
            }
            let copies = 1 + u64::from(self.rng.random_range(0..1_000) < self.faults.duplication);
            for _ in 0..copies {
                let late = self.rng.random_range(0..1_000) < self.faults.long_delay;
                let delay_us =
                    if late { self.rng.random_range(0..6_000_000) } else { self.rng.random_range(200..1_000) };
                self.next_order += 1;
                let delivery = Delivery { from, to_index, to, message: message.clone() };
                self.queue.insert((self.now.plus_us(delay_us), self.next_order), delivery);
            }
        }
        let node = &mut self.nodes[node_index];
        for ready in node.node.take_ready_tenants() {
            for waiter in node.waiters.iter_mut().filter(|waiter| waiter.tenant == ready) {
                waiter.next_attempt_at = TimeUs(0);
            }
        }
    }

    fn send_false_confirmations(&mut self, node_index: usize, local_now: TimeUs) {
        let node = &mut self.nodes[node_index];
        let version = Version(node.received_version);
        for zone in node.node.unconfirmed_zones() {
            node.node.on_message(node.vm, QuotaMessage::VersionConfirmed { zone, version }, local_now);
        }
    }

    fn count_bytes(&mut self, message: &QuotaMessage) {
        if self.measure_bytes {
            let encoded = bincode::serde::encode_to_vec(message, bincode::config::standard());
            self.totals.bytes += encoded.expect("message encodes").len() as u64;
        }
    }

    /// Updates the nodes' member views at random times, so that views differ. Most nodes see a join within
    /// a second, and a paused node drops out of the views after three seconds.
    fn update_views(&mut self) {
        for node_index in 0..self.nodes.len() {
            let due = self.rng.random_range(0..300) == 0;
            if !due || self.now < self.nodes[node_index].paused_until {
                continue;
            }
            let view = self.view_of(node_index);
            let local_now = self.local_time(&self.nodes[node_index]);
            if self.nodes[node_index].view != view {
                self.nodes[node_index].node.set_members(&view, local_now);
                self.nodes[node_index].view = view;
            }
            self.receive_config(node_index, local_now);
            self.dispatch_output(node_index);
        }
    }

    fn view_of(&mut self, node_index: usize) -> Vec<QuotaMember> {
        let own_zone = self.nodes[node_index].zone;
        let omitted = self.rng.random_range(0..1_000) < self.faults.omit_member;
        let omit = if omitted { self.rng.random_range(0..self.nodes.len()) } else { usize::MAX };
        let is_visible = |(other, node): &(usize, &SimNode)| {
            let silent = self.now < node.paused_until && self.now.ms_since(node.paused_at) > 3_000;
            let disjoint = self.disjoint_views && (other / 3) % 2 != (node_index / 3) % 2;
            !silent && *other != omit && !disjoint && !self.is_partitioned(own_zone, node.zone)
        };
        let as_member = |(_, node): (usize, &SimNode)| QuotaMember { vm: node.vm, zone: zone(node.zone) };
        self.nodes.iter().enumerate().filter(is_visible).map(as_member).collect()
    }

    /// Delivers the latest configuration, except to nodes of a partitioned zone.
    fn receive_config(&mut self, node_index: usize, local_now: TimeUs) {
        if self.partitioned_zone.is_some_and(|(partitioned, _)| partitioned == self.nodes[node_index].zone) {
            return;
        }
        let Some(latest) = self.configs.last() else { return };
        if self.nodes[node_index].received_version < latest.version.0 {
            self.nodes[node_index].received_version = latest.version.0;
            self.nodes[node_index].node.set_config(latest.clone(), local_now);
        }
    }

    fn tick(&mut self) {
        let step = self.now.0 / STEP_US;
        for node_index in 0..self.nodes.len() {
            let due = (step + node_index as u64).is_multiple_of(STEPS_PER_TICK);
            if due && self.now >= self.nodes[node_index].paused_until {
                let local_now = self.local_time(&self.nodes[node_index]);
                self.nodes[node_index].node.tick(local_now);
                if self.faults.false_confirmations {
                    self.send_false_confirmations(node_index, local_now);
                }
                self.dispatch_output(node_index);
            }
        }
    }

    fn retry_waiters(&mut self) {
        for node_index in 0..self.nodes.len() {
            if self.nodes[node_index].waiters.is_empty() || self.now < self.nodes[node_index].paused_until {
                continue;
            }
            let local_now = self.local_time(&self.nodes[node_index]);
            let waiters = std::mem::take(&mut self.nodes[node_index].waiters);
            for waiter in waiters {
                if local_now < waiter.next_attempt_at {
                    self.nodes[node_index].waiters.push(waiter);
                    continue;
                }
                let node = &mut self.nodes[node_index].node;
                let decision = node.retry_admit(&waiter.tenant, waiter.arrived_local, local_now);
                self.record_decision(node_index, waiter.tenant, waiter.arrived_local, local_now, decision);
            }
            self.dispatch_output(node_index);
        }
    }

    fn offer_load(&mut self) {
        let load: Vec<(Tenant, Load)> = self.load.iter().map(|(tenant, load)| (tenant.clone(), *load)).collect();
        for (tenant, load) in load {
            for zone_index in 0..3 {
                let expected_micro = load.per_s[zone_index] * STEP_US;
                let extra = self.rng.random_range(0..1_000_000) < expected_micro % 1_000_000;
                for _ in 0..expected_micro / 1_000_000 + u64::from(extra) {
                    self.offer_request(&tenant, zone_index);
                }
            }
        }
    }

    fn offer_request(&mut self, tenant: &Tenant, zone_index: usize) {
        let in_zone = (self.nodes.len() - zone_index).div_ceil(3);
        let node_index = zone_index + 3 * self.rng.random_range(0..in_zone);
        if self.now < self.nodes[node_index].paused_until {
            return;
        }
        self.totals.offered += 1;
        let within_rate =
            self.central_meters.get_mut(tenant).is_some_and(|central_meter| central_meter.try_admit(self.now));
        self.totals.over_rate += u64::from(!within_rate);
        let local_now = self.local_time(&self.nodes[node_index]);
        let decision = self.nodes[node_index].node.admit(tenant, local_now);
        self.record_decision(node_index, tenant.clone(), local_now, local_now, decision);
        self.dispatch_output(node_index);
    }

    fn record_decision(
        &mut self,
        node_index: usize,
        tenant: Tenant,
        arrived: TimeUs,
        local_now: TimeUs,
        decision: RateDecision,
    ) {
        match decision {
            RateDecision::Admitted => {
                self.totals.admitted += 1;
                self.totals.wait_us += local_now.us_since(arrived);
                self.record_admission(&tenant);
            }
            RateDecision::Wait { retry_at } => {
                let waiter = Waiter { tenant, arrived_local: arrived, next_attempt_at: retry_at };
                self.nodes[node_index].waiters.push(waiter);
            }
            RateDecision::Refused { .. } => self.totals.refused += 1,
        }
    }

    fn record_admission(&mut self, tenant: &Tenant) {
        for meter in self.meters.get_mut(tenant).into_iter().flatten() {
            if !meter.record(self.now) {
                self.totals.violations += 1;
            }
        }
    }

    fn start_new_meters(&mut self) {
        let Some(latest) = self.configs.last().filter(|_| self.configs.len() > 1) else { return };
        let all_received = self.nodes.iter().all(|node| node.received_version >= latest.version.0);
        match self.new_meters_at {
            None if all_received => {
                self.new_meters_at = Some(self.now.plus_ms(2 * self.zone_settings[0].loan_duration_ms))
            }
            Some(at) if at <= self.now => {
                for rate in &latest.tenants {
                    let meters = self.meters.entry(rate.tenant.clone()).or_default();
                    if meters.len() == 1 {
                        meters.push(RateMeter::new(rate.rate_per_s.0, rate.burst.0, self.now));
                    }
                }
            }
            _ => {}
        }
    }
}
