//! The report on service-level burn.

use fulmartrestle_core::{AvailabilityZone, RouteId, Tenant, VmId};
use fulmartrestle_derive::record;

use crate::{BurnError, BurnSettings, BurnSummary, Cause, Counts, RouteSummary, SeriesPoint, TenantBurn, html, text};

/// Tenants listed for each route.
const LISTED_TENANTS: usize = 5;

/// How urgent a route's burn is.
#[record]
#[derive(Copy, Eq, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum BurnStatus {
    /// No calls within the last day.
    NoTraffic,
    /// Neither fast nor slow.
    Ok,
    /// Over the slow rate for 30 minutes and for 6 hours.
    SlowBurn,
    /// Over the fast rate for 5 minutes and for 1 hour.
    FastBurn,
}

impl BurnStatus {
    /// Returns the status as reports show it.
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

/// How much of the bad calls of the last day one cause makes up.
#[record]
pub struct CauseShare {
    /// The cause.
    pub cause: Cause,
    /// Its calls.
    pub calls: u64,
    /// Its share of the bad calls, from 0 to 1.
    pub share: f64,
}

/// A tenant among the worst of a route.
#[record]
pub struct TenantReport {
    /// The tenant.
    pub tenant: Tenant,
    /// Its calls; those of an hour ago weigh half.
    pub counts: Counts,
    /// Bad and over-rate calls that may belong to tenants that are no longer listed.
    pub error: u32,
}

/// The report on one route.
#[record]
pub struct RouteReport {
    /// The route.
    pub route: RouteId,
    /// Share of calls that must get a whole answer in time, in percent.
    pub objective_percent: f64,
    /// The time, in milliseconds.
    pub within_ms: u64,
    /// How urgent the burn is.
    pub status: BurnStatus,
    /// Burn rate over 5 minutes: 1 uses up the day's budget in a day.
    pub burn_5_min: f64,
    /// Burn rate over 30 minutes.
    pub burn_30_min: f64,
    /// Burn rate over 1 hour.
    pub burn_1_hour: f64,
    /// Burn rate over 6 hours.
    pub burn_6_hours: f64,
    /// Share of the last 24 hours' budget that is left; negative when it is overspent.
    pub budget_left: f64,
    /// Calls of the last 24 hours.
    pub last_day: Counts,
    /// What used up the budget, the largest first.
    pub causes: Vec<CauseShare>,
    /// The worst tenants, the worst first.
    pub tenants: Vec<TenantReport>,
    /// The last 6 hours in steps of ten minutes, oldest first.
    pub series: Vec<SeriesPoint>,
}

/// The report on all routes, the worst first.
#[record]
pub struct BurnReport {
    /// When it was made, in milliseconds of Unix time.
    pub wall_ms: u64,
    /// Nodes whose calls are in it.
    pub nodes: usize,
    /// Nodes that could not be asked or did not answer. Their calls are not in the figures.
    pub missing: Vec<MissingNode>,
    /// When the first of the nodes started, in milliseconds of Unix time.
    pub oldest_start_ms: u64,
    /// When the last of the nodes started, in milliseconds of Unix time. Calls that a node took in
    /// before its start are not in the figures.
    pub newest_start_ms: u64,
    /// Calls of routes beyond the bound on routes.
    pub dropped: u64,
    /// Rate from which a burn is fast.
    pub fast_burn_rate: f64,
    /// Rate from which a burn is slow.
    pub slow_burn_rate: f64,
    /// The routes, those that burn fastest first.
    pub routes: Vec<RouteReport>,
}

impl BurnReport {
    /// Returns the report on `summary`, which lacks the `missing` nodes.
    pub fn new(summary: &BurnSummary, missing: Vec<MissingNode>, settings: &BurnSettings) -> Self {
        let mut routes: Vec<_> = summary.routes.iter().map(|route| RouteReport::new(route, settings)).collect();
        let urgency = |route: &RouteReport| (route.status, route.burn_1_hour);
        routes.sort_by(|left, right| urgency(right).partial_cmp(&urgency(left)).unwrap_or(std::cmp::Ordering::Equal));
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

    /// Returns the report as lines of text.
    pub fn to_text(&self) -> String {
        text::render(self)
    }

    /// Returns the report as JSON.
    ///
    /// # Errors
    ///
    /// Returns the writer's error.
    pub fn to_json(&self) -> Result<String, BurnError> {
        Ok(serde_json::to_string_pretty(self)?)
    }

    /// Returns the report as an HTML page that loads nothing from elsewhere and runs no script.
    pub fn to_html(&self) -> String {
        html::render(self)
    }
}

impl RouteReport {
    fn new(route: &RouteSummary, settings: &BurnSettings) -> Self {
        let allowed = route.objective.share.allowed_failure();
        let burn = |counts: &Counts| counts.bad_share() / allowed;
        let mut report = Self {
            route: route.objective.route.clone(),
            objective_percent: route.objective.share.percent(),
            within_ms: route.objective.within_ms,
            status: BurnStatus::NoTraffic,
            burn_5_min: burn(&route.last_5_min),
            burn_30_min: burn(&route.last_30_min),
            burn_1_hour: burn(&route.last_hour),
            burn_6_hours: burn(&route.last_6_hours),
            budget_left: 1.0 - burn(&route.last_day),
            last_day: route.last_day,
            causes: causes_of(&route.last_day),
            tenants: worst_of(&route.tenants),
            series: route.series.clone(),
        };
        report.status = report.status_for(settings);
        report
    }

    /// A long and a short window have to agree: the long one keeps a single bad minute from raising an
    /// alarm, the short one ends the alarm soon after the burn has ended.
    fn status_for(&self, settings: &BurnSettings) -> BurnStatus {
        let is_fast = self.burn_5_min.min(self.burn_1_hour) >= settings.fast_burn_rate;
        let is_slow = self.burn_30_min.min(self.burn_6_hours) >= settings.slow_burn_rate;
        match (self.last_day.total() > 0, is_fast, is_slow) {
            (false, _, _) => BurnStatus::NoTraffic,
            (true, true, _) => BurnStatus::FastBurn,
            (true, false, true) => BurnStatus::SlowBurn,
            (true, false, false) => BurnStatus::Ok,
        }
    }
}

fn causes_of(counts: &Counts) -> Vec<CauseShare> {
    let bad = counts.bad_total();
    let share = |cause: Cause| {
        let calls = u64::from(counts.bad[cause.index()]);
        CauseShare { cause, calls, share: if bad == 0 { 0.0 } else { calls as f64 / bad as f64 } }
    };
    let mut causes: Vec<_> = Cause::ALL.into_iter().map(share).filter(|cause| cause.calls > 0).collect();
    causes.sort_by_key(|cause| std::cmp::Reverse(cause.calls));
    causes
}

fn worst_of(tenants: &[TenantBurn]) -> Vec<TenantReport> {
    let mut tenants: Vec<_> = tenants.iter().filter(|tenant| tenant.weight() > 0).collect();
    tenants.sort_by(|left, right| right.weight().cmp(&left.weight()).then(left.tenant.cmp(&right.tenant)));
    let report = |tenant: &TenantBurn| TenantReport {
        tenant: tenant.tenant.clone(),
        counts: tenant.counts,
        error: tenant.error,
    };
    tenants.into_iter().take(LISTED_TENANTS).map(report).collect()
}
