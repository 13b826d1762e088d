//! Load balancing over targets whose nodes report their load. See `docs/TARGET-CHOICE.md`.
//!
//! Load pattern: a few targets whose speeds differ by a factor of two or three, called from every node at once. A
//! caller whose own zone has only a slow one would wait for it while fast ones elsewhere have free slots. Reports are
//! up to a second old, so that all callers would send to the same best target. Instead, each caller draws a target at
//! random, the faster and emptier ones with a higher probability, and calls sent since the last report count as load.

use std::collections::BTreeSet;

use fulmartrestle_core::{AvailabilityZone, RateMilliPerS, RouteId, Service, TimeUs, VmId};
use fulmartrestle_derive::record;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};
use rustc_hash::FxHashMap;

use crate::noticed_runs::NoticedRuns;
use crate::reported_load::ReportedLoad;
use crate::zone_traffic::UsableTargets;
use crate::{PeerContact, TargetNotices, ZoneLoad, ZoneShare, ZoneTraffic, ZoneTrafficSettings};

/// Default hold time until the first report, in microseconds.
const DEFAULT_HOLD_US: f64 = 50_000.0;

/// Factor of the service's hold time for a target that is still warming up and has not reported its own.
const COLD_HOLD_FACTOR: f64 = 2.0;

/// Calls that are taken to be ahead at a target that is paced because it is cold, besides the reported ones. All senders
/// see its free slots at once, and a call at a random moment waits half of the interval between two starts.
const COLD_CALLS_AHEAD: f64 = 0.5;

/// Share by which a call takes longer at a target whose slots are all in use. Targets slow down when they are nearly
/// full, and the last free slots are lost to callers with older reports.
const FULL_SLOWDOWN: f64 = 4.0;

/// Power of the share of the slots in use with which the slowdown grows. Half-full targets are as fast as empty ones.
const FULLNESS_POWER: i32 = 6;

/// Factor by which the expected time in another zone must be shorter. Traffic between zones costs money.
const ZONE_SPILL_FACTOR: f64 = 2.0;

/// Time since the last report or response of a node after which its target is not chosen, in milliseconds:
/// two lost status messages and some delay.
const CONTACT_TIMEOUT_MS: u64 = 2_600;

/// Minimum and maximum backoff after a node could not be reached, in milliseconds.
const MIN_BACKOFF_MS: u64 = 150;
const MAX_BACKOFF_MS: u64 = 2_000;

/// Time for which a target that refused a call for lack of capacity is chosen only if there is no other, in
/// milliseconds. It stays usable: a gate that receives no calls can't measure its demand.
const REFUSAL_PAUSE_MS: u64 = 40;

/// Factor of the expected time at a target that refused a call within the last [`REFUSAL_PAUSE_MS`].
const REFUSAL_FACTOR: f64 = 3.0;

/// Age of a report at which its pace says nothing about the present, in milliseconds: the duration of a usual slow
/// period. Its weight falls evenly until then, because a slow period may end at any time.
const MAX_PACE_AGE_MS: f64 = 600.0;

/// Range of the factor by which the pace changes the expected time, so that a false pace neither takes a healthy target
/// out of rotation nor draws all calls to one.
const MIN_PACE_FACTOR: f64 = 0.5;
const MAX_PACE_FACTOR: f64 = 4.0;

/// Largest share of failed attempts that counts, in percent. A target that fails everything still gets a few calls, which
/// show when it recovers.
const MAX_FAILED_PERCENT: u32 = 90;

/// Power of the share of successful attempts to which the expected time is inversely proportional. A failed attempt costs
/// more than its time: it may not be repeated, or takes a retry that others need.
const SUCCESS_POWER: i32 = 2;

/// Number of random targets among which one is drawn.
const DRAW_SAMPLE: usize = 8;

/// Power of the expected time to which the probability of a target is inversely proportional. With a lower one slow
/// targets receive more calls; with a higher one all callers choose the same target until the next reports.
const DRAW_POWER: i32 = 3;

const US_PER_S: f64 = 1e6;
const MILLI: f64 = 1e3;

