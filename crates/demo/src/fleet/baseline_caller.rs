//! Calls without the project: round robin over a static list, three tries, no limits.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use fulmartrestle_core::AvailabilityZone;
use fulmartrestle_platform_log::async_trait;
use fulmartrestle_standin::{ChildCaller, ChildError, ChildRequest};

use super::http_sender::HttpSender;
use super::{ClientCaller, ClientRequest, SendOutcome, ZonePartitions};

/// Tries of one call at one hop.
const MAX_ATTEMPTS: u32 = 3;

/// Time-out of one try; a client's patience has room for two.
const ATTEMPT_TIMEOUT_MS: u64 = 500;

/// One entry of the static list.
#[derive(Clone, Debug)]
pub(super) struct TargetEndpoint {
    pub(super) zone: AvailabilityZone,
    pub(super) address: SocketAddr,
}

/// The static list of targets by service.
pub(super) type TargetsByService = HashMap<String, Vec<TargetEndpoint>>;

/// Calls services from one zone.
pub(super) struct BaselineCaller {
    zone: AvailabilityZone,
    targets_by_service: Arc<TargetsByService>,
    partitions: Arc<ZonePartitions>,
    sender: HttpSender,
    next: AtomicUsize,
}

impl BaselineCaller {
    pub(super) fn new(
        zone: AvailabilityZone,
        targets_by_service: Arc<TargetsByService>,
        partitions: Arc<ZonePartitions>,
    ) -> Self {
        Self { zone, targets_by_service, partitions, sender: HttpSender::new(), next: AtomicUsize::new(0) }
    }

    async fn call(&self, request: &ClientRequest) -> SendOutcome {
        let mut outcome = SendOutcome::Failed { cause: "no such service".to_owned() };
        for _ in 0..MAX_ATTEMPTS {
            let Some(target) = self.next_target(request.service()) else {
                break;
            };
            outcome = self.send_attempt(target, request).await;
            if matches!(outcome, SendOutcome::Whole { .. } | SendOutcome::WrongAnswer) {
                break;
            }
        }
        outcome
    }

    fn next_target(&self, service: &str) -> Option<&TargetEndpoint> {
        let targets = self.targets_by_service.get(service)?;
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        targets.get(turn % targets.len())
    }

    async fn send_attempt(&self, target: &TargetEndpoint, request: &ClientRequest) -> SendOutcome {
        let exchange = async {
            if !self.partitions.is_connected(&self.zone, &target.zone) {
                return std::future::pending().await;
            }
            self.sender.send(target.address, request).await
        };
        let timed_out = || SendOutcome::Failed { cause: "try timed out".to_owned() };
        let answer = tokio::time::timeout(Duration::from_millis(ATTEMPT_TIMEOUT_MS), exchange).await;
        answer.unwrap_or_else(|_| timed_out())
    }
}

#[async_trait]
impl ClientCaller for BaselineCaller {
    async fn send(&self, request: &ClientRequest) -> SendOutcome {
        self.call(request).await
    }
}

#[async_trait]
impl ChildCaller for BaselineCaller {
    async fn call(&self, request: ChildRequest) -> Result<(), ChildError> {
        let request_id = request.request_id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
        let request = ClientRequest {
            path: request.path,
            key: None,
            request_id: request_id.to_owned(),
            idempotency_key: None,
            timeout_ms: ATTEMPT_TIMEOUT_MS,
        };
        match self.call(&request).await {
            SendOutcome::Whole { .. } => Ok(()),
            outcome => Err(ChildError::NoResponse(outcome.label())),
        }
    }
}
