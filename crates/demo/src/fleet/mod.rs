//! Fleets under test: targets and, depending on the policy, nodes, behind one interface.

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

/// Infrastructure that all parts of a fleet share and into which scenarios inject faults.
#[derive(Clone, Default)]
pub(crate) struct Infrastructure {
    /// The platform's log.
    pub(crate) log: Arc<MemoryLog>,
    /// Network partitions between zones.
    pub(crate) partitions: Arc<ZonePartitions>,
}

/// Sends the requests of the clients of one zone.
#[async_trait]
pub(crate) trait ClientCaller: Send + Sync {
    /// Sends one request and waits for its outcome.
    async fn send(&self, request: &ClientRequest) -> SendOutcome;
}

/// A policy under test with its targets. All measurements are taken at the targets and the callers and
/// never inside the policy.
#[async_trait]
pub(crate) trait Fleet: Send + Sync {
    /// Returns the caller for clients in the zone with this index in the deployment.
    fn caller(&self, zone: usize) -> Arc<dyn ClientCaller>;

    /// Returns a caller whose calls to `service` take the longest path through the fleet.
    fn remote_caller(&self, service: &Service) -> Arc<dyn ClientCaller>;

    /// Returns the targets in the order of the deployment's placements.
    fn targets(&self) -> &[StandinTarget];

    /// Returns the API key of the tenant with this index.
    fn key(&self, tenant: usize) -> String;

    /// Publishes the configuration and waits until it is in force on all nodes. Returns the time from its
    /// confirmation until the last node applied it, in milliseconds.
    async fn publish(&self) -> Result<u64, DemoError>;

    /// Withdraws a tenant's key and returns after the withdrawal is confirmed.
    async fn withdraw_key(&self, tenant: usize) -> Result<(), DemoError>;

    /// Gracefully stops the node of the target with this index, which is draining.
    async fn stop_node(&self, index: usize);

    /// Stops all nodes and targets.
    async fn stop(&self);
}
