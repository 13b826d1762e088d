//! Choice among targets whose nodes report their load. See `docs/TARGET-CHOICE.md`.
//!
//! Load pattern: a few targets of unlike speed, called from every node at once. Reports are up to a
//! second old, so that all callers would run to the same least loaded target; of two drawn at random
//! the better one is taken, and calls sent since the last report count as load.

use std::collections::HashMap;

use fulmartrestle_core::{AvailabilityZone, Service, TimeUs, VmId};
use fulmartrestle_derive::record;
use rand::{Rng, RngExt};

/// Hold time that is assumed before one was reported, in microseconds.
const INITIAL_HOLD_US: f64 = 50_000.0;

/// Factor of the hold time of a target that is still warming up, before its own is known.
const COLD_FACTOR: f64 = 2.0;

/// Share of its slots in use from which on other zones are considered.
const BUSY_LOAD: f64 = 0.75;

/// How many times shorter the wait in another zone must be. Bytes between zones cost money.
const SPILL_FACTOR: f64 = 1.5;

/// Time without a word from a node after which its target is not chosen, in milliseconds: two lost
/// status messages and some delay.
const SILENT_MS: u64 = 2_600;

/// Shortest and longest pause after a node could not be reached, in milliseconds.
const MIN_BACKOFF_MS: u64 = 150;
const MAX_BACKOFF_MS: u64 = 2_000;

/// Time for which a target that refused a call for lack of room is chosen only for want of others, in
/// milliseconds. It stays usable: a gate that is not asked can't tell how much is asked of it.
const REFUSED_PAUSE_MS: u64 = 40;

/// Factor of the wait at a target that refused a call a moment ago.
const REFUSED_FACTOR: f64 = 3.0;

/// A target as its node reports it.
#[record]
pub struct TargetReport {
    /// The service that it offers.
    pub service: Service,
    /// The run of the target, which the target checks with each call.
    pub instance: String,
    /// Whether it takes calls.
    pub ready: bool,
    /// Calls that may run at one time.
    pub limit: u32,
    /// Calls that run.
    pub running: u32,
    /// Calls that wait at the gate.
    pub waiting: u32,
    /// Mean time for which a call holds its slot, in microseconds; zero when unknown.
    pub hold_us: u32,
    /// Whether it has just started and is slow.
    pub cold: bool,
}

#[derive(Debug)]
struct Row {
    zone: AvailabilityZone,
    report: TargetReport,
    sent_since: u32,
    heard: TimeUs,
    failures: u32,
    avoided_until: TimeUs,
    refused_until: TimeUs,
}

/// Targets of all services as this node knows them.
#[derive(Debug, Default)]
pub struct LoadBalancer {
    rows: HashMap<VmId, Row>,
    services: HashMap<Service, Vec<VmId>>,
    hold_us: HashMap<Service, f64>,
}

impl LoadBalancer {
    /// Takes a report about a node's target, or that it has none.
    pub fn record_report(&mut self, node: VmId, zone: &AvailabilityZone, report: Option<TargetReport>, now: TimeUs) {
        let Some(report) = report else { return self.remove(node) };
        if report.hold_us > 0 {
            self.hold_us.insert(report.service.clone(), f64::from(report.hold_us));
        }
        match self.rows.get_mut(&node) {
            Some(row) if row.report.service == report.service => {
                row.report = report;
                row.sent_since = 0;
                row.heard = now;
            }
            _ => {
                self.remove(node);
                self.services.entry(report.service.clone()).or_default().push(node);
                let row = Row {
                    zone: zone.clone(),
                    report,
                    sent_since: 0,
                    heard: now,
                    failures: 0,
                    avoided_until: now,
                    refused_until: now,
                };
                self.rows.insert(node, row);
            }
        }
    }

    /// Forgets a node.
    pub fn remove(&mut self, node: VmId) {
        let Some(row) = self.rows.remove(&node) else { return };
        if let Some(nodes) = self.services.get_mut(&row.report.service) {
            nodes.retain(|other| *other != node);
        }
    }

