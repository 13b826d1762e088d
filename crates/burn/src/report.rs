//! The burn report.

use fulmartrestle_core::{AvailabilityZone, RouteId, Tenant, VmId};
use fulmartrestle_derive::record;

use crate::{
    BurnError, BurnSettings, BurnSummary, CallCounts, Cause, RouteSummary, SeriesPoint, TenantCounts, html, text,
};

/// Maximum number of tenants that are listed for a route.
const MAX_LISTED_TENANTS: usize = 5;

/// How urgent the burn of a route is, in order of urgency.
#[record]
#[derive(Copy, Eq, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum BurnStatus {
    /// No calls within the last 24 hours.
    NoTraffic,
    /// The burn is neither fast nor slow.
    Ok,
    /// The burn rates over 30 minutes and over 6 hours have reached the slow burn rate.
    SlowBurn,
    /// The burn rates over 5 minutes and over 1 hour have reached the fast burn rate.
    FastBurn,
}

impl BurnStatus {
    /// Returns the name of the status in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoTraffic => "no traffic",
            Self::Ok => "ok",
            Self::SlowBurn => "slow burn",
            Self::FastBurn => "fast burn",
        }
    }
}

/// A node whose calls are missing from a report.
#[record]
pub struct MissingNode {
    /// The node.
    pub vm: VmId,
    /// Its zone.
    pub zone: AvailabilityZone,
}

/// The part of the bad calls of the last 24 hours that is due to one cause.
#[record]
pub struct CauseShare {
    /// The cause of these calls.
    pub cause: Cause,
    /// Number of bad calls with this cause.
    pub calls: u64,
    /// Share of all bad calls, from 0 to 1.
    pub share: f64,
}

/// One of the tenants of a route with the most bad and over-rate calls.
#[record]
pub struct TenantReport {
    /// The tenant.
    pub tenant: Tenant,
    /// Its calls. The counts are halved every hour.
    pub counts: CallCounts,
    /// Bad and over-rate calls that may belong to tenants that are no longer tracked. The tenant itself has at
    /// most this many more than `counts`.
    pub error: u32,
}

/// The report on one route.
#[record]
pub struct RouteReport {
    /// The route.
    pub route: RouteId,
    /// Share of calls that must get a complete response in time, in percent.
    pub objective_percent: f64,
    /// Time within which a complete response counts as good, in milliseconds.
    pub within_ms: u64,
    /// How urgent the burn of the route is.
    pub status: BurnStatus,
    /// Burn rate over 5 minutes. A rate of 1 consumes the day's error budget in a day.
    pub burn_5_min: f64,
    /// Burn rate over 30 minutes.
    pub burn_30_min: f64,
    /// Burn rate over 1 hour.
    pub burn_1_hour: f64,
    /// Burn rate over 6 hours.
    pub burn_6_hours: f64,
    /// Share of the error budget of the last 24 hours that is left; negative if it is overspent.
    pub budget_left: f64,
    /// Calls of the last 24 hours.
    pub last_day: CallCounts,
    /// Causes of the bad calls of the last 24 hours, the most frequent first.
    pub causes: Vec<CauseShare>,
    /// Tenants with the most bad and over-rate calls, the worst first.
    pub tenants: Vec<TenantReport>,
    /// Calls of the last 6 hours in buckets of ten minutes, oldest first.
    pub series: Vec<SeriesPoint>,
}

/// The burn report on all routes.
#[record]
pub struct BurnReport {
    /// Time of the report, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Number of nodes whose calls are included.
    pub nodes: usize,
    /// Nodes that couldn't be queried or didn't respond. Their calls are not included.
    pub missing: Vec<MissingNode>,
    /// Earliest start of the included nodes, in milliseconds since the Unix epoch.
    pub oldest_start_ms: u64,
    /// Latest start of the included nodes, in milliseconds since the Unix epoch. A node loses its counts at a
    /// restart, so that calls before its start are not included.
    pub newest_start_ms: u64,
    /// Calls that were not recorded because their routes exceeded [`BurnSettings::max_routes`].
    pub dropped: u64,
    /// Burn rate from which a burn counts as fast.
    pub fast_burn_rate: f64,
    /// Burn rate from which a burn counts as slow.
    pub slow_burn_rate: f64,
    /// The routes, the most urgent status first and within a status the highest burn rate over 1 hour first.
    pub routes: Vec<RouteReport>,
}

