//! Caller of the baseline policy: round robin over a static target list, three attempts, no limits.

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

/// Maximum attempts of one call at one hop.
const MAX_ATTEMPTS: u32 = 3;

/// Timeout of one attempt. Two attempts fit into a client's timeout.
const ATTEMPT_TIMEOUT_MS: u64 = 500;

/// Address and zone of one target.
#[derive(Clone, Debug)]
pub(super) struct TargetEndpoint {
    pub(super) zone: AvailabilityZone,
    pub(super) address: SocketAddr,
}

/// Static target lists by service name.
pub(super) type TargetsByService = HashMap<String, Vec<TargetEndpoint>>;

/// Sends calls from one zone directly to the targets.
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
        let outcome = tokio::time::timeout(Duration::from_millis(ATTEMPT_TIMEOUT_MS), exchange).await;
        outcome.unwrap_or_else(|_| timed_out())
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
