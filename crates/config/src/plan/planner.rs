//! Creation of plans from intents.

use fulmartrestle_core::{RouteId, Tenant};

use super::row_check::check_change;
use super::warnings::WarningContext;
use super::{
    Affected, Change, Intent, IntentChange, MAX_PLAN_CHANGES, MAX_WHY_BYTES, ObservedFleet, Plan, PlanError,
    PlanErrorKind, PlanId, RowKey, StopIntent, TimeZones,
};
use crate::fleet::{
    DrainRow, FleetConfig, KEY_SECRET_BYTES, KeyId, KeyRow, KeySecret, OperatorName, RouteRow, StopRow,
};

const SECRET_CONTEXT: &str = "fulmartrestle 2026 secret of a granted key";
const NONCE_CONTEXT: &str = "fulmartrestle 2026 nonce of a plan";

/// Context for creating a plan.
pub struct PlanRequest<'r> {
    /// The operator who creates the plan.
    pub operator: &'r OperatorName,
    /// Observed targets and traffic.
    pub observed: &'r ObservedFleet,
    /// Rules of named time zones.
    pub time_zones: &'r TimeZones,
    /// The current time, in milliseconds since the Unix epoch.
    pub now_unix_ms: i64,
    /// Fresh random bytes from the system's secure source. The secrets of granted keys are derived from them.
    pub random_bytes: [u8; KEY_SECRET_BYTES],
}

/// A key granted by a plan. It is valid once the plan has been confirmed and is active.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantedKey {
    /// The key's id.
    pub key_id: KeyId,
    /// The tenant that the key belongs to.
    pub tenant: Tenant,
    /// The key's secret, which is shown once.
    pub secret: KeySecret,
}

/// A new plan, with the secrets of its keys, which are shown once and not stored.
#[derive(Clone, Debug, PartialEq)]
pub struct CreatedPlan {
    /// The plan to confirm.
    pub plan: Plan,
    /// The keys that the plan grants.
    pub granted_keys: Vec<GrantedKey>,
}

/// Creates a plan from an intent, based on `config`. Each change is checked against the configuration that results from
/// the changes before it.
///
/// # Errors
///
/// Returns the error of the first invalid change, with its index, or an error that concerns the whole intent.
pub fn create_plan(config: &FleetConfig, intent: &Intent, request: &PlanRequest<'_>) -> Result<CreatedPlan, PlanError> {
    check_intent(intent)?;
    let mut planner = Planner { planned_config: config.clone(), request, granted_keys: Vec::new() };
    let mut writes = Vec::with_capacity(intent.changes.len());
    for (index, requested) in intent.changes.iter().enumerate() {
        let change = planner.plan_change(requested).map_err(|kind| PlanError::Change(index, kind))?;
        planner.planned_config = planner.planned_config.with_changes(config.version(), std::slice::from_ref(&change));
        writes.push(change);
    }
    let warning_context =
        WarningContext { changes: &writes, before: config, after: &planner.planned_config, observed: request.observed };
    let mut plan = Plan {
        id: PlanId([0; 16]),
        base: config.version(),
        who: request.operator.clone(),
        why: intent.why.clone(),
        planned_at_unix_ms: request.now_unix_ms,
        nonce: derive_nonce(&request.random_bytes),
        reads: collect_reads(&writes),
        affects: Affected::from_changes(&writes, config, request.observed),
        warnings: warning_context.warnings(),
        writes,
    };
    plan.id = plan.expected_id();
    plan.validate()?;
    Ok(CreatedPlan { plan, granted_keys: planner.granted_keys })
}

fn check_intent(intent: &Intent) -> Result<(), PlanErrorKind> {
    if intent.changes.is_empty() || intent.changes.len() > MAX_PLAN_CHANGES {
        return Err(PlanErrorKind::invalid("changes", intent.changes.len(), "expected 1 to 200 changes"));
    }
    if intent.why.trim().is_empty() || intent.why.len() > MAX_WHY_BYTES {
        return Err(PlanErrorKind::invalid("why", &intent.why, "expected 1 to 500 bytes"));
    }
    Ok(())
}

fn collect_reads(writes: &[Change]) -> Vec<RowKey> {
    let mut reads: Vec<_> = writes.iter().flat_map(Change::rows_read).collect();
    reads.sort();
    reads.dedup();
    reads
}

fn derive_nonce(random_bytes: &[u8; KEY_SECRET_BYTES]) -> u64 {
    let bytes = blake3::derive_key(NONCE_CONTEXT, random_bytes);
    bytes.iter().take(8).fold(0, |nonce, byte| nonce << 8 | u64::from(*byte))
}

/// Translates the requested changes of an intent into changes to the configuration, one after the other.
struct Planner<'p> {
    /// The configuration after the changes planned so far.
    planned_config: FleetConfig,
    request: &'p PlanRequest<'p>,
    granted_keys: Vec<GrantedKey>,
}

