//! Outcomes of calls to one route, as recorded by one node.

use fulmartrestle_core::Tenant;

use crate::ring::Ring;
use crate::summary::{COARSE_BUCKET_MS, COARSE_BUCKETS_PER_DAY, MINUTE_BUCKET_MS, SERIES_BUCKETS};
use crate::top_tenants::TopTenants;
use crate::{CallCounts, CallOutcome, Cause, Objective, RouteSummary, SeriesPoint};

/// Number of one-minute buckets. The longest window that is read from them is an hour.
const MINUTE_BUCKETS: usize = 60;
/// Interval at which the counts of the tenants are halved.
const HALVING_INTERVAL_MS: u64 = 3_600_000;

/// Call counts of one route by time and by tenant.
#[derive(Clone, Debug)]
pub struct RouteBurn {
    pub objective: Objective,
    minute_buckets: Ring,
    coarse_buckets: Ring,
    tenants: TopTenants,
    last_halving_ms: u64,
}

impl RouteBurn {
    /// Returns an empty record of a route, created at `wall_ms`.
    pub fn new(objective: Objective, tenants_per_route: usize, wall_ms: u64) -> Self {
        Self {
            objective,
            minute_buckets: Ring::new(MINUTE_BUCKET_MS, MINUTE_BUCKETS),
            coarse_buckets: Ring::new(COARSE_BUCKET_MS, COARSE_BUCKETS_PER_DAY as usize),
            tenants: TopTenants::new(tenants_per_route),
            last_halving_ms: wall_ms,
        }
    }

    /// Counts a call that ended at `wall_ms`. A good call is counted for its tenant only if the tenant is tracked.
    pub fn record(&mut self, tenant: Option<&Tenant>, outcome: CallOutcome, wall_ms: u64) {
        let effect = BudgetEffect::from_outcome(outcome, self.objective.within_ms);
        effect.add_to(self.minute_buckets.bucket_mut(wall_ms));
        effect.add_to(self.coarse_buckets.bucket_mut(wall_ms));
        if wall_ms.abs_diff(self.last_halving_ms) >= HALVING_INTERVAL_MS {
            self.tenants.halve();
            self.last_halving_ms = wall_ms;
        }
        let Some(tenant) = tenant else { return };
        let counts = if effect == BudgetEffect::Good {
            self.tenants.get_mut(tenant)
        } else {
            self.tenants.get_or_insert(tenant)
        };
        if let Some(counts) = counts {
            effect.add_to(counts);
        }
    }

    /// Returns the summary at `wall_ms`.
    pub fn summary(&self, wall_ms: u64) -> RouteSummary {
        let last_index = wall_ms / COARSE_BUCKET_MS;
        let first_index = last_index.saturating_sub(SERIES_BUCKETS - 1);
        RouteSummary {
            objective: self.objective.clone(),
            last_5_min: self.minute_buckets.sum_last(wall_ms, 5),
            last_30_min: self.minute_buckets.sum_last(wall_ms, 30),
            last_hour: self.minute_buckets.sum_last(wall_ms, 60),
            last_6_hours: self.coarse_buckets.sum_last(wall_ms, SERIES_BUCKETS),
            last_day: self.coarse_buckets.sum_last(wall_ms, COARSE_BUCKETS_PER_DAY),
            series: (first_index..=last_index)
                .map(|index| SeriesPoint::new(index, &self.coarse_buckets.bucket(index)))
                .collect(),
            tenants: self.tenants.entries().to_vec(),
        }
    }

    /// Returns the heap memory in use, in bytes.
    pub fn heap_bytes(&self) -> usize {
        self.minute_buckets.heap_bytes() + self.coarse_buckets.heap_bytes() + self.tenants.heap_bytes()
    }
}

/// How a call counts against the error budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BudgetEffect {
    Good,
    OverRate,
    Bad(Cause),
}

impl BudgetEffect {
    /// Classifies an outcome; `within_ms` is the time of the objective.
    fn from_outcome(outcome: CallOutcome, within_ms: u64) -> Self {
        match outcome {
            CallOutcome::Complete { latency_us } if latency_us <= within_ms.saturating_mul(1_000) => Self::Good,
            CallOutcome::Complete { .. } | CallOutcome::Late => Self::Bad(Cause::Late),
            CallOutcome::Shed => Self::Bad(Cause::Shed),
            CallOutcome::OverRate => Self::OverRate,
            CallOutcome::Failed => Self::Bad(Cause::Failed),
            CallOutcome::NotRun => Self::Bad(Cause::NotRun),
        }
    }

    fn add_to(self, counts: &mut CallCounts) {
        let counter = match self {
            Self::Good => &mut counts.good,
            Self::OverRate => &mut counts.over_rate,
            Self::Bad(cause) => &mut counts.bad[cause.index()],
        };
        *counter = counter.saturating_add(1);
    }
}
