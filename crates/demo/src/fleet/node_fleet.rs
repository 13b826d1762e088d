//! Policy with the project's nodes, one node for each target.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use fulmartrestle_api::GrantedKeyAnswer;
use fulmartrestle_config::Settings;
use fulmartrestle_config::settings::SettingsBuilder;
use fulmartrestle_core::{Region, Service};
use fulmartrestle_node::{Node, NodeHandle, NodeOptions};
use fulmartrestle_platform_log::async_trait;
use fulmartrestle_standin::{StandinSettings, StandinTarget};
use futures_util::future::join_all;
use serde_json::json;

use super::fleet_intent::fleet_intent;
use super::http_sender::HttpSender;
use super::node_caller::NodeCaller;
use super::operator_client::OperatorClient;
use super::zone_link_faults::ZoneLinkFaults;
use super::zone_log::ZoneLog;
use super::{ClientCaller, ClientRequest, Fleet, Infrastructure, SendOutcome};
use crate::DemoError;
use crate::deployment::{Deployment, Placement};

/// Maximum wait for the nodes to discover each other and for a configuration to be applied.
const SETUP_TIMEOUT_MS: u64 = 30_000;

/// Interval between two checks of the fleet's state.
const POLL_INTERVAL_MS: u64 = 20;

/// Refusal reasons of a node that has not applied the configuration.
const REASONS_FOR_MISSING_CONFIG: [&str; 4] = ["not_ready", "no_route", "unauthorized", "forbidden"];

/// Fleet of nodes with one target each.
pub(crate) struct NodeFleet {
    deployment: Arc<Deployment>,
    nodes: Vec<RunningNode>,
    targets: Vec<StandinTarget>,
    callers: Vec<Arc<NodeCaller>>,
    operator: OperatorClient,
    sender: HttpSender,
    keys: OnceLock<Vec<GrantedKeyAnswer>>,
}

/// A started node with its addresses. The handle is taken when the node is stopped.
struct RunningNode {
    handle: Mutex<Option<NodeHandle>>,
    caller_address: SocketAddr,
    admin_address: SocketAddr,
}

impl NodeFleet {
    /// Starts the deployment's nodes and targets and waits until all nodes have discovered each other.
    pub(crate) async fn start(
        deployment: &Arc<Deployment>,
        infrastructure: &Infrastructure,
        seed: u64,
    ) -> Result<Self, DemoError> {
        let link_faults = Arc::new(ZoneLinkFaults::new(Arc::clone(&infrastructure.partitions)));
        let mut nodes = Vec::new();
        let mut targets = Vec::new();
        for placement in deployment.placements() {
            let target_seed = seed.wrapping_add(placement.index as u64);
            let node = start_node(deployment, &placement, infrastructure, &link_faults, target_seed).await?;
            let settings = StandinSettings {
                node_caller: Some(node.caller_address),
                node_admin: Some(node.admin_address),
                ..placement.service.settings(target_seed)
            };
            targets.push(StandinTarget::start(settings).await?);
            nodes.push(node);
        }
        let callers = zone_callers(deployment, &nodes);
        let fleet = Self {
            deployment: Arc::clone(deployment),
            nodes,
            targets,
            callers,
            operator: OperatorClient::new(),
            sender: HttpSender::new(),
            keys: OnceLock::new(),
        };
        fleet.wait_for_members().await?;
        Ok(fleet)
    }

    async fn wait_for_members(&self) -> Result<(), DemoError> {
        let waits = self.nodes.iter().map(|node| self.wait_for_full_view(node.admin_address));
        join_all(waits).await.into_iter().collect()
    }

    /// Waits until the view of one node contains all members and targets.
    async fn wait_for_full_view(&self, admin: SocketAddr) -> Result<(), DemoError> {
        let poll_timeout = PollTimeout::new("timed out waiting for the nodes to discover each other");
        while !self.operator.has_full_view(admin, self.nodes.len()).await {
            poll_timeout.sleep_or_fail().await?;
        }
        Ok(())
    }

