//! The policy under test: the project's nodes, one beside each target.

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
use super::node_links::NodeLinks;
use super::operator_client::OperatorClient;
use super::zone_log::ZoneLog;
use super::{ClientCaller, ClientRequest, Fleet, SendOutcome, Surroundings};
use crate::DemoError;
use crate::deployment::{Deployment, Placement};

/// Longest wait for the nodes to find each other, and for a configuration to be acted on.
const MAX_WAIT_MS: u64 = 30_000;

/// Pause between two looks.
const POLL_MS: u64 = 20;

/// Answers that a node gives while it doesn't know the configuration.
const REASONS_WITHOUT_CONFIG: [&str; 4] = ["not_ready", "no_route", "unauthorized", "forbidden"];

/// Nodes with their targets.
pub(crate) struct NodeFleet {
    deployment: Arc<Deployment>,
    nodes: Vec<RunningNode>,
    targets: Vec<StandinTarget>,
    callers: Vec<Arc<NodeCaller>>,
    operator: OperatorClient,
    sender: HttpSender,
    keys: OnceLock<Vec<GrantedKeyAnswer>>,
}

/// A node, until it is stopped.
struct RunningNode {
    handle: Mutex<Option<NodeHandle>>,
    caller_address: SocketAddr,
    admin_address: SocketAddr,
}

impl NodeFleet {
    /// Starts the deployment's nodes and targets, and waits until the nodes know each other.
    pub(crate) async fn start(
        deployment: &Arc<Deployment>,
        surroundings: &Surroundings,
        seed: u64,
    ) -> Result<Self, DemoError> {
        let links = Arc::new(NodeLinks::new(Arc::clone(&surroundings.cuts)));
        let mut nodes = Vec::new();
        let mut targets = Vec::new();
        for placement in deployment.placements() {
            let target_seed = seed.wrapping_add(placement.place as u64);
            let node = start_node(deployment, &placement, surroundings, &links, target_seed).await?;
            let settings = StandinSettings {
                node_caller: Some(node.caller_address),
                node_admin: Some(node.admin_address),
                ..placement.service.settings(target_seed)
            };
            targets.push(StandinTarget::start(settings).await?);
            nodes.push(node);
        }
        let callers = callers(deployment, &nodes);
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
        let known = self.nodes.iter().map(|node| self.wait_until_complete(node.admin_address));
        join_all(known).await.into_iter().collect()
    }

    /// Waits until one node knows all others and their targets.
    async fn wait_until_complete(&self, admin: SocketAddr) -> Result<(), DemoError> {
        let patience = Patience::new("nodes did not find each other");
        while !self.operator.knows(admin, self.nodes.len()).await {
            patience.pause().await?;
        }
        Ok(())
    }

    /// Waits until every node acts on the configuration for every tenant, and returns the time from
    /// `since` until the last node knew it, in milliseconds.
    async fn wait_until_in_force(&self, since: Instant) -> Result<u64, DemoError> {
        let places = 0..self.nodes.len();
        let known = places.clone().map(|place| self.wait_until_configured(place));
        join_all(known).await.into_iter().collect::<Result<(), DemoError>>()?;
        let in_force_ms = since.elapsed().as_millis() as u64;
        let tenants = 0..self.deployment.tenants.len();
        let admitted = places.flat_map(|place| tenants.clone().map(move |tenant| (place, tenant)));
        let admitted = admitted.map(|(place, tenant)| self.wait_until_admitted(place, tenant));
        join_all(admitted).await.into_iter().collect::<Result<(), DemoError>>()?;
        Ok(in_force_ms)
    }

    /// Waits until one node acts on the configuration.
    async fn wait_until_configured(&self, place: usize) -> Result<(), DemoError> {
        let patience = Patience::new("a node did not act on the configuration");
        for attempt in 0.. {
            if !is_without_config(&self.probe(place, 0, &format!("probe-{place}-{attempt}")).await) {
                break;
            }
            patience.pause().await?;
        }
        Ok(())
    }

    /// Waits until one node admits one tenant, so that the load doesn't begin in a cold fleet.
    async fn wait_until_admitted(&self, place: usize, tenant: usize) -> Result<(), DemoError> {
        let patience = Patience::new("a tenant was not admitted");
        for attempt in 0.. {
            let request_id = format!("admit-{place}-{tenant}-{attempt}");
            if let SendOutcome::Whole { .. } = self.probe(place, tenant, &request_id).await {
                break;
            }
            patience.pause().await?;
        }
        Ok(())
    }

    /// Sends one request through a node to the deepest service, which calls no other.
    async fn probe(&self, place: usize, tenant: usize, request_id: &str) -> SendOutcome {
        let request = ClientRequest {
            path: format!("/{}/{request_id}", self.deployment.deepest),
            key: Some(self.key(tenant)),
            request_id: request_id.to_owned(),
            idempotency_key: None,
            timeout_ms: MAX_WAIT_MS,
        };
        self.sender.send(self.nodes[place].caller_address, &request).await
    }