/// Status of a target as its node reports it.
#[record]
pub struct TargetReport {
    /// Service that the target provides.
    pub service: Service,
    /// Identifies the run of the target process; the target checks it with each call.
    pub instance: String,
    /// Start of that run, in milliseconds since the Unix epoch. A later run may have the same name.
    pub started_unix_ms: i64,
    /// What the run has said about itself; `None` if its node has not heard a response of it.
    pub notices: Option<TargetNotices>,
    /// Whether the target accepts calls.
    pub ready: bool,
    /// Calls that may run concurrently.
    pub limit: u32,
    /// Calls that are running.
    pub running: u32,
    /// Calls that are queued at the gate.
    pub waiting: u32,
    /// Mean time for which a call holds its slot, in microseconds; zero when unknown.
    pub hold_us: u32,
    /// Whether the target is still warming up and slow.
    pub cold: bool,
    /// Rate at which its node starts calls: the lower one of what the target names and what it takes while it is cold.
    /// `None` if it is not limited.
    pub paced_rate: Option<RateMilliPerS>,
    /// How long work takes at present, in percent of the mean that `hold_us` contains; `None` if the target has not
    /// stated it within the last second.
    pub pace_percent: Option<u32>,
    /// Share of recent attempts that failed at the target, in percent.
    pub failed_percent: u32,
}

impl TargetReport {
    /// Returns the factor by which failing attempts lengthen the expected time until a success.
    fn failure_factor(&self) -> f64 {
        let failed = f64::from(self.failed_percent.min(MAX_FAILED_PERCENT)) / 100.0;
        (1.0 - failed).powi(-SUCCESS_POWER)
    }
}

#[derive(Debug)]
struct ReportedTarget {
    zone: AvailabilityZone,
    report: TargetReport,
    sent_since_report: u32,
    last_contact: TimeUs,
    consecutive_failures: u32,
    backoff_until: TimeUs,
    refusal_pause_until: TimeUs,
    load: ReportedLoad,
    /// Whether the target has stated its pace. Only then its load is averaged over reports; other targets are served as
    /// before.
    states_pace: bool,
}

impl ReportedTarget {
    /// Returns the factor by which the reported pace of the target changes its expected time.
    fn pace_factor(&self, now: TimeUs) -> f64 {
        let Some(pace_percent) = self.report.pace_percent else { return 1.0 };
        let factor = (f64::from(pace_percent) / 100.0).clamp(MIN_PACE_FACTOR, MAX_PACE_FACTOR);
        let weight = (1.0 - self.load.age_ms(now) / MAX_PACE_AGE_MS).max(0.0);
        1.0 + (factor - 1.0) * weight
    }

    /// Returns the calls that are expected to run and to wait at the target, according to its reports.
    fn reported_calls(&self, now: TimeUs) -> f64 {
        match self.states_pace {
            true => self.load.expected_calls(now),
            false => f64::from(self.report.running + self.report.waiting),
        }
    }

    /// Returns how long a call waits for its turn at a target whose calls are paced, in microseconds.
    fn paced_wait_us(&self) -> f64 {
        let max_rate = self.report.notices.and_then(|notices| notices.max_rate);
        let Some(rate) = self.report.paced_rate.or(max_rate) else { return 0.0 };
        let is_cold_rate = max_rate.is_none_or(|max_rate| rate < max_rate);
        let ahead = f64::from(self.report.waiting + self.sent_since_report);
        (ahead + if is_cold_rate { COLD_CALLS_AHEAD } else { 0.0 }) * US_PER_S * MILLI / (rate.0 as f64).max(1.0)
    }
}

/// Targets of all services in the local view of this node.
#[derive(Debug, Default)]
pub struct LoadBalancer {
    targets: FxHashMap<VmId, ReportedTarget>,
    services: FxHashMap<Service, Vec<VmId>>,
    service_hold_us: FxHashMap<Service, f64>,
    noticed_runs: NoticedRuns,
    evacuated_zones: BTreeSet<AvailabilityZone>,
    contact: PeerContact,
    /// Decides which calls leave their zone; without it, [`ZONE_SPILL_FACTOR`] does.
    zone_traffic: Option<ZoneTraffic>,
    /// Targets that were usable at the last calculation of the shares by zone.
    usable_targets: FxHashMap<Service, UsableTargets>,
}

impl LoadBalancer {
    /// Replaces the zones whose targets are not chosen.
    pub fn set_evacuated(&mut self, zones: BTreeSet<AvailabilityZone>) {
        self.evacuated_zones = zones;
    }

