//! Checks of changes that do not depend on the configuration.

use super::{Change, PlanErrorKind};
use crate::fleet::{KeyId, ObjectiveRow, RouteRow, SharePerMillion, TenantRow};

/// Maximum length of a path prefix, in bytes.
const MAX_PATH_PREFIX_BYTES: usize = 512;

/// Maximum number of services downstream of a route's service. Chains are up to 12 services deep and may fan out.
const MAX_CHAIN_SERVICES: usize = 64;

/// Maximum number of tenants listed for a route.
const MAX_ROUTE_TENANTS: usize = 1_000;

/// Maximum timeout of a route, in milliseconds: one hour.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// Checks that a change is valid by itself.
pub(super) fn check_change(change: &Change) -> Result<(), PlanErrorKind> {
    match change {
        Change::PutTenant(row) => check_tenant(row),
        Change::PutRoute(row) => check_route(row),
        Change::PutObjective(row) => check_objective(row),
        Change::PutKey(row) if row.key_id != KeyId::from_hash(&row.hash) => {
            Err(PlanErrorKind::invalid("key_id", &row.key_id, "the id does not match the hash"))
        }
        Change::PutKey(row) if row.withdrawn => {
            Err(PlanErrorKind::invalid("withdrawn", true, "a key can't be granted as withdrawn"))
        }
        _ => Ok(()),
    }
}

fn check_tenant(row: &TenantRow) -> Result<(), PlanErrorKind> {
    if row.burst.0 == 0 {
        return Err(PlanErrorKind::invalid("burst", row.burst, "expected at least 1"));
    }
    if row.weight.0 == 0 {
        return Err(PlanErrorKind::invalid("weight", row.weight, "expected at least 1"));
    }
    Ok(())
}

fn check_route(row: &RouteRow) -> Result<(), PlanErrorKind> {
    check_path_prefix(&row.path_prefix)?;
    if row.timeout_ms == 0 || row.timeout_ms > MAX_TIMEOUT_MS {
        return Err(PlanErrorKind::invalid("timeout_ms", row.timeout_ms, "expected 1 to 3600000"));
    }
    if row.at_most_once && row.retryable {
        return Err(PlanErrorKind::invalid("retryable", true, "a route that runs at most once can't be retried"));
    }
    if row.at_most_once && row.open_to_all {
        return Err(PlanErrorKind::invalid("open_to_all", true, "claims of at-most-once calls need a tenant"));
    }
    if row.chain.len() > MAX_CHAIN_SERVICES {
        return Err(PlanErrorKind::invalid("chain", row.chain.len(), "expected at most 64 services"));
    }
    if row.tenants.as_ref().is_some_and(|tenants| tenants.len() > MAX_ROUTE_TENANTS) {
        return Err(PlanErrorKind::invalid("tenants", "the list", "expected at most 1000 tenants"));
    }
    Ok(())
}

fn check_path_prefix(prefix: &str) -> Result<(), PlanErrorKind> {
    let is_printable = prefix.bytes().all(|byte| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#'));
    let is_absolute = prefix.starts_with('/') && (prefix == "/" || !prefix.ends_with('/'));
    if is_absolute && is_printable && prefix.len() <= MAX_PATH_PREFIX_BYTES {
        return Ok(());
    }
    Err(PlanErrorKind::invalid("path_prefix", prefix, "expected a path like /pairings without a trailing slash"))
}

fn check_objective(row: &ObjectiveRow) -> Result<(), PlanErrorKind> {
    if row.within_ms == 0 {
        return Err(PlanErrorKind::invalid("within_ms", row.within_ms, "expected at least 1"));
    }
    if row.share_per_million.0 == 0 || row.share_per_million >= SharePerMillion::WHOLE {
        return Err(PlanErrorKind::invalid("share_per_million", row.share_per_million, "expected 1 to 999999"));
    }
    Ok(())
}