impl Planner<'_> {
    fn plan_change(&mut self, requested: &IntentChange) -> Result<Change, PlanErrorKind> {
        let change = self.resolve_change(requested)?;
        check_change(&change)?;
        Ok(change)
    }

    fn resolve_change(&mut self, requested: &IntentChange) -> Result<Change, PlanErrorKind> {
        match requested {
            IntentChange::SetTenant(row) => Ok(Change::PutTenant(row.clone())),
            IntentChange::RemoveTenant(tenant) => self.require_tenant(tenant).map(Change::RemoveTenant),
            IntentChange::SetRoute(row) => self.set_route(row),
            IntentChange::RemoveRoute(route) => self.require_route(route).map(Change::RemoveRoute),
            IntentChange::GrantKey(tenant) => self.grant_key(tenant),
            IntentChange::WithdrawKey(key) => self.withdraw_key(key),
            IntentChange::SetOperator(row) => Ok(Change::PutOperator(row.clone())),
            IntentChange::RemoveOperator(name) => self.remove_operator(name),
            IntentChange::Drain(targets) => Ok(Change::PutDrain(DrainRow { targets: targets.clone() })),
            IntentChange::Undrain(targets) => match self.planned_config.target_drains().get(targets) {
                Some(row) => Ok(Change::RemoveDrain(row.targets.clone())),
                None => Err(PlanErrorKind::UnknownDrain(targets.clone())),
            },
            IntentChange::PlanStop(stop) => self.plan_stop(stop),
            IntentChange::CancelStop(stop) => match self.planned_config.stops().get(stop) {
                Some(row) => Ok(Change::RemoveStop(row.stop.clone())),
                None => Err(PlanErrorKind::UnknownStop(stop.clone())),
            },
            IntentChange::SetObjective(row) => {
                self.require_route(&row.route)?;
                Ok(Change::PutObjective(row.clone()))
            }
            IntentChange::RemoveObjective(route) => match self.planned_config.objectives().get(route) {
                Some(row) => Ok(Change::RemoveObjective(row.route.clone())),
                None => Err(PlanErrorKind::UnknownObjective(route.clone())),
            },
            IntentChange::SetZone(row) => Ok(Change::PutZone(row.clone())),
            IntentChange::RemoveZone(zone) => match self.planned_config.zones().get(zone) {
                Some(row) => Ok(Change::RemoveZone(row.zone.clone())),
                None => Err(PlanErrorKind::UnknownZone(zone.clone())),
            },
        }
    }

    fn require_tenant(&self, tenant: &Tenant) -> Result<Tenant, PlanErrorKind> {
        let row = self.planned_config.tenants().get(tenant);
        row.map(|row| row.tenant.clone()).ok_or_else(|| PlanErrorKind::UnknownTenant(tenant.clone()))
    }

    fn require_route(&self, route: &RouteId) -> Result<RouteId, PlanErrorKind> {
        let row = self.planned_config.routes().get(route);
        row.map(|row| row.route.clone()).ok_or_else(|| PlanErrorKind::UnknownRoute(route.clone()))
    }

    fn set_route(&self, row: &RouteRow) -> Result<Change, PlanErrorKind> {
        for tenant in row.tenants.iter().flatten() {
            self.require_tenant(tenant)?;
        }
        let others = self.planned_config.routes().rows().iter().filter(|other| other.route != row.route);
        match others.into_iter().find(|other| other.path_prefix == row.path_prefix) {
            Some(other) => Err(PlanErrorKind::PathTaken(row.path_prefix.clone(), other.route.clone())),
            None => Ok(Change::PutRoute(row.clone())),
        }
    }

    fn grant_key(&mut self, tenant: &Tenant) -> Result<Change, PlanErrorKind> {
        let tenant = self.require_tenant(tenant)?;
        let secret = self.next_secret();
        let hash = secret.hash();
        let key_id = KeyId::from_hash(&hash);
        self.granted_keys.push(GrantedKey { key_id: key_id.clone(), tenant: tenant.clone(), secret });
        Ok(Change::PutKey(KeyRow { hash, key_id, tenant, withdrawn: false }))
    }

    /// Derives the next secret from the request's random bytes and the number of keys granted so far, so that one set
    /// of random bytes is enough for a plan that grants several keys.
    fn next_secret(&self) -> KeySecret {
        let mut material = self.request.random_bytes.to_vec();
        material.extend_from_slice(&self.granted_keys.len().to_le_bytes());
        KeySecret::from_bytes(blake3::derive_key(SECRET_CONTEXT, &material))
    }

    fn withdraw_key(&self, key: &KeyId) -> Result<Change, PlanErrorKind> {
        match self.planned_config.key(key) {
            None => Err(PlanErrorKind::UnknownKey(key.clone())),
            Some(row) if row.withdrawn => Err(PlanErrorKind::KeyWithdrawn(key.clone())),
            Some(row) => Ok(Change::WithdrawKey(row.key_id.clone())),
        }
    }

    fn remove_operator(&self, name: &OperatorName) -> Result<Change, PlanErrorKind> {
        let operators = self.planned_config.operators();
        match operators.get(name) {
            None => Err(PlanErrorKind::UnknownOperator(name.clone())),
            Some(_) if operators.len() == 1 => Err(PlanErrorKind::LastOperator(name.clone())),
            Some(row) => Ok(Change::RemoveOperator(row.name.clone())),
        }
    }

    fn plan_stop(&self, requested: &StopIntent) -> Result<Change, PlanErrorKind> {
        let time = self.request.time_zones.resolve(&requested.local_time, &requested.time_zone)?;
        if time.unix_ms <= self.request.now_unix_ms {
            return Err(PlanErrorKind::invalid("local_time", &time.local, "the time has passed"));
        }
        Ok(Change::PutStop(StopRow {
            stop: requested.stop.clone(),
            scope: requested.scope.clone(),
            at_unix_ms: time.unix_ms,
            time_zone: requested.time_zone.clone(),
            local_time: time.local,
        }))
    }
}