    /// Records a report about a node's target; `None` means that the node has no target.
    pub fn record_report(&mut self, node: VmId, zone: &AvailabilityZone, report: Option<TargetReport>, now: TimeUs) {
        let Some(report) = report else { return self.remove(node) };
        self.noticed_runs.record_report(&report, now);
        if report.hold_us > 0 {
            self.service_hold_us.insert(report.service.clone(), f64::from(report.hold_us));
        }
        let (calls, states_pace) = (report.running + report.waiting, report.pace_percent.is_some());
        match self.targets.get_mut(&node) {
            Some(target) if target.report.service == report.service => {
                target.report = report;
                target.sent_since_report = 0;
                target.last_contact = now;
                target.load.record_report(calls, now);
                target.states_pace |= states_pace;
            }
            _ => {
                self.remove(node);
                self.services.entry(report.service.clone()).or_default().push(node);
                let target = ReportedTarget {
                    zone: zone.clone(),
                    report,
                    sent_since_report: 0,
                    last_contact: now,
                    consecutive_failures: 0,
                    backoff_until: now,
                    refusal_pause_until: now,
                    load: ReportedLoad::new(calls, now),
                    states_pace,
                };
                self.targets.insert(node, target);
            }
        }
    }

    /// Removes a node and its target.
    pub fn remove(&mut self, node: VmId) {
        let Some(target) = self.targets.remove(&node) else { return };
        if let Some(nodes) = self.services.get_mut(&target.report.service) {
            nodes.retain(|other| *other != node);
        }
    }

    /// Chooses a target of `service` that is not among `tried`, and returns its node.
    pub fn choose_target(
        &self,
        service: &Service,
        own_zone: &AvailabilityZone,
        tried: &[VmId],
        rng: &mut impl Rng,
        now: TimeUs,
    ) -> Option<VmId> {
        // A call that was refused elsewhere is not bound to the shares: it goes where it is expected to end first.
        if tried.is_empty()
            && let Some(node) = self.choose_by_share(service, own_zone, rng, now)
        {
            return Some(node);
        }
        let nodes = self.services.get(service)?;
        // A node without contact to any other goes on choosing among all of them.
        let avoids_silent = self.contact.is_any_silent() && self.has_heard_target(service, tried, now);
        let is_avoided = |node: &VmId| avoids_silent && self.contact.is_silent(*node);
        let (mut local, mut remote) = (Vec::with_capacity(nodes.len()), Vec::with_capacity(nodes.len()));
        for node in nodes.iter().filter(|node| !tried.contains(node) && !is_avoided(node)) {
            let Some(target) = self.targets.get(node).filter(|target| self.is_target_usable(target, now)) else {
                continue;
            };
            if target.zone == *own_zone { &mut local } else { &mut remote }.push((*node, target));
        }
        let drawn_local = self.draw(&local, rng, now);
        let drawn_remote = self.draw(&remote, rng, now);
        let drawn = match (drawn_local, drawn_remote) {
            (Some(local), Some(remote)) if remote.expected_us * ZONE_SPILL_FACTOR < local.expected_us => Some(remote),
            (local, remote) => local.or(remote),
        };
        drawn.map(|drawn| drawn.node)
    }

    /// Returns whether a target of `service` can be chosen whose node is neither silent nor among `tried`.
    pub fn has_heard_target(&self, service: &Service, tried: &[VmId], now: TimeUs) -> bool {
        let nodes = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let is_heard = |node: &VmId| self.is_usable(*node, now) && !self.contact.is_silent(*node);
        nodes.iter().any(|node| !tried.contains(node) && is_heard(node))
    }

    /// Returns the contact to the other nodes.
    pub fn contact(&mut self) -> &mut PeerContact {
        &mut self.contact
    }

    /// Records a sign of life of a node that has a target and is not this one.
    pub fn record_sign(&mut self, node: VmId, now: TimeUs) {
        let Some(target) = self.targets.get(&node) else { return };
        self.contact.record_sign(node, &target.zone, now);
    }

    /// Sets what traffic between zones may cost; `None` if the settings do not say.
    pub fn set_zone_traffic(&mut self, settings: Option<ZoneTrafficSettings>) {
        match (&mut self.zone_traffic, settings) {
            (Some(zone_traffic), Some(settings)) => zone_traffic.set_settings(settings),
            (zone_traffic, settings) => *zone_traffic = settings.map(ZoneTraffic::new),
        }
    }

