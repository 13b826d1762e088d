//! What one node knows of one route.

use fulmartrestle_core::Tenant;

use crate::ring::Ring;
use crate::summary::{COARSE_MS, DAY_BUCKETS, MINUTE_MS, SERIES_LEN};
use crate::tenant_top::TenantTop;
use crate::{CallOutcome, Cause, Counts, Objective, RouteSummary, SeriesPoint};

/// Minute buckets: the longest window that is read from them is an hour.
const MINUTE_BUCKETS: usize = 60;
/// Interval at which the tenants' counts are halved, in milliseconds.
const HALVING_INTERVAL_MS: u64 = 3_600_000;

/// The rings and tenants of one route.
#[derive(Clone, Debug)]
pub struct RouteBurn {
    pub objective: Objective,
    minutes: Ring,
    coarse: Ring,
    tenants: TenantTop,
    halved_ms: u64,
}

impl RouteBurn {
    /// Returns an empty entry.
    pub fn new(objective: Objective, tenants_per_route: usize, wall_ms: u64) -> Self {
        Self {
            objective,
            minutes: Ring::new(MINUTE_MS, MINUTE_BUCKETS),
            coarse: Ring::new(COARSE_MS, DAY_BUCKETS as usize),
            tenants: TenantTop::new(tenants_per_route),
            halved_ms: wall_ms,
        }
    }

    /// Counts one call.
    pub fn record(&mut self, tenant: Option<&Tenant>, result: CallOutcome, wall_ms: u64) {
        let end = End::of(result, self.objective.within_ms);
        end.count(self.minutes.at(wall_ms));
        end.count(self.coarse.at(wall_ms));
        if wall_ms.abs_diff(self.halved_ms) >= HALVING_INTERVAL_MS {
            self.tenants.halve();
            self.halved_ms = wall_ms;
        }
        let Some(tenant) = tenant else { return };
        let counts = if end == End::Good { self.tenants.known(tenant) } else { self.tenants.admit(tenant) };
        if let Some(counts) = counts {
            end.count(counts);
        }
    }

    /// Returns the summary as of `wall_ms`.
    pub fn summary(&self, wall_ms: u64) -> RouteSummary {
        let newest = wall_ms / COARSE_MS;
        let first = newest.saturating_sub(SERIES_LEN - 1);
        RouteSummary {
            objective: self.objective.clone(),
            last_5_min: self.minutes.sum(wall_ms, 5),
            last_30_min: self.minutes.sum(wall_ms, 30),
            last_hour: self.minutes.sum(wall_ms, 60),
            last_6_hours: self.coarse.sum(wall_ms, SERIES_LEN),
            last_day: self.coarse.sum(wall_ms, DAY_BUCKETS),
            series: (first..=newest).map(|index| SeriesPoint::new(index, &self.coarse.get(index))).collect(),
            tenants: self.tenants.entries().to_vec(),
        }
    }

    /// Returns the bytes held on the heap.
    pub fn size_bytes(&self) -> usize {
        self.minutes.size_bytes() + self.coarse.size_bytes() + self.tenants.size_bytes()
    }
}

/// How a call counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Good,
    OverRate,
    Bad(Cause),
}

impl End {
    fn of(result: CallOutcome, within_ms: u64) -> Self {
        match result {
            CallOutcome::Complete { latency_us } if latency_us <= within_ms.saturating_mul(1_000) => Self::Good,
            CallOutcome::Complete { .. } | CallOutcome::Late => Self::Bad(Cause::Late),
            CallOutcome::Shed => Self::Bad(Cause::Shed),
            CallOutcome::OverRate => Self::OverRate,
            CallOutcome::Failed => Self::Bad(Cause::Failed),
            CallOutcome::NotRun => Self::Bad(Cause::NotRun),
        }
    }

    fn count(self, counts: &mut Counts) {
        let counter = match self {
            Self::Good => &mut counts.good,
            Self::OverRate => &mut counts.over_rate,
            Self::Bad(cause) => &mut counts.bad[cause.index()],
        };
        *counter = counter.saturating_add(1);
    }
}
