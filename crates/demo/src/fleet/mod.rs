//! What stands between callers and targets, behind one interface.

mod baseline_caller;
mod baseline_fleet;
mod client_request;
mod fleet_intent;
mod http_sender;
mod node_caller;
mod node_fleet;
mod operator_client;
mod send_outcome;
mod zone_link_faults;
mod zone_log;
mod zone_partitions;

use std::sync::Arc;

use fulmartrestle_core::Service;
use fulmartrestle_platform_log::{MemoryLog, async_trait};
use fulmartrestle_standin::StandinTarget;

use crate::DemoError;

pub(crate) use baseline_fleet::BaselineFleet;
pub(crate) use client_request::ClientRequest;
pub(crate) use http_sender::HttpSender;
pub(crate) use node_fleet::NodeFleet;
pub use send_outcome::SendOutcome;
pub(crate) use zone_partitions::ZonePartitions;

/// Faults of the surroundings, which every fleet is started with.
#[derive(Clone, Default)]
pub(crate) struct Infrastructure {
    /// The platform's log.
    pub(crate) log: Arc<MemoryLog>,
    /// Cuts between zones.
    pub(crate) partitions: Arc<ZonePartitions>,
}

/// The way by which the clients of one zone send requests.
#[async_trait]
pub(crate) trait ClientCaller: Send + Sync {
    /// Sends one request and waits for its answer.
    async fn send(&self, request: &ClientRequest) -> SendOutcome;
}

/// A policy under test with its targets. Metrics come from the targets and the callers, never from it.
#[async_trait]
pub(crate) trait Fleet: Send + Sync {
    /// Returns the caller of the clients in this zone, by its place in the deployment.
    fn caller(&self, zone: usize) -> Arc<dyn ClientCaller>;

    /// Returns a caller whose calls to `service` pass all parts of the fleet that a call can pass.
    fn remote_caller(&self, service: &Service) -> Arc<dyn ClientCaller>;

    /// Returns the targets in the order of the deployment's placements.
    fn targets(&self) -> &[StandinTarget];

    /// Returns the key of a tenant's callers.
    fn key(&self, tenant: usize) -> String;

    /// Makes the configuration known and waits until it is in force everywhere. Returns the time from
    /// its confirmation until the last node acts on it, in milliseconds.
    async fn publish(&self) -> Result<u64, DemoError>;

    /// Withdraws a tenant's key, and returns when that is confirmed.
    async fn withdraw_key(&self, tenant: usize) -> Result<(), DemoError>;

    /// Stops the node of a target that has left, gracefully.
    async fn stop_node(&self, index: usize);

    /// Stops everything.
    async fn stop(&self);
}
