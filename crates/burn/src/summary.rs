//! Summaries of nodes, which merge into one of the fleet.

use fulmartrestle_core::VmId;
use fulmartrestle_derive::{record, value};

use crate::{Counts, Objective, TenantBurn};

/// Width of the fine buckets, in milliseconds.
pub const MINUTE_MS: u64 = 60_000;
/// Width of the coarse buckets, in milliseconds.
pub const COARSE_MS: u64 = 600_000;
/// Coarse buckets of a day, over which the budget runs.
pub const DAY_BUCKETS: u64 = 144;
/// Coarse buckets of the longest window and of the plot: six hours.
pub const SERIES_LEN: u64 = 36;

/// Calls of ten minutes.
#[value]
pub struct SeriesPoint {
    /// Number of the bucket since 1970.
    pub index: u64,
    /// Calls the objective speaks of.
    pub total: u32,
    /// Bad calls among them.
    pub bad: u32,
}

impl SeriesPoint {
    /// Returns the point of one bucket.
    pub fn new(index: u64, counts: &Counts) -> Self {
        let clamp = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
        Self { index, total: clamp(counts.total()), bad: clamp(counts.bad_total()) }
    }
}

/// What one or more nodes know of one route.
#[record]
pub struct RouteSummary {
    /// What the route promises.
    pub objective: Objective,
    /// Calls of the last 5 minutes.
    pub last_5_min: Counts,
    /// Calls of the last 30 minutes.
    pub last_30_min: Counts,
    /// Calls of the last hour.
    pub last_hour: Counts,
    /// Calls of the last 6 hours.
    pub last_6_hours: Counts,
    /// Calls of the last 24 hours.
    pub last_day: Counts,
    /// The last 6 hours in steps of ten minutes, oldest first.
    pub series: Vec<SeriesPoint>,
    /// Tenants with the most bad and over-rate calls, in no order.
    pub tenants: Vec<TenantBurn>,
}

impl RouteSummary {
    fn merge(&mut self, other: &Self) {
        self.last_5_min.add(&other.last_5_min);
        self.last_30_min.add(&other.last_30_min);
        self.last_hour.add(&other.last_hour);
        self.last_6_hours.add(&other.last_6_hours);
        self.last_day.add(&other.last_day);
        self.merge_series(&other.series);
        other.tenants.iter().for_each(|tenant| self.merge_tenant(tenant));
    }

    /// Adds points of the same ten minutes. The buckets' numbers come from wall time, so that nodes
    /// whose summaries were made some seconds apart still line up.
    fn merge_series(&mut self, series: &[SeriesPoint]) {
        for point in series {
            match self.series.binary_search_by_key(&point.index, |own| own.index) {
                Ok(place) => {
                    let own = &mut self.series[place];
                    own.total = own.total.saturating_add(point.total);
                    own.bad = own.bad.saturating_add(point.bad);
                }
                Err(place) => self.series.insert(place, *point),
            }
        }
        let excess = self.series.len().saturating_sub(SERIES_LEN as usize);
        self.series.drain(..excess);
    }

    fn merge_tenant(&mut self, tenant: &TenantBurn) {
        match self.tenants.iter_mut().find(|own| own.tenant == tenant.tenant) {
            Some(own) => {
                own.counts.add(&tenant.counts);
                own.error = own.error.saturating_add(tenant.error);
            }
            None => self.tenants.push(tenant.clone()),
        }
    }
}

/// What one or more nodes know of their routes.
#[record]
pub struct BurnSummary {
    /// When it was made, in milliseconds of Unix time.
    pub wall_ms: u64,
    /// The nodes whose calls are in it.
    pub nodes: Vec<VmId>,
    /// When the first of them started, in milliseconds of Unix time. Nodes keep nothing over a restart.
    pub oldest_start_ms: u64,
    /// When the last of them started, in milliseconds of Unix time.
    pub newest_start_ms: u64,
    /// Calls of routes beyond the bound on routes.
    pub dropped: u64,
    /// The routes, in order of name.
    pub routes: Vec<RouteSummary>,
}

impl BurnSummary {
    /// Adds the calls of other nodes. A summary that holds a node that is in already is left out, so
    /// that a repeated answer isn't counted twice; the result says whether it was taken in.
    pub fn merge(&mut self, other: &Self) -> bool {
        if other.nodes.iter().any(|node| self.nodes.contains(node)) {
            return false;
        }
        self.nodes.extend(&other.nodes);
        self.wall_ms = self.wall_ms.max(other.wall_ms);
        self.oldest_start_ms = self.oldest_start_ms.min(other.oldest_start_ms);
        self.newest_start_ms = self.newest_start_ms.max(other.newest_start_ms);
        self.dropped = self.dropped.saturating_add(other.dropped);
        for route in &other.routes {
            self.merge_route(route);
        }
        true
    }

    fn merge_route(&mut self, route: &RouteSummary) {
        match self.routes.binary_search_by(|own| own.objective.route.cmp(&route.objective.route)) {
            Ok(place) => self.routes[place].merge(route),
            Err(place) => self.routes.insert(place, route.clone()),
        }
    }
}
