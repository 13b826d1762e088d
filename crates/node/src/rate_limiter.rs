//! Admission of requests against their tenant's rate.

use std::sync::Mutex;

use fulmartrestle_core::{Reason, Refusal, Tenant, VmId, lock};
use fulmartrestle_quota::{OutgoingMessage, QuotaConfig, QuotaMember, QuotaMessage, QuotaNode, RateDecision};
use tokio::sync::Notify;

use crate::clock::Clock;

/// The node's part in the lending of tokens, and the requests that wait for them.
pub struct RateLimiter {
    clock: Clock,
    node: Mutex<QuotaNode>,
    ready: Notify,
}

impl RateLimiter {
    /// Returns the part of one node.
    pub fn new(clock: Clock, node: QuotaNode) -> Self {
        Self { clock, node: Mutex::new(node), ready: Notify::new() }
    }

    /// Takes one token of a tenant, waiting a few milliseconds where one is on its way.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the tenant is over its rate.
    pub async fn admit(&self, tenant: &Tenant) -> Result<(), Refusal> {
        let arrived_at = self.clock.now();
        let mut decision = lock(&self.node).admit(tenant, arrived_at);
        loop {
            let retry_at = match decision {
                RateDecision::Admitted => return Ok(()),
                RateDecision::Refused { retry_after_ms } => {
                    return Err(Refusal::not_run(Reason::OverRate, Some(retry_after_ms)));
                }
                RateDecision::Wait { retry_at } => retry_at,
            };
            tokio::select! {
                () = self.ready.notified() => {}
                () = tokio::time::sleep_until(self.clock.instant_of(retry_at)) => {}
            }
            decision = lock(&self.node).retry_admit(tenant, arrived_at, self.clock.now());
        }
    }

    /// Takes a new version of all tenants' rates.
    pub fn set_config(&self, config: QuotaConfig) {
        lock(&self.node).set_config(config, self.clock.now());
    }

    /// Takes a new view of the live members.
    pub fn set_members(&self, members: &[QuotaMember]) {
        lock(&self.node).set_members(members, self.clock.now());
    }

    /// Takes a message of another node.
    pub fn on_message(&self, from: VmId, message: QuotaMessage) {
        lock(&self.node).on_message(from, message, self.clock.now());
        self.wake();
    }

    /// Does what time brings. Called on each tick.
    pub fn tick(&self) {
        lock(&self.node).tick(self.clock.now());
        self.wake();
    }

    /// Returns the messages to send.
    pub fn take_outgoing(&self) -> Vec<OutgoingMessage> {
        lock(&self.node).take_outgoing()
    }

    fn wake(&self) {
        if !lock(&self.node).take_ready_tenants().is_empty() {
            self.ready.notify_waiters();
        }
    }
}
