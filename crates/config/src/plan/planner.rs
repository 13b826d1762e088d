//! Makes a plan of an intent.

use fulmartrestle_core::{RouteId, Tenant};

use super::row_check::check_change;
use super::warnings::Consequences;
use super::{
    Affected, Change, Intent, IntentChange, MAX_PLAN_CHANGES, MAX_WHY_BYTES, ObservedFleet, Plan, PlanError, PlanFault,
    PlanId, RowKey, StopIntent, TimeZones,
};
use crate::fleet::{
    DrainRow, FleetConfig, KEY_SECRET_BYTES, KeyId, KeyRow, KeySecret, OperatorName, RouteRow, StopRow,
};

const SECRET_CONTEXT: &str = "fulmartrestle 2026 secret of a granted key";
const NONCE_CONTEXT: &str = "fulmartrestle 2026 nonce of a plan";

/// The circumstances in which a plan is made.
pub struct PlanRequest<'r> {
    /// The operator.
    pub operator: &'r OperatorName,
    /// What is known of targets and traffic.
    pub observed: &'r ObservedFleet,
    /// The rules of named time zones.
    pub time_zones: &'r TimeZones,
    /// The present time, in milliseconds since 1970 in UTC.
    pub now_unix_ms: i64,
    /// Fresh random bytes from the system's source; secrets of granted keys are derived from them.
    pub random_bytes: [u8; KEY_SECRET_BYTES],
}

/// A key granted by a plan. It works once the plan is confirmed and in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantedKey {
    /// The key's name.
    pub key_id: KeyId,
    /// The tenant.
    pub tenant: Tenant,
    /// The secret, to be shown once.
    pub secret: KeySecret,
}

/// A plan, and the secrets that are shown with it and kept nowhere.
#[derive(Clone, Debug, PartialEq)]
pub struct CreatedPlan {
    /// The plan.
    pub plan: Plan,
    /// The keys that it grants.
    pub granted_keys: Vec<GrantedKey>,
}

/// Makes a plan of an intent against `config`. Changes are checked one after the other, each
/// against the configuration that the ones before it give.
///
/// # Errors
///
/// Returns the first change that can't be made, with its index.
pub fn create_plan(config: &FleetConfig, intent: &Intent, request: &PlanRequest<'_>) -> Result<CreatedPlan, PlanError> {
    check_intent(intent)?;
    let mut planner = Planner { after: config.clone(), request, granted_keys: Vec::new() };
    let mut writes = Vec::with_capacity(intent.changes.len());
    for (index, wanted) in intent.changes.iter().enumerate() {
        let change = planner.change(wanted).map_err(|fault| PlanError::Change(index, fault))?;
        planner.after = planner.after.with_changes(config.version(), std::slice::from_ref(&change));
        writes.push(change);
    }
    let consequences =
        Consequences { changes: &writes, before: config, after: &planner.after, facts: request.observed };
    let mut plan = Plan {
        id: PlanId([0; 16]),
        base: config.version(),
        who: request.operator.clone(),
        why: intent.why.clone(),
        planned_at_unix_ms: request.now_unix_ms,
        nonce: nonce(&request.random_bytes),
        reads: reads(&writes),
        affects: Affected::by(&writes, config, request.observed),
        warnings: consequences.warnings(),
        writes,
    };
    plan.id = plan.expected_id();
    plan.validate()?;
    Ok(CreatedPlan { plan, granted_keys: planner.granted_keys })
}

fn check_intent(intent: &Intent) -> Result<(), PlanFault> {
    if intent.changes.is_empty() || intent.changes.len() > MAX_PLAN_CHANGES {
        return Err(PlanFault::invalid("changes", intent.changes.len(), "expected 1 to 200 changes"));
    }
    if intent.why.trim().is_empty() || intent.why.len() > MAX_WHY_BYTES {
        return Err(PlanFault::invalid("why", &intent.why, "expected 1 to 500 bytes"));
    }
    Ok(())
}

fn reads(writes: &[Change]) -> Vec<RowKey> {
    let mut reads: Vec<_> = writes.iter().flat_map(Change::reads).collect();
    reads.sort();
    reads.dedup();
    reads
}

fn nonce(random: &[u8; KEY_SECRET_BYTES]) -> u64 {
    let bytes = blake3::derive_key(NONCE_CONTEXT, random);
    bytes.iter().take(8).fold(0, |nonce, byte| nonce << 8 | u64::from(*byte))
}

struct Planner<'p> {
    after: FleetConfig,
    request: &'p PlanRequest<'p>,
    granted_keys: Vec<GrantedKey>,
}

