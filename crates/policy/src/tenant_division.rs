//! Division of admissions among tenants while capacity is short. See `docs/design/tenant-division.md`.
//!
//! Load pattern: as for [`TenantDemand`], on several routes at the same time.

use fulmartrestle_core::{RouteId, TimeUs};
use rustc_hash::FxHashMap;

use crate::tenant_demand::TenantDemand;
use crate::{ArrivedRequest, Rank};

/// Maximum number of routes and ranks whose tenants are told apart. Requests of others get the share of their route.
const MAX_ROUTES: usize = 64;

/// Divides the admissions of each route and rank among its tenants, by max-min fairness.
#[derive(Debug, Default)]
pub struct TenantDivision {
    routes: FxHashMap<(RouteId, Rank), TenantDemand>,
}

impl TenantDivision {
    /// Counts a request, and returns the share of its tenant's requests that is admitted while `share` of the requests
    /// of its route and rank is.
    pub fn admitted_share(&mut self, request: ArrivedRequest, share: f64, now: TimeUs) -> f64 {
        let key = (request.route.clone(), request.rank);
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(&key) {
            return share;
        }
        self.routes.entry(key).or_default().record_request(request.tenant, share, now)
    }

    /// Returns the number of tenants that are told apart, counted for each route and rank.
    pub fn measured_tenants(&self) -> usize {
        self.routes.values().map(TenantDemand::measured_tenants).sum()
    }
}