    /// Waits until all nodes have applied the configuration and admit all tenants. Returns the time from
    /// `since` until the last node had applied it, in milliseconds.
    async fn wait_until_config_in_force(&self, since: Instant) -> Result<u64, DemoError> {
        let indices = 0..self.nodes.len();
        let config_waits = indices.clone().map(|index| self.wait_until_config_applied(index));
        join_all(config_waits).await.into_iter().collect::<Result<(), DemoError>>()?;
        let in_force_ms = since.elapsed().as_millis() as u64;
        let tenants = 0..self.deployment.tenants.len();
        let pairs = indices.flat_map(|index| tenants.clone().map(move |tenant| (index, tenant)));
        let admission_waits = pairs.map(|(index, tenant)| self.wait_until_admitted(index, tenant));
        join_all(admission_waits).await.into_iter().collect::<Result<(), DemoError>>()?;
        Ok(in_force_ms)
    }

    /// Waits until one node has applied the configuration.
    async fn wait_until_config_applied(&self, index: usize) -> Result<(), DemoError> {
        let poll_timeout = PollTimeout::new("timed out waiting for a node to apply the configuration");
        for attempt in 0.. {
            if !lacks_config(&self.send_probe(index, 0, &format!("probe-{index}-{attempt}")).await) {
                break;
            }
            poll_timeout.sleep_or_fail().await?;
        }
        Ok(())
    }

    /// Waits until one node admits requests of one tenant, so that the load does not start on a cold fleet.
    async fn wait_until_admitted(&self, index: usize, tenant: usize) -> Result<(), DemoError> {
        let poll_timeout = PollTimeout::new("timed out waiting for a node to admit a tenant");
        for attempt in 0.. {
            let request_id = format!("admit-{index}-{tenant}-{attempt}");
            if let SendOutcome::Whole { .. } = self.send_probe(index, tenant, &request_id).await {
                break;
            }
            poll_timeout.sleep_or_fail().await?;
        }
        Ok(())
    }

    /// Sends one request through a node to the leaf service, which calls no other service.
    async fn send_probe(&self, index: usize, tenant: usize, request_id: &str) -> SendOutcome {
        let request = ClientRequest {
            path: format!("/{}/{request_id}", self.deployment.leaf_service),
            key: Some(self.key(tenant)),
            request_id: request_id.to_owned(),
            idempotency_key: None,
            timeout_ms: SETUP_TIMEOUT_MS,
        };
        self.sender.send(self.nodes[index].caller_address, &request).await
    }

    fn granted_key(&self, tenant: usize) -> Option<&GrantedKeyAnswer> {
        let name = self.deployment.tenants[tenant].tenant.as_str();
        self.keys.get()?.iter().find(|key| key.tenant == name)
    }
}

#[async_trait]
impl Fleet for NodeFleet {
    fn caller(&self, zone: usize) -> Arc<dyn ClientCaller> {
        Arc::clone(&self.callers[zone]) as Arc<dyn ClientCaller>
    }

    /// Returns a caller that sends to nodes whose own target belongs to another service, so that each call
    /// passes two nodes.
    fn remote_caller(&self, service: &Service) -> Arc<dyn ClientCaller> {
        let nodes = self.nodes.iter().zip(&self.targets);
        let remote_nodes = nodes.filter(|(_, target)| target.settings().service != *service);
        Arc::new(NodeCaller::new(remote_nodes.map(|(node, _)| node.caller_address).collect()))
    }

    fn targets(&self) -> &[StandinTarget] {
        &self.targets
    }

    fn key(&self, tenant: usize) -> String {
        self.granted_key(tenant).map(|key| key.secret.clone()).unwrap_or_default()
    }

    async fn publish(&self) -> Result<u64, DemoError> {
        let admin = self.nodes[0].admin_address;
        let keys = self.operator.publish(admin, &fleet_intent(&self.deployment)).await?;
        let confirmed = Instant::now();
        let _ = self.keys.set(keys);
        self.wait_until_config_in_force(confirmed).await
    }

