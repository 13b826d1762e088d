//! Load generator with clients that retry aggressively.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use super::Arrival;
use crate::deployment::Deployment;
use crate::fleet::{ClientRequest, Fleet, SendOutcome};
use crate::measure::SendRow;

/// Timeout of a client for one send.
const CLIENT_TIMEOUT_MS: u64 = 1_000;

/// Maximum number of times that a client repeats a request without a complete response. It ignores
/// `Retry-After`.
const MAX_RETRIES: u32 = 3;

/// Random delay before a retry, in milliseconds.
const RETRY_DELAY_MS: std::ops::Range<u64> = 20..60;

/// State that all clients of one run share.
pub(crate) struct LoadGenerator {
    pub(crate) deployment: Arc<Deployment>,
    pub(crate) fleet: Arc<dyn Fleet>,
    pub(crate) started: Instant,
    pub(crate) seed: u64,
    pub(crate) sends: Mutex<Vec<SendRow>>,
}

/// Starts a client for each arrival at its time. Returns when all clients have a complete response or have
/// given up.
pub(crate) async fn generate_load(generator: Arc<LoadGenerator>, arrivals: Vec<Arrival>) {
    let mut requests = JoinSet::new();
    for (number, arrival) in arrivals.into_iter().enumerate() {
        let start_at = generator.started + Duration::from_micros(arrival.arrival_us);
        if start_at > Instant::now() {
            tokio::time::sleep_until(start_at.into()).await;
        }
        requests.spawn(Arc::clone(&generator).send_until_complete(number as u64, arrival));
        while requests.try_join_next().is_some() {}
    }
    while requests.join_next().await.is_some() {}
}

impl LoadGenerator {
    /// Sends one request until a complete response is received or the retries are used up.
    async fn send_until_complete(self: Arc<Self>, request_number: u64, arrival: Arrival) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        random.set_stream(request_number);
        for send_index in 0..=MAX_RETRIES {
            let row = self.send_once(request_number, send_index, arrival).await;
            let complete = matches!(row.outcome, SendOutcome::Whole { .. });
            self.sends.lock().unwrap_or_else(PoisonError::into_inner).push(row);
            if complete {
                return;
            }
            let delay_ms = random.random_range(RETRY_DELAY_MS);
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    async fn send_once(&self, request_number: u64, send_index: u32, arrival: Arrival) -> SendRow {
        let request = self.build_request(request_number, send_index, arrival);
        let caller = self.fleet.caller(arrival.zone);
        let sent_us = self.now_us();
        let result = tokio::time::timeout(Duration::from_millis(CLIENT_TIMEOUT_MS), caller.send(&request)).await;
        let outcome = result.unwrap_or_else(|_| SendOutcome::Failed { cause: "no answer in time".to_owned() });
        SendRow { request_number, send_index, arrival, sent_us, ended_us: self.now_us(), outcome }
    }

    fn build_request(&self, request_number: u64, send_index: u32, arrival: Arrival) -> ClientRequest {
        let tenant = &self.deployment.tenants[arrival.tenant];
        let route = &self.deployment.routes[arrival.route];
        ClientRequest {
            path: format!("{}/{}/{request_number}", route.path, tenant.tenant),
            key: Some(self.fleet.key(arrival.tenant)),
            request_id: request_id(request_number, send_index),
            idempotency_key: route.at_most_once.then(|| idempotency_key(request_number)),
            timeout_ms: CLIENT_TIMEOUT_MS,
        }
    }

    fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }
}

/// Returns the request id of one send of a request.
pub fn request_id(request_number: u64, send_index: u32) -> String {
    format!("{request_number}-{send_index}")
}

/// Returns the idempotency key of a request, which all its sends share.
fn idempotency_key(request_number: u64) -> String {
    format!("request-{request_number}")
}
