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
use super::{ClientCaller, ClientRequest, LinkCuts, SendOutcome};

/// Tries of one call at one hop.
const TRIES: u32 = 3;

/// Time-out of one try; a client's patience has room for two.
const TRY_TIMEOUT_MS: u64 = 500;

/// One entry of the static list.
#[derive(Clone, Debug)]
pub(super) struct ListedTarget {
    pub(super) zone: AvailabilityZone,
    pub(super) address: SocketAddr,
}

/// The static list of targets by service.
pub(super) type TargetList = HashMap<String, Vec<ListedTarget>>;

/// Calls services from one zone.
pub(super) struct BaselineCaller {
    zone: AvailabilityZone,
    list: Arc<TargetList>,
    cuts: Arc<LinkCuts>,
    sender: HttpSender,
    next: AtomicUsize,
}

impl BaselineCaller {
    pub(super) fn new(zone: AvailabilityZone, list: Arc<TargetList>, cuts: Arc<LinkCuts>) -> Self {
        Self { zone, list, cuts, sender: HttpSender::new(), next: AtomicUsize::new(0) }
    }

    async fn call(&self, request: &ClientRequest) -> SendOutcome {
        let mut outcome = SendOutcome::Failed { cause: "no such service".to_owned() };
        for _ in 0..TRIES {
            let Some(target) = self.next_target(request.service()) else {
                break;
            };
            outcome = self.try_once(target, request).await;
            if matches!(outcome, SendOutcome::Whole { .. } | SendOutcome::WrongAnswer) {
                break;
            }
        }
        outcome
    }

    fn next_target(&self, service: &str) -> Option<&ListedTarget> {
        let targets = self.list.get(service)?;
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        targets.get(turn % targets.len())
    }

    async fn try_once(&self, target: &ListedTarget, request: &ClientRequest) -> SendOutcome {
        let exchange = async {
            if !self.cuts.allows(&self.zone, &target.zone) {
                return std::future::pending().await;
            }
            self.sender.send(target.address, request).await
        };
        let timed_out = || SendOutcome::Failed { cause: "try timed out".to_owned() };
        let answer = tokio::time::timeout(Duration::from_millis(TRY_TIMEOUT_MS), exchange).await;
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
            timeout_ms: TRY_TIMEOUT_MS,
        };
        match self.call(&request).await {
            SendOutcome::Whole { .. } => Ok(()),
            outcome => Err(ChildError::NoResponse(outcome.label())),
        }
    }
}
