//! How the worst-served tenant fares.

use fulmartrestle_derive::local;

/// What one tenant asked for and got.
#[local]
#[derive(Copy)]
pub struct TenantGoodput {
    /// Weight of the tenant, which is its rate.
    pub weight: f64,
    /// Requests that it sent, up to what its rate and burst allow.
    pub demand: f64,
    /// Requests that were answered whole.
    pub answered: f64,
}

/// Returns the smallest ratio of a tenant's goodput to its fair share. The fair shares are the weighted
/// max-min division of the whole goodput: nobody's share is larger than its demand, and what one doesn't
/// ask for goes to the others by weight. Returns 1 when nobody asked for anything.
pub fn worst_tenant_share(tenants: &[TenantGoodput]) -> f64 {
    let goodput = tenants.iter().map(|tenant| tenant.answered).sum();
    let shares = max_min_fair_shares(tenants, goodput);
    let demanding = tenants.iter().zip(shares).filter(|(tenant, _)| tenant.demand > 0.0);
    let ratio = |(tenant, share): (&TenantGoodput, f64)| if share > 0.0 { tenant.answered / share } else { 0.0 };
    demanding.map(ratio).fold(None, |worst: Option<f64>, next| Some(worst.map_or(next, |w| w.min(next)))).unwrap_or(1.0)
}

/// Fills the tenants with the smallest demand for their weight first.
fn max_min_fair_shares(tenants: &[TenantGoodput], goodput: f64) -> Vec<f64> {
    let demand_per_weight = |index: usize| tenants[index].demand / tenants[index].weight.max(f64::MIN_POSITIVE);
    let mut order: Vec<_> = (0..tenants.len()).collect();
    order.sort_by(|left, right| demand_per_weight(*left).total_cmp(&demand_per_weight(*right)));
    let mut shares = vec![0.0; tenants.len()];
    let mut left = goodput;
    let mut weight_left: f64 = tenants.iter().map(|tenant| tenant.weight).sum();
    for index in order {
        let tenant = tenants[index];
        let weighted_share = left * tenant.weight / weight_left.max(f64::MIN_POSITIVE);
        shares[index] = tenant.demand.min(weighted_share);
        left -= shares[index];
        weight_left -= tenant.weight;
    }
    shares
}