    async fn withdraw_key(&self, tenant: usize) -> Result<(), DemoError> {
        let key = self.granted_key(tenant).ok_or_else(|| DemoError::Fleet("no key to withdraw".to_owned()))?;
        let intent = json!({"why": "withdrawn", "changes": [{"withdraw_key": key.key_id}]});
        self.operator.publish(self.nodes[0].admin_address, &intent).await?;
        Ok(())
    }

    async fn stop_node(&self, index: usize) {
        let handle = self.nodes[index].handle.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(handle) = handle {
            handle.stop().await;
        }
    }

    /// Kills the nodes instead of stopping them gracefully, because no requests run after the load.
    async fn stop(&self) {
        for node in &self.nodes {
            let handle = node.handle.lock().unwrap_or_else(PoisonError::into_inner).take();
            if let Some(handle) = handle {
                handle.kill();
            }
        }
        for target in &self.targets {
            target.stop();
        }
    }
}

async fn start_node(
    deployment: &Deployment,
    placement: &Placement<'_>,
    infrastructure: &Infrastructure,
    link_faults: &Arc<ZoneLinkFaults>,
    seed: u64,
) -> Result<RunningNode, DemoError> {
    let log = ZoneLog {
        zone: placement.zone.clone(),
        log: Arc::clone(&infrastructure.log),
        partitions: Arc::clone(&infrastructure.partitions),
    };
    let options =
        NodeOptions { link_faults: Arc::clone(link_faults) as _, seed: Some(seed), ..NodeOptions::new(Arc::new(log)) };
    let settings = node_settings(deployment, placement)?;
    let handle = Node::start(settings, options).await.map_err(|error| DemoError::Fleet(error.to_string()))?;
    link_faults.add(handle.peer_address(), placement.zone.clone());
    let (caller_address, admin_address) = (handle.caller_address(), handle.admin_address());
    Ok(RunningNode { handle: Mutex::new(Some(handle)), caller_address, admin_address })
}

fn node_settings(deployment: &Deployment, placement: &Placement<'_>) -> Result<Settings, DemoError> {
    let region: Region =
        deployment.name.as_str().parse().map_err(|error| DemoError::Fleet(format!("region: {error}")))?;
    Ok(SettingsBuilder::new(placement.zone.clone(), region).build())
}

fn zone_callers(deployment: &Deployment, nodes: &[RunningNode]) -> Vec<Arc<NodeCaller>> {
    let placements = deployment.placements();
    let caller = |zone: &crate::deployment::ZoneSpec| {
        let zone_nodes = placements.iter().zip(nodes).filter(|(placement, _)| placement.zone == zone.zone);
        Arc::new(NodeCaller::new(zone_nodes.map(|(_, node)| node.caller_address).collect()))
    };
    deployment.zones.iter().map(caller).collect()
}

fn lacks_config(outcome: &SendOutcome) -> bool {
    match outcome {
        SendOutcome::NotRun { reason } => REASONS_FOR_MISSING_CONFIG.contains(&reason.as_str()),
        SendOutcome::Failed { .. } => true,
        SendOutcome::Whole { .. } | SendOutcome::Unknown { .. } | SendOutcome::WrongAnswer => false,
    }
}

/// Polling loop with a deadline.
struct PollTimeout {
    timeout_error: &'static str,
    deadline: Instant,
}

impl PollTimeout {
    fn new(timeout_error: &'static str) -> Self {
        Self { timeout_error, deadline: Instant::now() + Duration::from_millis(SETUP_TIMEOUT_MS) }
    }

    /// Sleeps until the next check, or returns the timeout error after the deadline.
    async fn sleep_or_fail(&self) -> Result<(), DemoError> {
        if Instant::now() > self.deadline {
            return Err(DemoError::Fleet(self.timeout_error.to_owned()));
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        Ok(())
    }
}