    fn granted(&self, tenant: usize) -> Option<&GrantedKeyAnswer> {
        let name = self.deployment.tenants[tenant].tenant.as_str();
        self.keys.get()?.iter().find(|key| key.tenant == name)
    }
}

#[async_trait]
impl Fleet for NodeFleet {
    fn caller(&self, zone: usize) -> Arc<dyn ClientCaller> {
        Arc::clone(&self.callers[zone]) as Arc<dyn ClientCaller>
    }

    /// Sends to nodes whose own target is of another service, so that each call passes two nodes.
    fn remote_caller(&self, service: &Service) -> Arc<dyn ClientCaller> {
        let nodes = self.nodes.iter().zip(&self.targets);
        let remote = nodes.filter(|(_, target)| target.settings().service != *service);
        Arc::new(NodeCaller::new(remote.map(|(node, _)| node.caller_address).collect()))
    }

    fn targets(&self) -> &[StandinTarget] {
        &self.targets
    }

    fn key(&self, tenant: usize) -> String {
        self.granted(tenant).map(|key| key.secret.clone()).unwrap_or_default()
    }

    async fn publish(&self) -> Result<u64, DemoError> {
        let admin = self.nodes[0].admin_address;
        let keys = self.operator.publish(admin, &fleet_intent(&self.deployment)).await?;
        let confirmed = Instant::now();
        let _ = self.keys.set(keys);
        self.wait_until_in_force(confirmed).await
    }

    async fn withdraw_key(&self, tenant: usize) -> Result<(), DemoError> {
        let key = self.granted(tenant).ok_or_else(|| DemoError::Fleet("no key to withdraw".to_owned()))?;
        let intent = json!({"why": "withdrawn", "changes": [{"withdraw_key": key.key_id}]});
        self.operator.publish(self.nodes[0].admin_address, &intent).await?;
        Ok(())
    }

    async fn stop_node(&self, place: usize) {
        let handle = self.nodes[place].handle.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(handle) = handle {
            handle.stop().await;
        }
    }

    /// Nodes of a run that is over are not stopped gracefully: nothing runs any more.
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
    surroundings: &Surroundings,
    links: &Arc<NodeLinks>,
    seed: u64,
) -> Result<RunningNode, DemoError> {
    let log = ZoneLog {
        zone: placement.zone.clone(),
        log: Arc::clone(&surroundings.log),
        cuts: Arc::clone(&surroundings.cuts),
    };
    let options =
        NodeOptions { link_faults: Arc::clone(links) as _, seed: Some(seed), ..NodeOptions::new(Arc::new(log)) };
    let settings = settings(deployment, placement)?;
    let handle = Node::start(settings, options).await.map_err(|error| DemoError::Fleet(error.to_string()))?;
    links.add(handle.peer_address(), placement.zone.clone());
    let (caller_address, admin_address) = (handle.caller_address(), handle.admin_address());
    Ok(RunningNode { handle: Mutex::new(Some(handle)), caller_address, admin_address })
}

fn settings(deployment: &Deployment, placement: &Placement<'_>) -> Result<Settings, DemoError> {
    let region: Region =
        deployment.name.as_str().parse().map_err(|error| DemoError::Fleet(format!("region: {error}")))?;
    Ok(SettingsBuilder::new(placement.zone.clone(), region).build())
}

fn callers(deployment: &Deployment, nodes: &[RunningNode]) -> Vec<Arc<NodeCaller>> {
    let placements = deployment.placements();
    let caller = |zone: &crate::deployment::ZoneSpec| {
        let placed = placements.iter().zip(nodes).filter(|(placement, _)| placement.zone == zone.zone);
        Arc::new(NodeCaller::new(placed.map(|(_, node)| node.caller_address).collect()))
    };
    deployment.zones.iter().map(caller).collect()
}

fn is_without_config(outcome: &SendOutcome) -> bool {
    match outcome {
        SendOutcome::NotRun { reason } => REASONS_WITHOUT_CONFIG.contains(&reason.as_str()),
        SendOutcome::Failed { .. } => true,
        SendOutcome::Whole { .. } | SendOutcome::Unknown { .. } | SendOutcome::WrongAnswer => false,
    }
}

/// A wait that comes to an end.
struct Patience {
    what: &'static str,
    deadline: Instant,
}

impl Patience {
    fn new(what: &'static str) -> Self {
        Self { what, deadline: Instant::now() + Duration::from_millis(MAX_WAIT_MS) }
    }

    /// Waits for the next look, or fails when it has taken too long.
    async fn pause(&self) -> Result<(), DemoError> {
        if Instant::now() > self.deadline {
            return Err(DemoError::Fleet(self.what.to_owned()));
        }
        tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
        Ok(())
    }
}
