//! Weighted fair queue over tenants.

use std::collections::BTreeSet;

use fulmartrestle_core::{CallId, Class, Tenant};
use rustc_hash::FxHashMap;

use super::class_queues::ClassQueues;

/// Virtual time that one call costs a tenant of weight one. The number has many divisors, so that the cost
/// is exact for common weights.
const CALL_COST: u64 = 5_040 * 1_000;

/// Number of idle tenants that are kept before those that are not ahead of the present virtual time are
/// evicted.
const MAX_IDLE_TENANTS: usize = 1_024;

/// Queue of the calls of one priority level. Tenants are served by start-time fair queueing: each served
/// call advances its tenant's virtual time by the inverse of its weight, and the tenant with the lowest
/// virtual time is next. An idle tenant restarts at the present virtual time, so that it accumulates no
/// credit.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    tenants: FxHashMap<Tenant, TenantQueue>,
    backlogged: BTreeSet<(u64, Tenant)>,
    virtual_now: u64,
    len: usize,
}

#[derive(Debug, Default)]
struct TenantQueue {
    calls: ClassQueues,
    virtual_time: u64,
    weight: u32,
}

impl TenantQueue {
    fn cost(&self) -> u64 {
        CALL_COST / u64::from(self.weight.max(1))
    }

    fn len_per_weight(&self) -> u64 {
        self.calls.len() as u64 * self.cost()
    }
}

impl FairQueue {
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns the queued calls in no particular order.
    pub fn calls(&self) -> impl Iterator<Item = CallId> {
        self.backlogged.iter().filter_map(|(_, tenant)| self.tenants.get(tenant)).flat_map(|queue| queue.calls.iter())
    }

    /// Charges a tenant for a call that started without being queued.
    pub fn charge(&mut self, tenant: &Tenant, weight: u32) {
        let virtual_now = self.virtual_now;
        let queue = self.tenant_queue(tenant, weight);
        let virtual_start = queue.virtual_time.max(virtual_now);
        queue.virtual_time = virtual_start + queue.cost();
        self.virtual_now = virtual_start;
    }

    pub fn push(&mut self, tenant: &Tenant, weight: u32, class: Class, call: CallId) {
        let virtual_now = self.virtual_now;
        let queue = self.tenant_queue(tenant, weight);
        queue.calls.push(class, call);
        if queue.calls.len() == 1 {
            queue.virtual_time = queue.virtual_time.max(virtual_now);
            let key = (queue.virtual_time, tenant.clone());
            self.backlogged.insert(key);
        }
        self.len += 1;
    }

    /// Removes and returns the next call of the tenant with the lowest virtual time.
    pub fn pop(&mut self) -> Option<CallId> {
        let (virtual_start, tenant) = self.backlogged.pop_first()?;
        let queue = self.tenants.get_mut(&tenant)?;
        let call = queue.calls.pop_most_important();
        queue.virtual_time = virtual_start + queue.cost();
        let key = (queue.virtual_time, tenant);
        if !queue.calls.is_empty() {
            self.backlogged.insert(key);
        }
        self.virtual_now = virtual_start;
        self.len -= 1;
        call
    }

    /// Removes and returns the least important call of the tenant with the most queued calls for its
    /// weight.
    pub fn pop_from_longest_tenant(&mut self) -> Option<CallId> {
        let tenant = self.longest_tenant()?;
        self.remove_with(&tenant, ClassQueues::pop_least_important)
    }

    /// Removes a call to make room for one of `tenant`: a call of the tenant with the most queued calls for
    /// its weight, if that is more than `tenant` would have, or else a less important call of `tenant`
    /// itself.
    pub fn pop_to_make_room_for(&mut self, tenant: &Tenant, weight: u32, class: Class) -> Option<CallId> {
        let longest_tenant = self.longest_tenant()?;
        let queued = self.tenants.get(tenant).map_or(0, |queue| queue.calls.len() as u64);
        let len_with_one_more = (queued + 1) * (CALL_COST / u64::from(weight.max(1)));
        let is_longer =
            self.tenants.get(&longest_tenant).is_some_and(|queue| queue.len_per_weight() > len_with_one_more);
        if longest_tenant != *tenant && is_longer {
            return self.remove_with(&longest_tenant, ClassQueues::pop_least_important);
        }
        self.remove_with(tenant, |queues| queues.pop_least_important_below(class))
    }

    pub fn remove(&mut self, tenant: &Tenant, call: CallId) {
        let Some(queue) = self.tenants.get_mut(tenant) else { return };
        if !queue.calls.remove(call) {
            return;
        }
        if queue.calls.is_empty() {
            self.backlogged.remove(&(queue.virtual_time, tenant.clone()));
        }
        self.len -= 1;
    }

    /// Removes and returns all calls.
    pub fn drain(&mut self) -> Vec<CallId> {
        let mut calls = Vec::with_capacity(self.len);
        while let Some((_, tenant)) = self.backlogged.pop_first() {
            calls.extend(self.tenants.get_mut(&tenant).into_iter().flat_map(|queue| queue.calls.drain()));
        }
        self.len = 0;
        calls
    }

    fn tenant_queue(&mut self, tenant: &Tenant, weight: u32) -> &mut TenantQueue {
        if !self.tenants.contains_key(tenant) {
            self.evict_idle_tenants();
            self.tenants.insert(tenant.clone(), TenantQueue::default());
        }
        let queue = self.tenants.entry(tenant.clone()).or_default();
        queue.weight = weight;
        queue
    }

    fn evict_idle_tenants(&mut self) {
        if self.tenants.len() < MAX_IDLE_TENANTS + self.backlogged.len() {
            return;
        }
        let virtual_now = self.virtual_now;
        self.tenants.retain(|_, queue| !queue.calls.is_empty() || queue.virtual_time > virtual_now);
    }

    fn longest_tenant(&self) -> Option<Tenant> {
        let queues = self.backlogged.iter().filter_map(|(_, tenant)| self.tenants.get_key_value(tenant));
        queues.max_by_key(|(tenant, queue)| (queue.len_per_weight(), *tenant)).map(|(tenant, _)| tenant.clone())
    }

    fn remove_with(&mut self, tenant: &Tenant, pop: impl FnOnce(&mut ClassQueues) -> Option<CallId>) -> Option<CallId> {
        let queue = self.tenants.get_mut(tenant)?;
        let call = pop(&mut queue.calls)?;
        if queue.calls.is_empty() {
            self.backlogged.remove(&(queue.virtual_time, tenant.clone()));
        }
        self.len -= 1;
        Some(call)
    }
}