    /// Recalculates the shares of all services' calls that leave `own_zone`. Returns those that should be logged.
    pub fn update_zone_traffic(&mut self, own_zone: &AvailabilityZone, now: TimeUs) -> Vec<(Service, ZoneShare)> {
        let Some(mut zone_traffic) = self.zone_traffic.take() else { return Vec::new() };
        let mut changed = Vec::new();
        let mut usable_targets = FxHashMap::default();
        for (service, nodes) in &self.services {
            let nodes = nodes.iter().filter(|node| self.is_usable(**node, now));
            let usable = UsableTargets::new(nodes.map(|node| (&self.targets[node].zone, *node)).collect());
            let shares = zone_traffic.update(service, own_zone, &self.zone_loads(&usable, now), now);
            changed.extend(shares.into_iter().flatten().map(|share| (service.clone(), share)));
            usable_targets.insert(service.clone(), usable);
        }
        self.usable_targets = usable_targets;
        self.zone_traffic = Some(zone_traffic);
        changed
    }

    /// Records the bytes of a request and its response.
    pub fn record_transfer(&mut self, route: &RouteId, service: &Service, bytes: u64) {
        if let Some(zone_traffic) = &mut self.zone_traffic {
            zone_traffic.record_transfer(route, service, bytes);
        }
    }

    /// Returns the load of a service in each zone that has usable targets of it. Calls that only this node knows of do not
    /// count, so that all nodes of a zone decide alike.
    fn zone_loads(&self, usable: &UsableTargets, now: TimeUs) -> Vec<ZoneLoad> {
        let to_load = |(zone, nodes): (&AvailabilityZone, &[VmId])| {
            let mut load = ZoneLoad { zone: zone.clone(), slots: 0.0, calls: 0.0, hold_us: 0.0 };
            for target in nodes.iter().map(|node| &self.targets[node]) {
                let slots = f64::from(target.report.limit.max(1));
                load.slots += slots;
                load.calls += target.reported_calls(now);
                load.hold_us += (self.hold_us(target) - load.hold_us) * slots / load.slots;
            }
            load
        };
        usable.by_zone().map(to_load).collect()
    }

    /// Chooses a target by the shares of the zones, among those that were usable when the shares were calculated. Returns
    /// `None` without settings for the traffic between zones, and if none of the drawn targets is usable any more.
    fn choose_by_share(
        &self,
        service: &Service,
        own_zone: &AvailabilityZone,
        rng: &mut impl Rng,
        now: TimeUs,
    ) -> Option<VmId> {
        let zone_traffic = self.zone_traffic.as_ref()?;
        let usable = self.usable_targets.get(service)?;
        let zone = zone_traffic.choose_zone(service, rng.random());
        let mut draw = |nodes: &[VmId]| {
            let sampled = nodes.sample(rng, DRAW_SAMPLE).copied();
            let is_heard = |node: &VmId| self.is_usable(*node, now) && !self.contact.is_silent(*node);
            let sample: Vec<_> = sampled.filter(is_heard).map(|node| (node, &self.targets[&node])).collect();
            self.draw(&sample, rng, now).map(|drawn| drawn.node)
        };
        match usable.in_zone(own_zone) {
            [] => draw(usable.all()),
            own => zone.and_then(|zone| draw(usable.in_zone(zone))).or_else(|| draw(own)),
        }
    }

    /// Returns the latest report of a node's target.
    pub fn target_report(&self, node: VmId) -> Option<&TargetReport> {
        self.targets.get(&node).map(|target| &target.report)
    }

    /// Returns what the run of a node's target has said about itself, also if the node itself has not heard it yet.
    pub fn notices(&self, node: VmId) -> Option<TargetNotices> {
        self.noticed_runs.notices(&self.targets.get(&node)?.report)
    }

    /// Returns the runs of targets that are known to leave, by name and start in milliseconds since the Unix epoch.
    pub fn leaving_runs(&self) -> impl Iterator<Item = (&str, i64)> {
        self.noticed_runs.leaving_runs()
    }

    /// Returns the zone of a node that has a target.
    pub fn zone(&self, node: VmId) -> Option<&AvailabilityZone> {
        self.targets.get(&node).map(|target| &target.zone)
    }

    /// Records that a call was sent to a node.
    pub fn record_sent_call(&mut self, node: VmId) {
        if let Some(target) = self.targets.get_mut(&node) {
            target.sent_since_report += 1;
        }
    }

