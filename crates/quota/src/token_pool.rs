//! Tenants' rates as equal slices that nodes move between them. See `docs/RATES.md`.
//!
//! Load pattern: a tenant's requests come unevenly to many nodes, some of which are cut off from the
//! others. Each node earns an equal slice of the rate; a node that runs short asks others, which take
//! the tokens out of their own slice before they answer. A lost answer loses tokens, so that the sum
//! over all nodes never exceeds the tenant's rate and burst, whoever is cut off from whom.

use std::collections::HashMap;

use fulmartrestle_core::{Tenant, TimeUs};
use fulmartrestle_derive::value;

use crate::TenantRate;

const MICRO: f64 = 1e6;

/// Share of the operator's slack by which all slices together are raised. A slice of a burst below one token
/// could never admit a request by itself; the rest of the slack is for requests that are on their way.
const RAISED_SHARE: f64 = 0.6;

/// Time within which a request counts as recent demand of its tenant, in microseconds. A lender with
/// recent demand keeps a token for itself.
const RECENT_US: u64 = 500_000;

/// Shortest and longest hint when to come back, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 50;
const MAX_RETRY_AFTER_MS: u64 = 3_000;

/// Whether a request may go on.
#[value]
pub enum TokenDecision {
    /// It may; its token is spent.
    Granted,
    /// There is no token here; others may have one.
    Insufficient {
        /// When this node will have earned one by itself, in milliseconds.
        retry_after_ms: u64,
    },
}

#[derive(Debug)]
struct Row {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    filled: TimeUs,
    asked: Option<TimeUs>,
}

/// One node's tokens of all tenants.
#[derive(Debug, Default)]
pub struct TokenPool {
    rows: HashMap<Tenant, Row>,
    fleet: Fleet,
}

/// Among how many nodes the rates are shared, and the tokens by which all slices together are raised.
#[derive(Clone, Copy, Debug, Default)]
struct Fleet {
    nodes: usize,
    raised: f64,
}

impl TokenPool {
    /// Takes the rates of a new configuration. Tenants start with nothing, or with their slice of the
    /// burst when the whole fleet starts for the first time.
    pub fn set_rates(&mut self, rates: &[TenantRate], first_start: bool, now: TimeUs) {
        self.fill_all(now);
        let mut old = std::mem::take(&mut self.rows);
        for rate in rates.iter().filter(|rate| rate.rate_per_s.0 > 0) {
            let mut row = old.remove(&rate.tenant).unwrap_or(Row {
                rate_per_s: 0.0,
                burst: 0.0,
                level: if first_start { f64::INFINITY } else { 0.0 },
                filled: now,
                asked: None,
            });
            row.rate_per_s = rate.rate_per_s.0 as f64;
            row.burst = rate.burst.0 as f64;
            row.level = row.level.min(row.cap(self.fleet));
            self.rows.insert(rate.tenant.clone(), row);
        }
    }

    /// Sets among how many nodes the rates are shared, zero while this node has no slice yet, and by how many
    /// requests of one tenant the whole fleet may exceed its rate and burst.
    pub fn set_fleet_size(&mut self, nodes: usize, slack: f64, now: TimeUs) {
        let fleet = Fleet { nodes, raised: slack * RAISED_SHARE };
        if nodes != self.fleet.nodes || fleet.raised != self.fleet.raised {
            self.fill_all(now);
            self.fleet = fleet;
            self.rows.values_mut().for_each(|row| row.level = row.level.min(row.cap(fleet)));
        }
    }

    /// Takes a token for a request.
    pub fn take(&mut self, tenant: &Tenant, now: TimeUs) -> TokenDecision {
        let fleet = self.fleet;
        let Some(row) = self.rows.get_mut(tenant) else { return TokenDecision::Granted };
        row.fill(fleet, now);
        row.asked = Some(now);
        if row.level >= 1.0 {
            row.level -= 1.0;
            return TokenDecision::Granted;
        }
        TokenDecision::Insufficient { retry_after_ms: row.retry_after_ms(fleet) }
    }

    /// Puts a token back whose request was refused and has not run.
    pub fn return_token(&mut self, tenant: &Tenant, now: TimeUs) {
        self.transfer_in(tenant, 1.0, now);
    }

    /// Takes tokens out for another node: what it wants, less what this node's own callers need now.
    pub fn transfer_out(&mut self, tenant: &Tenant, wanted: f64, now: TimeUs) -> f64 {
        let fleet = self.fleet;
        let Some(row) = self.rows.get_mut(tenant) else { return 0.0 };
        row.fill(fleet, now);
        let in_demand = row.asked.is_some_and(|asked| now.us_since(asked) < RECENT_US);
        let spare = if in_demand { row.level - 1.0 } else { row.level };
        let given = wanted.min(spare).max(0.0);
        row.level -= given;
        given
    }

    /// Adds tokens that another node gave.
    pub fn transfer_in(&mut self, tenant: &Tenant, given: f64, now: TimeUs) {
        let fleet = self.fleet;
        let Some(row) = self.rows.get_mut(tenant) else { return };
        row.fill(fleet, now);
        let room = row.cap(fleet).max(2.0);
        row.level = (row.level + given).min(row.level.max(room));
    }

    fn fill_all(&mut self, now: TimeUs) {
        let fleet = self.fleet;
        self.rows.values_mut().for_each(|row| row.fill(fleet, now));
    }
}

impl Row {
    /// Returns the most tokens that this node earns up to.
    fn cap(&self, fleet: Fleet) -> f64 {
        let nodes = fleet.nodes.max(1) as f64;
        let slice = self.burst / nodes;
        slice.max((slice + fleet.raised / nodes).min(1.0))
    }

    fn fill(&mut self, fleet: Fleet, now: TimeUs) {
        let elapsed_us = now.us_since(self.filled);
        self.filled = self.filled.max(now);
        if fleet.nodes == 0 {
            return;
        }
        let earned = self.rate_per_s / fleet.nodes as f64 * elapsed_us as f64 / MICRO;
        let cap = self.cap(fleet);
        if self.level < cap {
            self.level = (self.level + earned).min(cap);
        }
    }

    fn retry_after_ms(&self, fleet: Fleet) -> u64 {
        let per_ms = self.rate_per_s / fleet.nodes.max(1) as f64 / 1e3;
        let missing_ms = (1.0 - self.level).max(0.0) / per_ms.max(f64::MIN_POSITIVE);
        (missing_ms as u64).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
    }
}
