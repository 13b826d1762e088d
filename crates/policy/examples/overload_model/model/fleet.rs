//! State of a run of the model, and its event loop.

use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};

use fulmartrestle_core::{CallId, Class, Fingerprint, Service, Tenant, TimeUs, VmId};
use fulmartrestle_policy::AnnouncedTarget;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::deployment::ZONES;
use super::event::{Event, ScheduledEvent};
use super::in_flight::{Attempt, Hop, Request, Send};
use super::node::{Node, zone_name};
use super::settings::{Defect, Mode, ModelSettings};
use super::stats::Stats;

/// Retries that one send may cause in its whole chain.
pub const RETRY_ALLOWANCE: u32 = 3;
/// Time between two ticks of a node, in milliseconds.
const TICK_MS: u64 = 10;

/// State of a run.
pub struct Model {
    pub(super) settings: ModelSettings,
    pub(super) rng: ChaCha8Rng,
    pub(super) now: TimeUs,
    pub(super) nodes: Vec<Node>,
    pub(super) requests: HashMap<u64, Request>,
    pub(super) sends: Vec<Send>,
    pub(super) hops: BTreeMap<u64, Hop>,
    pub(super) attempts: BTreeMap<CallId, Attempt>,
    pub(super) silent_connections: HashSet<(usize, usize)>,
    pub(super) response_delay: (TimeUs, u64),
    pub(super) stats: Stats,
    pub(super) services: Vec<Service>,
    pub(super) chains: Vec<Vec<Service>>,
    pub(super) tenants: Vec<Tenant>,
    event_queue: BinaryHeap<ScheduledEvent>,
    sequence: u64,
    next_id: u64,
}

impl Model {
    /// Returns a model with an idle fleet and its first events scheduled.
    pub fn new(settings: ModelSettings) -> Self {
        let parse = |name: &str| name.parse().expect("the name is valid");
        let services: Vec<Service> = settings.deployment.services.iter().map(|spec| parse(spec.name)).collect();
        let chain = |chain: &Vec<usize>| chain.iter().map(|index| services[*index].clone()).collect();
        let chains = settings.deployment.routes.iter().map(|route| chain(&route.chain)).collect();
        let tenant = |index| format!("team-{index}").parse().expect("the name is valid");
        let tenants = (0..settings.deployment.tenant_weights.len()).map(tenant).collect();
        let mut model = Self {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            now: TimeUs::default(),
            nodes: Vec::new(),
            requests: HashMap::new(),
            sends: Vec::new(),
            hops: BTreeMap::new(),
            attempts: BTreeMap::new(),
            silent_connections: HashSet::new(),
            response_delay: (TimeUs::default(), 0),
            stats: Stats::default(),
            services,
            chains,
            tenants,
            event_queue: BinaryHeap::new(),
            sequence: 0,
            next_id: 1,
            settings,
        };
        model.add_nodes();
        model.schedule_initial_events();
        model
    }

    /// Runs to the end and returns the statistics.
    pub fn run(mut self) -> Stats {
        while let Some(next) = self.event_queue.pop() {
            if next.at > self.settings.end {
                break;
            }
            self.now = next.at;
            self.handle(next.event);
        }
        let wasted = self.sends.iter().filter(|send| !send.answered).map(|send| send.work_us).sum();
        self.stats.wasted_us = wasted;
        self.stats.leaked_calls = self.leaked_calls();
        self.stats.work_us = self.sends.iter().map(|send| send.work_us).sum();
        self.stats
    }

    /// Returns the number of calls that are still counted anywhere.
    fn leaked_calls(&self) -> usize {
        let at_gates: usize = self.nodes.iter().map(|node| node.gate.in_flight() + node.gate.queued()).sum();
        let targets = || self.nodes.iter().map(|node| node.vm);
        let in_tables = |node: &Node| targets().map(|vm| node.target_table.in_flight(vm) as usize).sum::<usize>();
        at_gates + self.nodes.iter().map(in_tables).sum::<usize>() + self.hops.len()
    }

    pub(super) fn uses_full_policy(&self) -> bool {
        self.settings.mode == Mode::Full
    }

    pub(super) fn has_defect(&self, defect: Defect) -> bool {
        self.settings.defect == Some(defect)
    }