impl BurnReport {
    /// Returns the report on `summary`, which doesn't include the `missing` nodes.
    pub fn new(summary: &BurnSummary, missing: Vec<MissingNode>, settings: &BurnSettings) -> Self {
        let mut routes: Vec<_> = summary.routes.iter().map(|route| RouteReport::new(route, settings)).collect();
        let sort_key = |route: &RouteReport| (route.status, route.burn_1_hour);
        routes.sort_by(|left, right| sort_key(right).partial_cmp(&sort_key(left)).unwrap_or(std::cmp::Ordering::Equal));
        Self {
            wall_ms: summary.wall_ms,
            nodes: summary.nodes.len(),
            missing,
            oldest_start_ms: summary.oldest_start_ms,
            newest_start_ms: summary.newest_start_ms,
            dropped: summary.dropped,
            fast_burn_rate: settings.fast_burn_rate,
            slow_burn_rate: settings.slow_burn_rate,
            routes,
        }
    }

    /// Returns the report as plain text.
    pub fn to_text(&self) -> String {
        text::render(self)
    }

    /// Returns the report as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`BurnError::Json`] if the report can't be serialized.
    pub fn to_json(&self) -> Result<String, BurnError> {
        Ok(serde_json::to_string_pretty(self)?)
    }

    /// Returns the report as an HTML page without external resources and scripts.
    pub fn to_html(&self) -> String {
        html::render(self)
    }
}

impl RouteReport {
    fn new(route: &RouteSummary, settings: &BurnSettings) -> Self {
        let allowed_share = route.objective.share.allowed_failure_share();
        let burn_rate = |counts: &CallCounts| counts.bad_share() / allowed_share;
        let mut report = Self {
            route: route.objective.route.clone(),
            objective_percent: route.objective.share.percent(),
            within_ms: route.objective.within_ms,
            status: BurnStatus::NoTraffic,
            burn_5_min: burn_rate(&route.last_5_min),
            burn_30_min: burn_rate(&route.last_30_min),
            burn_1_hour: burn_rate(&route.last_hour),
            burn_6_hours: burn_rate(&route.last_6_hours),
            budget_left: 1.0 - burn_rate(&route.last_day),
            last_day: route.last_day,
            causes: cause_shares(&route.last_day),
            tenants: worst_tenants(&route.tenants),
            series: route.series.clone(),
        };
        report.status = report.burn_status(settings);
        report
    }

    /// Returns the status for which both a long and a short window reach the burn rate. The long window keeps a
    /// single bad minute from raising an alarm, the short one ends the alarm soon after the burn has ended.
    fn burn_status(&self, settings: &BurnSettings) -> BurnStatus {
        let is_fast_burn = self.burn_5_min.min(self.burn_1_hour) >= settings.fast_burn_rate;
        let is_slow_burn = self.burn_30_min.min(self.burn_6_hours) >= settings.slow_burn_rate;
        match (self.last_day.total() > 0, is_fast_burn, is_slow_burn) {
            (false, _, _) => BurnStatus::NoTraffic,
            (true, true, _) => BurnStatus::FastBurn,
            (true, false, true) => BurnStatus::SlowBurn,
            (true, false, false) => BurnStatus::Ok,
        }
    }
}

/// Returns the share of each cause with bad calls, the largest first.
fn cause_shares(counts: &CallCounts) -> Vec<CauseShare> {
    let bad = counts.bad_total();
    let share = |cause: Cause| {
        let calls = u64::from(counts.bad[cause.index()]);
        CauseShare { cause, calls, share: if bad == 0 { 0.0 } else { calls as f64 / bad as f64 } }
    };
    let mut causes: Vec<_> = Cause::ALL.into_iter().map(share).filter(|cause| cause.calls > 0).collect();
    causes.sort_by_key(|cause| std::cmp::Reverse(cause.calls));
    causes
}

/// Returns the tenants with the highest weight, the worst first.
fn worst_tenants(tenants: &[TenantCounts]) -> Vec<TenantReport> {
    let mut tenants: Vec<_> = tenants.iter().filter(|tenant| tenant.weight() > 0).collect();
    tenants.sort_by(|left, right| right.weight().cmp(&left.weight()).then(left.tenant.cmp(&right.tenant)));
    let report = |tenant: &TenantCounts| TenantReport {
        tenant: tenant.tenant.clone(),
        counts: tenant.counts,
        error: tenant.error,
    };
    tenants.into_iter().take(MAX_LISTED_TENANTS).map(report).collect()
}
