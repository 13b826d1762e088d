//! Checks of single changes that need no configuration.

use super::{Change, PlanFault};
use crate::fleet::{KeyId, ObjectiveRow, RouteRow, SharePerMillion, TenantRow};

const MAX_PATH_PREFIX_BYTES: usize = 512;

/// Most services behind a route's first one: chains are up to 12 deep and may fan out.
const MAX_CHAIN_SERVICES: usize = 64;

/// Most tenants on a route's list.
const MAX_ROUTE_TENANTS: usize = 1_000;

/// Longest timeout of a route, one hour, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

pub(super) fn check_change(change: &Change) -> Result<(), PlanFault> {
    match change {
        Change::PutTenant(row) => check_tenant(row),
        Change::PutRoute(row) => check_route(row),
        Change::PutObjective(row) => check_objective(row),
        Change::PutKey(row) if row.key_id != KeyId::from_hash(&row.hash) => {
            Err(PlanFault::invalid("key_id", &row.key_id, "the name does not belong to the hash"))
        }
        Change::PutKey(row) if row.withdrawn => {
            Err(PlanFault::invalid("withdrawn", true, "a key can't be granted as withdrawn"))
        }
        _ => Ok(()),
    }
}

fn check_tenant(row: &TenantRow) -> Result<(), PlanFault> {
    if row.burst.0 == 0 {
        return Err(PlanFault::invalid("burst", row.burst, "expected at least 1"));
    }
    if row.weight.0 == 0 {
        return Err(PlanFault::invalid("weight", row.weight, "expected at least 1"));
    }
    Ok(())
}

fn check_route(row: &RouteRow) -> Result<(), PlanFault> {
    check_path_prefix(&row.path_prefix)?;
    if row.timeout_ms == 0 || row.timeout_ms > MAX_TIMEOUT_MS {
        return Err(PlanFault::invalid("timeout_ms", row.timeout_ms, "expected 1 to 3600000"));
    }
    if row.at_most_once && row.retryable {
        return Err(PlanFault::invalid("retryable", true, "a route that runs at most once can't be retried"));
    }
    if row.at_most_once && row.open_to_all {
        return Err(PlanFault::invalid("open_to_all", true, "claims of at-most-once calls need a tenant"));
    }
    if row.chain.len() > MAX_CHAIN_SERVICES {
        return Err(PlanFault::invalid("chain", row.chain.len(), "expected at most 64 services"));
    }
    if row.tenants.as_ref().is_some_and(|tenants| tenants.len() > MAX_ROUTE_TENANTS) {
        return Err(PlanFault::invalid("tenants", "the list", "expected at most 1000 tenants"));
    }
    Ok(())
}

fn check_path_prefix(prefix: &str) -> Result<(), PlanFault> {
    let printable = prefix.bytes().all(|byte| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#'));
    let rooted = prefix.starts_with('/') && (prefix == "/" || !prefix.ends_with('/'));
    if rooted && printable && prefix.len() <= MAX_PATH_PREFIX_BYTES {
        return Ok(());
    }
    Err(PlanFault::invalid("path_prefix", prefix, "expected a path like /pairings without a last slash"))
}

fn check_objective(row: &ObjectiveRow) -> Result<(), PlanFault> {
    if row.within_ms == 0 {
        return Err(PlanFault::invalid("within_ms", row.within_ms, "expected at least 1"));
    }
    if row.share_per_million.0 == 0 || row.share_per_million >= SharePerMillion::WHOLE {
        return Err(PlanFault::invalid("share_per_million", row.share_per_million, "expected 1 to 999999"));
    }
    Ok(())
}
