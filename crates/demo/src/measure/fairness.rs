//! Fairness between tenants.

use fulmartrestle_derive::local;

/// Demand and goodput of one tenant.
#[local]
#[derive(Copy)]
pub struct TenantGoodput {
    /// Weight of the tenant, which is its rate limit.
    pub weight: f64,
    /// Number of requests that it sent, limited to what its rate and burst allow.
    pub demand: f64,
    /// Number of requests with a complete response.
    pub completed: f64,
}

/// Returns the smallest ratio of a tenant's goodput to its fair share. Fair shares are the weighted max-min
/// division of the total goodput: no share exceeds the tenant's demand, and unused capacity is divided
/// among the other tenants by weight. Returns 1 if there is no demand.
pub fn worst_tenant_share(tenants: &[TenantGoodput]) -> f64 {
    let goodput = tenants.iter().map(|tenant| tenant.completed).sum();
    let shares = max_min_fair_shares(tenants, goodput);
    let demanding = tenants.iter().zip(shares).filter(|(tenant, _)| tenant.demand > 0.0);
    let ratio = |(tenant, share): (&TenantGoodput, f64)| if share > 0.0 { tenant.completed / share } else { 0.0 };
    demanding.map(ratio).fold(None, |worst: Option<f64>, next| Some(worst.map_or(next, |w| w.min(next)))).unwrap_or(1.0)
}

/// Computes weighted max-min fair shares by assigning shares in order of demand per weight, smallest first.
fn max_min_fair_shares(tenants: &[TenantGoodput], goodput: f64) -> Vec<f64> {
    let demand_per_weight = |index: usize| tenants[index].demand / tenants[index].weight.max(f64::MIN_POSITIVE);
    let mut order: Vec<_> = (0..tenants.len()).collect();
    order.sort_by(|left, right| demand_per_weight(*left).total_cmp(&demand_per_weight(*right)));
    let mut shares = vec![0.0; tenants.len()];
    let mut remaining_goodput = goodput;
    let mut remaining_weight: f64 = tenants.iter().map(|tenant| tenant.weight).sum();
    for index in order {
        let tenant = tenants[index];
        let weighted_share = remaining_goodput * tenant.weight / remaining_weight.max(f64::MIN_POSITIVE);
        shares[index] = tenant.demand.min(weighted_share);
        remaining_goodput -= shares[index];
        remaining_weight -= tenant.weight;
    }
    shares
}
