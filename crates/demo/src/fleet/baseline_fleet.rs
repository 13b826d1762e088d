//! Baseline policy: callers and targets call targets directly from a static list.

use std::sync::Arc;

use fulmartrestle_core::Service;
use fulmartrestle_platform_log::async_trait;
use fulmartrestle_standin::{ChildCaller, StandinTarget};
use tokio::net::TcpListener;

use super::baseline_caller::{BaselineCaller, TargetEndpoint, TargetsByService};
use super::{ClientCaller, Fleet, Infrastructure};
use crate::DemoError;
use crate::deployment::{Deployment, KEY_MARKER, Placement};

/// Fleet of targets and callers without the project's nodes, for comparison.
pub(crate) struct BaselineFleet {
    targets: Vec<StandinTarget>,
    keys: Vec<String>,
    callers: Vec<Arc<BaselineCaller>>,
}

impl BaselineFleet {
    /// Starts the deployment's targets on the loopback address.
    pub(crate) async fn start(
        deployment: &Deployment,
        infrastructure: &Infrastructure,
        seed: u64,
    ) -> Result<Self, DemoError> {
        let mut targets_by_service = TargetsByService::new();
        let mut listeners = Vec::new();
        for placement in deployment.placements() {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let endpoint = TargetEndpoint { zone: placement.zone.clone(), address: listener.local_addr()? };
            targets_by_service.entry(placement.service.service.to_string()).or_default().push(endpoint);
            listeners.push((placement, listener));
        }
        let targets_by_service = Arc::new(targets_by_service);
        let caller = |zone| {
            Arc::new(BaselineCaller::new(zone, Arc::clone(&targets_by_service), Arc::clone(&infrastructure.partitions)))
        };
        let mut targets = Vec::new();
        for (Placement { index, zone, service }, listener) in listeners {
            let settings = service.settings(seed.wrapping_add(index as u64));
            let children: Arc<dyn ChildCaller> = caller(zone);
            targets.push(StandinTarget::start_with_listener(listener, settings, Some(children))?);
        }
        let callers = deployment.zones.iter().map(|zone| caller(zone.zone.clone())).collect();
        let keys = deployment.tenants.iter().map(|tenant| format!("{KEY_MARKER}{}", tenant.tenant)).collect();
        Ok(Self { targets, keys, callers })
    }
}

#[async_trait]
impl Fleet for BaselineFleet {
    fn caller(&self, zone: usize) -> Arc<dyn ClientCaller> {
        Arc::clone(&self.callers[zone]) as Arc<dyn ClientCaller>
    }

    fn remote_caller(&self, _service: &Service) -> Arc<dyn ClientCaller> {
        self.caller(0)
    }

    fn targets(&self) -> &[StandinTarget] {
        &self.targets
    }

    fn key(&self, tenant: usize) -> String {
        self.keys[tenant].clone()
    }

    /// Does nothing: the target list is fixed at the start.
    async fn publish(&self) -> Result<u64, DemoError> {
        Ok(0)
    }

    /// Does nothing: keys are not checked without nodes.
    async fn withdraw_key(&self, _tenant: usize) -> Result<(), DemoError> {
        Ok(())
    }

    /// Does nothing: there are no nodes.
    async fn stop_node(&self, _index: usize) {}

    async fn stop(&self) {
        for target in &self.targets {
            target.stop();
        }
    }
}