    pub(super) fn after_us(&mut self, us: u64, event: Event) {
        self.sequence += 1;
        self.event_queue.push(ScheduledEvent { at: self.now.plus_us(us), sequence: self.sequence, event });
    }

    pub(super) fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    pub(super) fn class_of(&self, request: u64) -> Class {
        let route = self.requests.get(&request).map_or(0, |request| request.route);
        self.settings.deployment.routes[route].class
    }

    /// Returns one of the nodes that clients of a zone can reach.
    pub(super) fn ingress_node(&mut self, zone: usize) -> Option<usize> {
        let up = |node: &Node| node.vm_up && node.leaving.is_none();
        let local: Vec<usize> =
            (0..self.nodes.len()).filter(|n| up(&self.nodes[*n]) && self.nodes[*n].zone == zone).collect();
        let all: Vec<usize> = (0..self.nodes.len()).filter(|n| up(&self.nodes[*n])).collect();
        let nodes = if local.is_empty() { all } else { local };
        if nodes.is_empty() { None } else { Some(nodes[self.rng.random_range(0..nodes.len())]) }
    }

    /// Returns the announcement of a node's target.
    pub(super) fn announcement(&self, node: usize) -> AnnouncedTarget {
        let state = &self.nodes[node];
        AnnouncedTarget {
            target: state.vm,
            service: self.services[state.service].clone(),
            zone: zone_name(state.zone),
            slots: self.settings.deployment.services[state.service].slots as u32,
            warm_up_ms: 0,
            leaving: state.leaving.is_some(),
        }
    }

    pub(super) fn node_index(&self, vm: VmId) -> Option<usize> {
        self.nodes.iter().position(|node| node.vm == vm)
    }

    /// Replaces a lost node by a new one.
    pub(super) fn replace_node(&mut self, node: usize) {
        let (old, service, zone) = (self.nodes[node].vm, self.nodes[node].service, self.nodes[node].zone);
        let vm = VmId(self.next_id() + 1_000_000);
        let generation = self.nodes[node].generation + 1;
        let spec = &self.settings.deployment.services[service];
        self.nodes[node] = Node::new(vm, service, zone, spec, self.services.len());
        self.nodes[node].generation = generation;
        let announcement = self.announcement(node);
        let announcements: Vec<AnnouncedTarget> = (0..self.nodes.len()).map(|other| self.announcement(other)).collect();
        for other in &mut self.nodes {
            other.target_table.remove(old);
            other.target_table.upsert(announcement.clone(), self.now);
        }
        for announcement in announcements {
            self.nodes[node].target_table.upsert(announcement, self.now);
        }
        let peer = (0..self.nodes.len()).find(|other| *other != node && self.nodes[*other].vm_up);
        let marks = peer.map(|peer| self.nodes[peer].crashes.all_marks(self.now)).unwrap_or_default();
        for mark in marks {
            self.nodes[node].crashes.merge_mark(mark, self.now);
        }
    }

    fn add_nodes(&mut self) {
        for (service, spec) in self.settings.deployment.services.iter().enumerate() {
            for index in 0..spec.targets {
                let vm = VmId(self.nodes.len() as u64);
                self.nodes.push(Node::new(vm, service, index % ZONES, spec, self.services.len()));
            }
        }
        let announcements: Vec<AnnouncedTarget> = (0..self.nodes.len()).map(|node| self.announcement(node)).collect();
        for node in &mut self.nodes {
            for announcement in &announcements {
                node.target_table.upsert(announcement.clone(), TimeUs::default());
            }
        }
    }

