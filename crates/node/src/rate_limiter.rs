//! Rate limiting of requests per tenant.

use std::sync::Mutex;

use fulmartrestle_core::{Reason, Refusal, Tenant, VmId, lock};
use fulmartrestle_quota::{OutgoingMessage, QuotaConfig, QuotaMember, QuotaMessage, QuotaNode, RateDecision};
use tokio::sync::Notify;

use crate::clock::Clock;

/// Runs the node's quota state machine, which exchanges rate tokens with other nodes, and lets requests wait for
/// tokens.
pub struct RateLimiter {
    clock: Clock,
    node: Mutex<QuotaNode>,
    tokens_ready: Notify,
}

impl RateLimiter {
    /// Creates the rate limiter on the quota state machine of this node.
    pub fn new(clock: Clock, node: QuotaNode) -> Self {
        Self { clock, node: Mutex::new(node), tokens_ready: Notify::new() }
    }

    /// Takes one token of a tenant. Waits a few milliseconds if a token has been requested from another node.
    ///
    /// # Errors
    ///
    /// Returns an `OverRate` refusal with a retry delay when the tenant is over its rate.
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
                () = self.tokens_ready.notified() => {}
                () = tokio::time::sleep_until(self.clock.runtime_instant(retry_at)) => {}
            }
            decision = lock(&self.node).retry_admit(tenant, arrived_at, self.clock.now());
        }
    }

    /// Sets the rates of all tenants.
    pub fn set_config(&self, config: QuotaConfig) {
        lock(&self.node).set_config(config, self.clock.now());
    }

    /// Sets the reachable members.
    pub fn set_members(&self, members: &[QuotaMember]) {
        lock(&self.node).set_members(members, self.clock.now());
    }

    /// Handles a message from another node.
    pub fn on_message(&self, from: VmId, message: QuotaMessage) {
        lock(&self.node).on_message(from, message, self.clock.now());
        self.notify_waiting_requests();
    }

    /// Handles expired timers. Called on each tick.
    pub fn tick(&self) {
        lock(&self.node).tick(self.clock.now());
        self.notify_waiting_requests();
    }

    /// Returns the messages to send and removes them from the queue.
    pub fn take_outgoing(&self) -> Vec<OutgoingMessage> {
        lock(&self.node).take_outgoing()
    }

    fn notify_waiting_requests(&self) {
        if !lock(&self.node).take_ready_tenants().is_empty() {
            self.tokens_ready.notify_waiters();
        }
    }
}
