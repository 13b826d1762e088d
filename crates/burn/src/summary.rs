//! Summaries of nodes, which can be merged into a summary of the fleet.

use fulmartrestle_core::VmId;
use fulmartrestle_derive::{record, value};

use crate::{CallCounts, Objective, TenantCounts};

/// Width of the one-minute buckets.
pub const MINUTE_BUCKET_MS: u64 = 60_000;
/// Width of the coarse buckets: ten minutes.
pub const COARSE_BUCKET_MS: u64 = 600_000;
/// Number of coarse buckets in a day, the period of the error budget.
pub const COARSE_BUCKETS_PER_DAY: u64 = 144;
/// Number of coarse buckets in the series: six hours, which is the longest burn rate window.
pub const SERIES_BUCKETS: u64 = 36;

/// Calls of one coarse bucket of ten minutes.
#[value]
pub struct SeriesPoint {
    /// Index of the bucket, counted from the Unix epoch.
    pub index: u64,
    /// Calls that the objective covers.
    pub total: u32,
    /// Bad calls among `total`.
    pub bad: u32,
}

impl SeriesPoint {
    /// Returns the point of the bucket `index` with these counts, which saturate.
    pub fn new(index: u64, counts: &CallCounts) -> Self {
        let saturate = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
        Self { index, total: saturate(counts.total()), bad: saturate(counts.bad_total()) }
    }
}

/// Summary of the calls to one route at one or more nodes.
#[record]
pub struct RouteSummary {
    /// The objective of the route.
    pub objective: Objective,
    /// Calls of the last 5 minutes.
    pub last_5_min: CallCounts,
    /// Calls of the last 30 minutes.
    pub last_30_min: CallCounts,
    /// Calls of the last hour.
    pub last_hour: CallCounts,
    /// Calls of the last 6 hours.
    pub last_6_hours: CallCounts,
    /// Calls of the last 24 hours.
    pub last_day: CallCounts,
    /// Calls of the last 6 hours in buckets of ten minutes, oldest first.
    pub series: Vec<SeriesPoint>,
    /// Tenants with the most bad and over-rate calls, in no particular order.
    pub tenants: Vec<TenantCounts>,
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

    /// Adds the points with the same index. Indexes come from wall time, so that buckets still match if the
    /// summaries of the nodes were made some seconds apart.
    fn merge_series(&mut self, series: &[SeriesPoint]) {
        for point in series {
            match self.series.binary_search_by_key(&point.index, |own| own.index) {
                Ok(position) => {
                    let own = &mut self.series[position];
                    own.total = own.total.saturating_add(point.total);
                    own.bad = own.bad.saturating_add(point.bad);
                }
                Err(position) => self.series.insert(position, *point),
            }
        }
        let excess = self.series.len().saturating_sub(SERIES_BUCKETS as usize);
        self.series.drain(..excess);
    }

    fn merge_tenant(&mut self, tenant: &TenantCounts) {
        match self.tenants.iter_mut().find(|own| own.tenant == tenant.tenant) {
            Some(own) => {
                own.counts.add(&tenant.counts);
                own.error = own.error.saturating_add(tenant.error);
            }
            None => self.tenants.push(tenant.clone()),
        }
    }
}

/// Summary of the calls to all routes at one or more nodes.
#[record]
pub struct BurnSummary {
    /// Time of the summary, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// The nodes whose calls are included.
    pub nodes: Vec<VmId>,
    /// Earliest start of these nodes, in milliseconds since the Unix epoch. A node loses its counts at a restart.
    pub oldest_start_ms: u64,
    /// Latest start of these nodes, in milliseconds since the Unix epoch.
    pub newest_start_ms: u64,
    /// Calls that were not recorded because their routes exceeded the maximum number of routes.
    pub dropped: u64,
    /// The routes, ordered by name.
    pub routes: Vec<RouteSummary>,
}

impl BurnSummary {
    /// Adds the calls of other nodes and returns whether they were added. A summary that includes a node which
    /// this one already includes is ignored, so that a repeated response isn't counted twice.
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
            Ok(position) => self.routes[position].merge(route),
            Err(position) => self.routes.insert(position, route.clone()),
        }
    }
}