    /// Records that a node answered.
    pub fn record_response(&mut self, node: VmId, now: TimeUs) {
        if let Some(target) = self.targets.get_mut(&node) {
            target.last_contact = now;
            target.consecutive_failures = 0;
        }
    }

    /// Records that a target refused a call for lack of capacity.
    pub fn record_refusal(&mut self, node: VmId, now: TimeUs) {
        if let Some(target) = self.targets.get_mut(&node) {
            target.last_contact = now;
            target.refusal_pause_until = now.plus_ms(REFUSAL_PAUSE_MS);
        }
    }

    /// Records that a node or its target could not be reached.
    pub fn record_failure(&mut self, node: VmId, now: TimeUs) {
        let Some(target) = self.targets.get_mut(&node) else { return };
        let backoff_ms = (MIN_BACKOFF_MS << target.consecutive_failures.min(8)).min(MAX_BACKOFF_MS);
        target.consecutive_failures += 1;
        target.backoff_until = now.plus_ms(backoff_ms);
    }

    /// Returns the number of targets of a service that can be chosen.
    pub fn usable_count(&self, service: &Service, now: TimeUs) -> usize {
        let nodes = self.services.get(service).map_or(&[][..], Vec::as_slice);
        nodes.iter().filter(|node| self.is_usable(**node, now)).count()
    }

    fn is_usable(&self, node: VmId, now: TimeUs) -> bool {
        self.targets.get(&node).is_some_and(|target| self.is_target_usable(target, now))
    }

    fn is_target_usable(&self, target: &ReportedTarget, now: TimeUs) -> bool {
        target.report.ready
            && now >= target.backoff_until
            && now.ms_since(target.last_contact) < CONTACT_TIMEOUT_MS
            && !self.evacuated_zones.contains(&target.zone)
            && !self.noticed_runs.notices(&target.report).is_some_and(|notices| notices.leaving)
    }

    /// Returns the usual time of a call at a target, in microseconds.
    fn hold_us(&self, target: &ReportedTarget) -> f64 {
        let service_us = || self.service_hold_us.get(&target.report.service).copied().unwrap_or(DEFAULT_HOLD_US);
        match target.report.hold_us {
            0 if target.report.cold => service_us() * COLD_HOLD_FACTOR,
            0 => service_us(),
            hold_us => f64::from(hold_us),
        }
    }

    /// Returns the expected time of a call at a target: its usual time there at the present pace, longer the fuller the
    /// target is, in proportion to the queue once all slots are in use, and with the wait for the target's maximum rate.
    fn expected_time_us(&self, target: &ReportedTarget, now: TimeUs) -> f64 {
        let hold_us = self.hold_us(target);
        let calls = target.reported_calls(now) + f64::from(target.sent_since_report);
        let occupancy = (calls + 1.0) / f64::from(target.report.limit.max(1));
        let slowdown = 1.0 + FULL_SLOWDOWN * occupancy.min(1.0).powi(FULLNESS_POWER);
        let refusal_factor = if now < target.refusal_pause_until { REFUSAL_FACTOR } else { 1.0 };
        let time_us = hold_us * target.pace_factor(now) * slowdown * occupancy.max(1.0) * refusal_factor;
        (time_us + target.paced_wait_us()) * target.report.failure_factor()
    }

    /// Draws one of several random nodes, with a probability that falls with the expected time.
    fn draw(&self, targets: &[(VmId, &ReportedTarget)], rng: &mut impl Rng, now: TimeUs) -> Option<DrawnTarget> {
        let drawn = |(node, target): &(VmId, &ReportedTarget)| {
            let expected_us = self.expected_time_us(target, now);
            DrawnTarget { node: *node, expected_us, weight: expected_us.max(1.0).powi(-DRAW_POWER) }
        };
        let sample: Vec<DrawnTarget> = targets.sample(rng, DRAW_SAMPLE).map(drawn).collect();
        let total: f64 = sample.iter().map(|target| target.weight).sum();
        let mut left = rng.random::<f64>() * total;
        let drawn = sample.iter().find(|target| {
            left -= target.weight;
            left < 0.0
        });
        drawn.or(sample.last()).copied()
    }
}

/// A target of a sample.
#[derive(Clone, Copy, Debug)]
struct DrawnTarget {
    node: VmId,
    expected_us: f64,
    /// Its probability to be drawn, in proportion to those of the others.
    weight: f64,
}
