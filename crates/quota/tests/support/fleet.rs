//! Quota nodes in three zones over a queue of messages.

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
const TICK_STEPS: u64 = 10;

/// Chances of faults, each per thousand and per step or message, and how different clocks are.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    pub loss: u64,
    pub doubling: u64,
    pub long_delay: u64,
    pub pause_per_100_s: u64,
    pub restart_per_10_000_s: u64,
    pub cut_per_100_s: u64,
    pub omit_member: u64,
    pub drift_ppm: i64,
    pub all_clocks_fast: bool,
    pub slow_first_zone: bool,
    /// Every zone confirms every version without applying it.
    pub false_confirmations: bool,
}

/// Requests per second offered in each zone.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    pub per_s: [u64; 3],
}

struct Waiter {
    tenant: Tenant,
    arrived_local: TimeUs,
    again_at: TimeUs,
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
    heard_version: u64,
    waiters: Vec<Waiter>,
    view: Vec<QuotaMember>,
}

struct Delivery {
    from: VmId,
    to_place: usize,
    to: VmId,
    message: QuotaMessage,
}

/// Counts of one run.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    pub offered: u64,
    pub admitted: u64,
    pub refused: u64,
    pub messages: u64,
    pub bytes: u64,
    pub violations: u64,
    /// Requests that one central bucket without any wait would refuse.
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
    central: BTreeMap<Tenant, RateMeter>,
    nodes: Vec<SimNode>,
    queue: BTreeMap<(TimeUs, u64), Delivery>,
    order: u64,
    rng: ChaCha8Rng,
    faults: Faults,
    configs: Vec<QuotaConfig>,
    meters: BTreeMap<Tenant, Vec<RateMeter>>,
    fresh_meters_at: Option<TimeUs>,
    cut_zone: Option<(usize, TimeUs)>,
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
    pub fn new(seed: u64, size: usize, settings: QuotaSettings, faults: Faults, first: QuotaConfig) -> Self {
        Self::with_zone_settings(seed, size, [settings.clone(), settings.clone(), settings], faults, first)
    }

    pub fn with_zone_settings(
        seed: u64,
        size: usize,
        zone_settings: [QuotaSettings; 3],
        faults: Faults,
        first: QuotaConfig,
    ) -> Self {
        let mut fleet = Self {
            now: TimeUs::from_s(1),
            totals: Totals::default(),
            load: BTreeMap::new(),
            disjoint_views: false,
            measure_bytes: false,
            zone_settings,
            central: BTreeMap::new(),
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            order: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults,
            configs: Vec::new(),
            meters: BTreeMap::new(),
            fresh_meters_at: None,
            cut_zone: None,
        };
        for rate in &first.tenants {
            let meter = RateMeter::new(rate.rate_per_s.0, rate.burst.0, fleet.now);
            fleet.central.insert(rate.tenant.clone(), meter.clone());
            fleet.meters.insert(rate.tenant.clone(), vec![meter]);
        }
        fleet.configs.push(first);
        for place in 0..size {
            let started = fleet.start(place % 3, 0);
            fleet.nodes.push(started);
        }
        fleet
    }

    /// Widens the meter of the whole run to cover later configurations.
    pub fn set_bound(&mut self, name: &str, rate_per_s: u64, burst: u64) {
        self.meters.insert(tenant(name), vec![RateMeter::new(rate_per_s, burst, self.now)]);
    }

    /// Publishes a configuration. A meter with its rates starts once all nodes have heard it and
    /// earlier loans have lapsed.
    pub fn publish(&mut self, config: QuotaConfig) {
        self.configs.push(config);
        for meters in self.meters.values_mut() {
            meters.truncate(1);
        }
        self.fresh_meters_at = None;
    }

    pub fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.step();
        }
    }

    /// Stops one owner for good, as a crash would.
    pub fn stop_owner(&mut self, name: &str) {
        let shard = fulmartrestle_quota::QuotaShard::for_tenant(&tenant(name));
        let owner = self.nodes.iter().position(|node| node.node.lending_shards(self.local(node)).contains(&shard));
        let place = owner.expect("some node lends");
        self.nodes[place].paused_at = self.now;
        self.nodes[place].paused_until = TimeUs(u64::MAX);
    }

    /// Returns in how many zones a running node lends the tenant's tokens.
    pub fn lending_zones(&self, name: &str) -> usize {
        let shard = fulmartrestle_quota::QuotaShard::for_tenant(&tenant(name));
        let lends = |node: &&SimNode| {
            self.now >= node.paused_until && node.node.lending_shards(self.local(node)).contains(&shard)
        };
        self.nodes.iter().filter(lends).count()
    }

    fn step(&mut self) {
        self.now = self.now.plus_us(STEP_US);
        self.bring_faults();
        self.deliver();
        self.update_views();
        self.tick();
        self.retry_waiters();
        self.offer_load();
        self.refresh_meters();
    }

    fn start(&mut self, zone_index: usize, heard_version: u64) -> SimNode {
        let vm = VmId(self.rng.next_u64());
        let settings = self.zone_settings[zone_index].clone();
        let mut node = QuotaNode::new(vm, zone(zone_index), settings);
        let drift = self.faults.drift_ppm;
        let drawn = [-drift, drift, 0][self.rng.random_range(0..3)];
        let clock_ppm = match (self.faults.all_clocks_fast, self.faults.slow_first_zone) {
            (true, _) => drift,
            (false, true) if zone_index == 0 => -900_000,
            (false, _) => drawn,
        };
        let clock_offset_us = self.rng.random_range(0..1_000_000_000);
        let local = TimeUs(clock_offset_us);
        node.set_members(&[], local);
        SimNode {
            vm,
            zone: zone_index,
            node,
            clock_offset_us,
            clock_ppm,
            paused_at: TimeUs(0),
            paused_until: TimeUs(0),
            started_at: self.now,
            heard_version,
            waiters: Vec::new(),
            view: Vec::new(),
        }
    }

    fn local(&self, node: &SimNode) -> TimeUs {
        let elapsed = self.now.us_since(node.started_at) as i64;
        let drifted = elapsed + elapsed * node.clock_ppm / 1_000_000;
        TimeUs(node.clock_offset_us + drifted as u64)
    }

    fn bring_faults(&mut self) {
        const STEPS_PER_100_S: u64 = 100_000;
        const STEPS_PER_10_000_S: u64 = 100 * STEPS_PER_100_S;
        let size = self.nodes.len();
        for place in 0..size {
            if self.rng.random_range(0..STEPS_PER_100_S) < self.faults.pause_per_100_s {
                let pause_ms = [300, 2_000, 5_000, 9_000][self.rng.random_range(0..4)];
                self.nodes[place].paused_at = self.now;
                self.nodes[place].paused_until = self.now.plus_ms(pause_ms);
            }
            if self.rng.random_range(0..STEPS_PER_10_000_S) < self.faults.restart_per_10_000_s {
                let zone_index = self.nodes[place].zone;
                self.nodes[place] = self.start(zone_index, 0);
            }
        }
        if self.cut_zone.is_none() && self.rng.random_range(0..STEPS_PER_100_S) < self.faults.cut_per_100_s {
            let until = self.now.plus_ms(self.rng.random_range(1_000..15_000));
            self.cut_zone = Some((self.rng.random_range(0..3), until));
        }
        self.cut_zone = self.cut_zone.filter(|(_, until)| self.now < *until);
    }

    fn is_cut(&self, left: usize, right: usize) -> bool {
        left != right && self.cut_zone.is_some_and(|(cut, _)| cut == left || cut == right)
    }

    /// A restarted process sometimes receives what was meant for its predecessor.
    fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let delivery = entry.remove();
            let place = delivery.to_place;
            if self.nodes[place].vm != delivery.to && self.rng.random_range(0..2) == 0 {
                continue;
            }
            if self.now < self.nodes[place].paused_until {
                let again_at = self.nodes[place].paused_until;
                self.order += 1;
                self.queue.insert((again_at, self.order), delivery);
                continue;
            }
            let local = self.local(&self.nodes[place]);
            self.nodes[place].node.on_message(delivery.from, delivery.message, local);
            self.collect(place);
        }
    }

    fn collect(&mut self, place: usize) {
        let from = self.nodes[place].vm;
        for OutgoingMessage { to, message } in self.nodes[place].node.take_outgoing() {
            self.totals.messages += 1;
            self.count_bytes(&message);
            let Some(to_place) = self.nodes.iter().position(|node| node.vm == to) else { continue };
            let lost = self.rng.random_range(0..1_000) < self.faults.loss;
            if lost || self.is_cut(self.nodes[place].zone, self.nodes[to_place].zone) {
                continue;
            }
            let copies = 1 + u64::from(self.rng.random_range(0..1_000) < self.faults.doubling);
            for _ in 0..copies {
                let late = self.rng.random_range(0..1_000) < self.faults.long_delay;
                let delay_us =
                    if late { self.rng.random_range(0..6_000_000) } else { self.rng.random_range(200..1_000) };
                self.order += 1;
                let delivery = Delivery { from, to_place, to, message: message.clone() };
                self.queue.insert((self.now.plus_us(delay_us), self.order), delivery);
            }
        }
        let node = &mut self.nodes[place];
        for ready in node.node.take_ready_tenants() {
            for waiter in node.waiters.iter_mut().filter(|waiter| waiter.tenant == ready) {
                waiter.again_at = TimeUs(0);
            }
        }
    }

    fn confirm_falsely(&mut self, place: usize, local: TimeUs) {
        let node = &mut self.nodes[place];
        let version = Version(node.heard_version);
        for zone in node.node.unconfirmed_zones() {
            node.node.on_message(node.vm, QuotaMessage::VersionConfirmed { zone, version }, local);
        }
    }

    fn count_bytes(&mut self, message: &QuotaMessage) {
        if self.measure_bytes {
            let encoded = bincode::serde::encode_to_vec(message, bincode::config::standard());
            self.totals.bytes += encoded.expect("message encodes").len() as u64;
        }
    }

    /// Gives each node its own view: joins are seen after up to a second, silence after three.
    fn update_views(&mut self) {
        for place in 0..self.nodes.len() {
            let due = self.rng.random_range(0..300) == 0;
            if !due || self.now < self.nodes[place].paused_until {
                continue;
            }
            let view = self.view_of(place);
            let local = self.local(&self.nodes[place]);
            if self.nodes[place].view != view {
                self.nodes[place].node.set_members(&view, local);
                self.nodes[place].view = view;
            }
            self.hear_config(place, local);
            self.collect(place);
        }
    }

    fn view_of(&mut self, place: usize) -> Vec<QuotaMember> {
        let own_zone = self.nodes[place].zone;
        let omitted = self.rng.random_range(0..1_000) < self.faults.omit_member;
        let omit = if omitted { self.rng.random_range(0..self.nodes.len()) } else { usize::MAX };
        let sees = |(other, node): &(usize, &SimNode)| {
            let silent = self.now < node.paused_until && self.now.ms_since(node.paused_at) > 3_000;
            let disjoint = self.disjoint_views && (other / 3) % 2 != (place / 3) % 2;
            !silent && *other != omit && !disjoint && !self.is_cut(own_zone, node.zone)
        };
        let as_member = |(_, node): (usize, &SimNode)| QuotaMember { vm: node.vm, zone: zone(node.zone) };
        self.nodes.iter().enumerate().filter(sees).map(as_member).collect()
    }

    /// A zone that is cut off doesn't hear of new configurations.
    fn hear_config(&mut self, place: usize, local: TimeUs) {
        if self.cut_zone.is_some_and(|(cut, _)| cut == self.nodes[place].zone) {
            return;
        }
        let Some(latest) = self.configs.last() else { return };
        if self.nodes[place].heard_version < latest.version.0 {
            self.nodes[place].heard_version = latest.version.0;
            self.nodes[place].node.set_config(latest.clone(), local);
        }
    }

    fn tick(&mut self) {
        let step = self.now.0 / STEP_US;
        for place in 0..self.nodes.len() {
            let due = (step + place as u64).is_multiple_of(TICK_STEPS);
            if due && self.now >= self.nodes[place].paused_until {
                let local = self.local(&self.nodes[place]);
                self.nodes[place].node.tick(local);
                if self.faults.false_confirmations {
                    self.confirm_falsely(place, local);
                }
                self.collect(place);
            }
        }
    }

    fn retry_waiters(&mut self) {
        for place in 0..self.nodes.len() {
            if self.nodes[place].waiters.is_empty() || self.now < self.nodes[place].paused_until {
                continue;
            }
            let local = self.local(&self.nodes[place]);
            let waiters = std::mem::take(&mut self.nodes[place].waiters);
            for waiter in waiters {
                if local < waiter.again_at {
                    self.nodes[place].waiters.push(waiter);
                    continue;
                }
                let node = &mut self.nodes[place].node;
                let decision = node.retry_admit(&waiter.tenant, waiter.arrived_local, local);
                self.note(place, waiter.tenant, waiter.arrived_local, local, decision);
            }
            self.collect(place);
        }
    }

    fn offer_load(&mut self) {
        let load: Vec<(Tenant, Load)> = self.load.iter().map(|(tenant, load)| (tenant.clone(), *load)).collect();
        for (tenant, load) in load {
            for zone_index in 0..3 {
                let expected_micro = load.per_s[zone_index] * STEP_US;
                let extra = self.rng.random_range(0..1_000_000) < expected_micro % 1_000_000;
                for _ in 0..expected_micro / 1_000_000 + u64::from(extra) {
                    self.offer(&tenant, zone_index);
                }
            }
        }
    }

    fn offer(&mut self, tenant: &Tenant, zone_index: usize) {
        let in_zone = (self.nodes.len() - zone_index).div_ceil(3);
        let place = zone_index + 3 * self.rng.random_range(0..in_zone);
        if self.now < self.nodes[place].paused_until {
            return;
        }
        self.totals.offered += 1;
        let within_rate = self.central.get_mut(tenant).is_some_and(|central| central.try_admit(self.now));
        self.totals.over_rate += u64::from(!within_rate);
        let local = self.local(&self.nodes[place]);
        let decision = self.nodes[place].node.admit(tenant, local);
        self.note(place, tenant.clone(), local, local, decision);
        self.collect(place);
    }

    fn note(&mut self, place: usize, tenant: Tenant, arrived: TimeUs, local: TimeUs, decision: RateDecision) {
        match decision {
            RateDecision::Admitted => {
                self.totals.admitted += 1;
                self.totals.wait_us += local.us_since(arrived);
                self.meter(&tenant);
            }
            RateDecision::Wait { retry_at } => {
                let waiter = Waiter { tenant, arrived_local: arrived, again_at: retry_at };
                self.nodes[place].waiters.push(waiter);
            }
            RateDecision::Refused { .. } => self.totals.refused += 1,
        }
    }

    fn meter(&mut self, tenant: &Tenant) {
        for meter in self.meters.get_mut(tenant).into_iter().flatten() {
            if !meter.admit(self.now) {
                self.totals.violations += 1;
            }
        }
    }

    fn refresh_meters(&mut self) {
        let Some(latest) = self.configs.last().filter(|_| self.configs.len() > 1) else { return };
        let all_heard = self.nodes.iter().all(|node| node.heard_version >= latest.version.0);
        match self.fresh_meters_at {
            None if all_heard => self.fresh_meters_at = Some(self.now.plus_ms(2 * self.zone_settings[0].loan_ms)),
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