    fn schedule_initial_events(&mut self) {
        for tenant in 0..self.tenants.len() {
            self.after_us(tenant as u64, Event::NewRequest { tenant });
        }
        self.after_us(0, Event::Tick);
        for (at, fault) in self.settings.faults.clone() {
            self.after_us(at.0, Event::Fault(fault));
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(resumes_at) = self.pause_end(&event) {
            self.after_us(resumes_at.us_since(self.now), event);
            return;
        }
        match event {
            Event::NewRequest { tenant } => self.new_request(tenant),
            Event::ClientSend { request } => self.client_send(request),
            Event::ClientTimeout { request, send } => self.time_out_client(request, send),
            Event::AttemptArrived { call } => self.receive_attempt(call),
            Event::WorkDone { call, node, generation } => self.finish_own_work(call, node, generation),
            Event::ResponseArrived(response) => self.receive_response(response),
            Event::CancellationArrived { call } => self.receive_cancellation(call),
            Event::AttemptTimeout { call } => self.time_out_attempt(call),
            Event::Tick => self.tick(),
            Event::ConnectionReplaced { from, to } => self.replace_connection(from, to),
            Event::Fault(fault) => self.apply_fault(fault),
            Event::Restored { node } => self.restore(node),
            Event::LeavingPublished { node } => self.publish_leaving(node),
        }
    }

    /// Returns the end of the pause if the node that would handle the event is paused.
    fn pause_end(&self, event: &Event) -> Option<TimeUs> {
        let node = match event {
            Event::AttemptArrived { call } | Event::CancellationArrived { call } => self.attempts.get(call)?.node,
            Event::WorkDone { node, .. } => *node,
            Event::ResponseArrived(response) => self.hops.get(&self.attempts.get(&response.call)?.hop)?.node,
            _ => return None,
        };
        let until = self.nodes[node].paused_until;
        (until > self.now).then_some(until)
    }

    fn tick(&mut self) {
        for node in 0..self.nodes.len() {
            if self.uses_full_policy() && self.nodes[node].vm_up && self.nodes[node].paused_until <= self.now {
                self.apply_queue_events(node);
                self.stop_if_drained(node);
            }
        }
        self.exchange_crash_marks();
        self.after_us(TICK_MS * 1_000, Event::Tick);
    }

    fn exchange_crash_marks(&mut self) {
        for from in 0..self.nodes.len() {
            let marks = self.nodes[from].crashes.take_marks(self.now);
            for mark in marks {
                for node in &mut self.nodes {
                    node.crashes.merge_mark(mark, self.now);
                }
            }
        }
    }

    fn new_request(&mut self, tenant: usize) {
        let Some(next_request_gap_us) = self.next_request_gap_us(tenant) else {
            self.after_us(10_000, Event::NewRequest { tenant });
            return;
        };
        self.after_us(next_request_gap_us, Event::NewRequest { tenant });
        let route = self.draw_route();
        self.add_request(tenant, route, false);
        let tenants = self.tenants.len();
        Stats::count_in_bucket(&mut self.stats.demanded, tenants, tenant, self.now);
    }

    pub(super) fn add_request(&mut self, tenant: usize, route: usize, crashes_targets: bool) {
        let id = self.next_id();
        let request = Request {
            tenant,
            route,
            zone: self.rng.random_range(0..ZONES),
            fingerprint: Fingerprint(id),
            crashes_targets,
            crashed: 0,
            sends: 0,
            done: false,
            hop: None,
        };
        self.stats.by_class[self.settings.deployment.routes[route].class.index()].demanded += 1;
        self.requests.insert(id, request);
        self.after_us(0, Event::ClientSend { request: id });
    }

    fn next_request_gap_us(&mut self, tenant: usize) -> Option<u64> {
        let phase = self.settings.phases.iter().rev().find(|phase| phase.from <= self.now)?;
        let weights = &self.settings.deployment.tenant_weights;
        let share = f64::from(weights[tenant]) / f64::from(weights.iter().sum::<u32>());
        let demand_factor = if self.settings.greedy_tenant == Some(tenant) { 10.0 } else { 1.0 };
        let per_s = self.settings.deployment.capacity_per_s() * phase.demand * share * demand_factor;
        if per_s <= 0.0 {
            return None;
        }
        Some((self.draw_exponential() * 1e6 / per_s) as u64)
    }

    pub(super) fn draw_exponential(&mut self) -> f64 {
        let drawn: f64 = self.rng.random_range(f64::EPSILON..1.0);
        -drawn.ln()
    }

    fn draw_route(&mut self) -> usize {
        let mut drawn: f64 = self.rng.random_range(0.0..1.0);
        let routes = &self.settings.deployment.routes;
        for (index, route) in routes.iter().enumerate() {
            if drawn < route.share {
                return index;
            }
            drawn -= route.share;
        }
        routes.len() - 1
    }
}