    /// Chooses the node of a target of `service` that is not among `tried`.
    pub fn choose_target(
        &self,
        service: &Service,
        own_zone: &AvailabilityZone,
        tried: &[VmId],
        rng: &mut impl Rng,
        now: TimeUs,
    ) -> Option<VmId> {
        let nodes = self.services.get(service)?;
        let usable = |node: &VmId| !tried.contains(node) && self.is_usable(*node, now);
        let (near, far): (Vec<VmId>, Vec<VmId>) =
            nodes.iter().copied().filter(usable).partition(|node| self.rows[node].zone == *own_zone);
        let best_near = self.better_of_two(&near, rng, now);
        if let Some(node) = best_near
            && self.occupancy(node) < BUSY_LOAD
            && now >= self.rows[&node].refused_until
        {
            return Some(node);
        }
        let best_far = self.better_of_two(&far, rng, now);
        match (best_near, best_far) {
            (Some(near), Some(far)) if self.wait_us(far, now) * SPILL_FACTOR < self.wait_us(near, now) => Some(far),
            (near, far) => near.or(far),
        }
    }

    /// Returns the report of a node's target.
    pub fn target_report(&self, node: VmId) -> Option<&TargetReport> {
        self.rows.get(&node).map(|row| &row.report)
    }

    /// Returns the zone of a node.
    pub fn zone(&self, node: VmId) -> Option<&AvailabilityZone> {
        self.rows.get(&node).map(|row| &row.zone)
    }

    /// Notes that a call was sent.
    pub fn record_sent_call(&mut self, node: VmId) {
        if let Some(row) = self.rows.get_mut(&node) {
            row.sent_since += 1;
        }
    }

    /// Notes that a node answered.
    pub fn record_answer(&mut self, node: VmId, now: TimeUs) {
        if let Some(row) = self.rows.get_mut(&node) {
            row.heard = now;
            row.failures = 0;
        }
    }

    /// Notes that a target had no room.
    pub fn record_refusal(&mut self, node: VmId, now: TimeUs) {
        if let Some(row) = self.rows.get_mut(&node) {
            row.heard = now;
            row.refused_until = now.plus_ms(REFUSED_PAUSE_MS);
        }
    }

    /// Notes that a node or its target could not be reached.
    pub fn record_failure(&mut self, node: VmId, now: TimeUs) {
        let Some(row) = self.rows.get_mut(&node) else { return };
        let backoff_ms = (MIN_BACKOFF_MS << row.failures.min(8)).min(MAX_BACKOFF_MS);
        row.failures += 1;
        row.avoided_until = now.plus_ms(backoff_ms);
    }

    /// Returns how many targets of a service can be chosen.
    pub fn usable_count(&self, service: &Service, now: TimeUs) -> usize {
        let nodes = self.services.get(service).map_or(&[][..], Vec::as_slice);
        nodes.iter().filter(|node| self.is_usable(**node, now)).count()
    }

    fn is_usable(&self, node: VmId, now: TimeUs) -> bool {
        let Some(row) = self.rows.get(&node) else { return false };
        row.report.ready && now >= row.avoided_until && now.ms_since(row.heard) < SILENT_MS
    }

    fn occupancy(&self, node: VmId) -> f64 {
        let row = &self.rows[&node];
        let load = row.report.running + row.report.waiting + row.sent_since;
        f64::from(load) / f64::from(row.report.limit.max(1))
    }

    fn wait_us(&self, node: VmId, now: TimeUs) -> f64 {
        let row = &self.rows[&node];
        let service_us = self.hold_us.get(&row.report.service).copied().unwrap_or(INITIAL_HOLD_US);
        let hold_us = match row.report.hold_us {
            0 if row.report.cold => service_us * COLD_FACTOR,
            0 => service_us,
            hold_us => f64::from(hold_us),
        };
        let factor = if now < row.refused_until { REFUSED_FACTOR } else { 1.0 };
        factor * hold_us * (self.occupancy(node) + f64::from(row.report.limit.max(1)).recip())
    }

    fn better_of_two(&self, nodes: &[VmId], rng: &mut impl Rng, now: TimeUs) -> Option<VmId> {
        if nodes.len() < 2 {
            return nodes.first().copied();
        }
        let place = rng.random_range(0..nodes.len());
        let step = rng.random_range(1..nodes.len());
        let (first, second) = (nodes[place], nodes[(place + step) % nodes.len()]);
        Some(if self.wait_us(second, now) < self.wait_us(first, now) { second } else { first })
    }
}
