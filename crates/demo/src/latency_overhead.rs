//! The time that the fleet adds to a call, on a fleet without other load.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fulmartrestle_core::Service;
use futures_util::future::join_all;
use hdrhistogram::Histogram;

use crate::fleet::{ClientCaller, ClientRequest, Fleet, HttpSender, SendOutcome};

/// Pairs of one direct call and one call through the fleet. With 1000, ten lie above the 99th percentile.
const PAIR_COUNT: u32 = 1_000;

/// Pause between pairs; the targets stay nearly idle, so that nothing waits.
const PAIR_INTERVAL_US: u64 = 2_000;

/// Pairs at the beginning that make connections and are not counted.
const WARM_UP_PAIRS: u32 = 50;

const TIMEOUT_MS: u64 = 5_000;

/// Times are kept up to one minute with three digits.
const MAX_RECORDED_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Times outside the target, in microseconds, of calls that were made in pairs.
pub struct LatencyOverhead {
    /// Direct calls.
    pub direct_us: Histogram<u64>,
    /// Calls through the fleet.
    pub proxied_us: Histogram<u64>,
}

impl Default for LatencyOverhead {
    fn default() -> Self {
        Self { direct_us: latency_histogram(), proxied_us: latency_histogram() }
    }
}

impl LatencyOverhead {
    /// Returns what the fleet adds to a direct call at this quantile, in microseconds.
    pub(crate) fn added_us(&self, quantile: f64) -> u64 {
        let proxied_us = self.proxied_us.value_at_quantile(quantile);
        proxied_us.saturating_sub(self.direct_us.value_at_quantile(quantile))
    }
}

/// Returns an empty histogram of times in microseconds.
pub(crate) fn latency_histogram() -> Histogram<u64> {
    match Histogram::new_with_bounds(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS) {
        Ok(histogram) => histogram,
        Err(error) => unreachable!("constant bounds are valid: {error}"),
    }
}

/// What the calls are made with.
struct OverheadProbe {
    sender: HttpSender,
    through: Arc<dyn ClientCaller>,
    targets: Vec<SocketAddr>,
    service: Service,
    key: String,
}

/// Measures calls to `service`, which calls no other, direct and through the fleet in turn.
pub(crate) async fn measure_latency_overhead(fleet: &dyn Fleet, service: &Service) -> LatencyOverhead {
    let own = fleet.targets().iter().filter(|target| target.settings().service == *service);
    let probe = OverheadProbe {
        sender: HttpSender::new(),
        through: fleet.remote_caller(service),
        targets: own.map(|target| target.address()).collect(),
        service: service.clone(),
        key: fleet.key(0),
    };
    let started = Instant::now();
    let pairs = join_all((0..PAIR_COUNT).map(|pair| probe.pair(started, pair))).await;
    let mut latency_overhead = LatencyOverhead::default();
    for (direct_us, proxied_us) in pairs.into_iter().skip(WARM_UP_PAIRS as usize).flatten() {
        latency_overhead.direct_us.saturating_record(direct_us);
        latency_overhead.proxied_us.saturating_record(proxied_us);
    }
    latency_overhead
}

impl OverheadProbe {
    /// Makes both calls of one pair at its time; returns nothing unless both were answered.
    async fn pair(&self, started: Instant, pair: u32) -> Option<(u64, u64)> {
        let at = started + Duration::from_micros(PAIR_INTERVAL_US) * pair;
        tokio::time::sleep_until(at.into()).await;
        let direct_us = self.direct(pair).await;
        let proxied_us = self.through(pair).await;
        Some((direct_us?, proxied_us?))
    }

    async fn direct(&self, pair: u32) -> Option<u64> {
        let target = self.targets[pair as usize % self.targets.len()];
        let request = ClientRequest { key: None, ..self.request("direct", pair) };
        let sent = Instant::now();
        outside_target_us(sent, self.sender.send(target, &request).await)
    }

    async fn through(&self, pair: u32) -> Option<u64> {
        let request = self.request("through", pair);
        let sent = Instant::now();
        outside_target_us(sent, self.through.send(&request).await)
    }

    fn request(&self, kind: &str, pair: u32) -> ClientRequest {
        let request_id = format!("{kind}-{pair}");
        ClientRequest {
            path: format!("/{}/{request_id}", self.service),
            key: Some(self.key.clone()),
            request_id,
            idempotency_key: None,
            timeout_ms: TIMEOUT_MS,
        }
    }
}

fn outside_target_us(sent: Instant, outcome: SendOutcome) -> Option<u64> {
    let elapsed_us = sent.elapsed().as_micros() as u64;
    match outcome {
        SendOutcome::Whole { in_target_us } => Some(elapsed_us.saturating_sub(in_target_us)),
        _ => None,
    }
}