impl Planner<'_> {
    fn change(&mut self, wanted: &IntentChange) -> Result<Change, PlanFault> {
        let change = self.translate(wanted)?;
        check_change(&change)?;
        Ok(change)
    }

    fn translate(&mut self, wanted: &IntentChange) -> Result<Change, PlanFault> {
        match wanted {
            IntentChange::SetTenant(row) => Ok(Change::PutTenant(row.clone())),
            IntentChange::RemoveTenant(tenant) => self.known_tenant(tenant).map(Change::RemoveTenant),
            IntentChange::SetRoute(row) => self.set_route(row),
            IntentChange::RemoveRoute(route) => self.known_route(route).map(Change::RemoveRoute),
            IntentChange::GrantKey(tenant) => self.grant_key(tenant),
            IntentChange::WithdrawKey(key) => self.withdraw_key(key),
            IntentChange::SetOperator(row) => Ok(Change::PutOperator(row.clone())),
            IntentChange::RemoveOperator(name) => self.remove_operator(name),
            IntentChange::Drain(targets) => Ok(Change::PutDrain(DrainRow { targets: targets.clone() })),
            IntentChange::Undrain(targets) => match self.after.target_drains().get(targets) {
                Some(row) => Ok(Change::RemoveDrain(row.targets.clone())),
                None => Err(PlanFault::UnknownDrain(targets.clone())),
            },
            IntentChange::PlanStop(stop) => self.plan_stop(stop),
            IntentChange::CancelStop(stop) => match self.after.stops().get(stop) {
                Some(row) => Ok(Change::RemoveStop(row.stop.clone())),
                None => Err(PlanFault::UnknownStop(stop.clone())),
            },
            IntentChange::SetObjective(row) => {
                self.known_route(&row.route)?;
                Ok(Change::PutObjective(row.clone()))
            }
            IntentChange::RemoveObjective(route) => match self.after.objectives().get(route) {
                Some(row) => Ok(Change::RemoveObjective(row.route.clone())),
                None => Err(PlanFault::UnknownObjective(route.clone())),
            },
            IntentChange::SetZone(row) => Ok(Change::PutZone(row.clone())),
            IntentChange::RemoveZone(zone) => match self.after.zones().get(zone) {
                Some(row) => Ok(Change::RemoveZone(row.zone.clone())),
                None => Err(PlanFault::UnknownZone(zone.clone())),
            },
        }
    }

    fn known_tenant(&self, tenant: &Tenant) -> Result<Tenant, PlanFault> {
        let row = self.after.tenants().get(tenant);
        row.map(|row| row.tenant.clone()).ok_or_else(|| PlanFault::UnknownTenant(tenant.clone()))
    }

    fn known_route(&self, route: &RouteId) -> Result<RouteId, PlanFault> {
        let row = self.after.routes().get(route);
        row.map(|row| row.route.clone()).ok_or_else(|| PlanFault::UnknownRoute(route.clone()))
    }

    fn set_route(&self, row: &RouteRow) -> Result<Change, PlanFault> {
        for tenant in row.tenants.iter().flatten() {
            self.known_tenant(tenant)?;
        }
        let others = self.after.routes().rows().iter().filter(|other| other.route != row.route);
        match others.into_iter().find(|other| other.path_prefix == row.path_prefix) {
            Some(other) => Err(PlanFault::PathTaken(row.path_prefix.clone(), other.route.clone())),
            None => Ok(Change::PutRoute(row.clone())),
        }
    }

    fn grant_key(&mut self, tenant: &Tenant) -> Result<Change, PlanFault> {
        let tenant = self.known_tenant(tenant)?;
        let secret = self.next_secret();
        let hash = secret.hash();
        let key_id = KeyId::from_hash(&hash);
        self.granted_keys.push(GrantedKey { key_id: key_id.clone(), tenant: tenant.clone(), secret });
        Ok(Change::PutKey(KeyRow { hash, key_id, tenant, withdrawn: false }))
    }

    /// Derives the next secret from the request's random bytes, so that one draw serves a plan
    /// that grants several keys.
    fn next_secret(&self) -> KeySecret {
        let mut material = self.request.random_bytes.to_vec();
        material.extend_from_slice(&self.granted_keys.len().to_le_bytes());
        KeySecret::from_bytes(blake3::derive_key(SECRET_CONTEXT, &material))
    }

    fn withdraw_key(&self, key: &KeyId) -> Result<Change, PlanFault> {
        match self.after.key(key) {
            None => Err(PlanFault::UnknownKey(key.clone())),
            Some(row) if row.withdrawn => Err(PlanFault::KeyWithdrawn(key.clone())),
            Some(row) => Ok(Change::WithdrawKey(row.key_id.clone())),
        }
    }

    fn remove_operator(&self, name: &OperatorName) -> Result<Change, PlanFault> {
        let operators = self.after.operators();
        match operators.get(name) {
            None => Err(PlanFault::UnknownOperator(name.clone())),
            Some(_) if operators.len() == 1 => Err(PlanFault::LastOperator(name.clone())),
            Some(row) => Ok(Change::RemoveOperator(row.name.clone())),
        }
    }

    fn plan_stop(&self, wanted: &StopIntent) -> Result<Change, PlanFault> {
        let time = self.request.time_zones.resolve(&wanted.local_time, &wanted.time_zone)?;
        if time.unix_ms <= self.request.now_unix_ms {
            return Err(PlanFault::invalid("local_time", &time.local, "the time has passed"));
        }
        Ok(Change::PutStop(StopRow {
            stop: wanted.stop.clone(),
            scope: wanted.scope.clone(),
            at_unix_ms: time.unix_ms,
            time_zone: wanted.time_zone.clone(),
            local_time: time.local,
        }))
    }
}
