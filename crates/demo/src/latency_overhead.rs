//! Latency that the fleet adds to a call, measured without other load.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fulmartrestle_core::Service;
use futures_util::future::join_all;
use hdrhistogram::Histogram;

use crate::fleet::{ClientCaller, ClientRequest, Fleet, HttpSender, SendOutcome};

/// Number of pairs of a direct call and a call through the fleet. With 1000 pairs, ten are above the 99th
/// percentile.
const PAIR_COUNT: u32 = 1_000;

/// Interval between the starts of pairs. The targets stay nearly idle, so that no call is queued.
const PAIR_INTERVAL_US: u64 = 2_000;

/// Number of pairs at the start that open connections and are not counted.
const WARM_UP_PAIRS: u32 = 50;

const CALL_TIMEOUT_MS: u64 = 5_000;

/// Largest latency that histograms record, one minute. Larger ones are recorded as this value.
const MAX_RECORDED_US: u64 = 60_000_000;

/// Significant decimal digits of latencies in histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latencies of paired calls outside the target, which exclude the time that the target took.
pub struct LatencyOverhead {
    /// Latencies of direct calls, in microseconds.
    pub direct_us: Histogram<u64>,
    /// Latencies of calls through the fleet, in microseconds.
    pub proxied_us: Histogram<u64>,
}

impl Default for LatencyOverhead {
    fn default() -> Self {
        Self { direct_us: latency_histogram(), proxied_us: latency_histogram() }
    }
}

impl LatencyOverhead {
    /// Returns the difference between the latencies through the fleet and of direct calls at this quantile,
    /// in microseconds, or zero if it is negative.
    pub(crate) fn added_us(&self, quantile: f64) -> u64 {
        let proxied_us = self.proxied_us.value_at_quantile(quantile);
        proxied_us.saturating_sub(self.direct_us.value_at_quantile(quantile))
    }
}

/// Returns an empty histogram of latencies in microseconds.
pub(crate) fn latency_histogram() -> Histogram<u64> {
    match Histogram::new_with_bounds(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS) {
        Ok(histogram) => histogram,
        Err(error) => unreachable!("constant bounds are valid: {error}"),
    }
}

/// Clients and call parameters of the measurement.
struct OverheadProbe {
    sender: HttpSender,
    proxied_caller: Arc<dyn ClientCaller>,
    targets: Vec<SocketAddr>,
    service: Service,
    key: String,
}

/// Measures the latency of calls to `service`, alternating between direct calls and calls through the
/// fleet. The service must not call other services.
pub(crate) async fn measure_latency_overhead(fleet: &dyn Fleet, service: &Service) -> LatencyOverhead {
    let service_targets = fleet.targets().iter().filter(|target| target.settings().service == *service);
    let probe = OverheadProbe {
        sender: HttpSender::new(),
        proxied_caller: fleet.remote_caller(service),
        targets: service_targets.map(|target| target.address()).collect(),
        service: service.clone(),
        key: fleet.key(0),
    };
    let started = Instant::now();
    let pairs = join_all((0..PAIR_COUNT).map(|pair| probe.measure_pair(started, pair))).await;
    let mut latency_overhead = LatencyOverhead::default();
    for (direct_us, proxied_us) in pairs.into_iter().skip(WARM_UP_PAIRS as usize).flatten() {
        latency_overhead.direct_us.saturating_record(direct_us);
        latency_overhead.proxied_us.saturating_record(proxied_us);
    }
    latency_overhead
}

impl OverheadProbe {
    /// Makes both calls of a pair at the start time of the pair. Returns the latencies outside the target
    /// in microseconds, direct and through the fleet, or `None` unless both calls succeeded.
    async fn measure_pair(&self, started: Instant, pair: u32) -> Option<(u64, u64)> {
        let pair_start = started + Duration::from_micros(PAIR_INTERVAL_US) * pair;
        tokio::time::sleep_until(pair_start.into()).await;
        let direct_us = self.call_directly(pair).await;
        let proxied_us = self.call_through_fleet(pair).await;
        Some((direct_us?, proxied_us?))
    }

    async fn call_directly(&self, pair: u32) -> Option<u64> {
        let target = self.targets[pair as usize % self.targets.len()];
        let request = ClientRequest { key: None, ..self.request("direct", pair) };
        let sent = Instant::now();
        outside_target_us(sent, self.sender.send(target, &request).await)
    }

    async fn call_through_fleet(&self, pair: u32) -> Option<u64> {
        let request = self.request("through", pair);
        let sent = Instant::now();
        outside_target_us(sent, self.proxied_caller.send(&request).await)
    }

    fn request(&self, kind: &str, pair: u32) -> ClientRequest {
        let request_id = format!("{kind}-{pair}");
        ClientRequest {
            path: format!("/{}/{request_id}", self.service),
            key: Some(self.key.clone()),
            request_id,
            idempotency_key: None,
            timeout_ms: CALL_TIMEOUT_MS,
        }
    }
}

/// Returns the latency of a successful call without the time in the target, in microseconds.
fn outside_target_us(sent: Instant, outcome: SendOutcome) -> Option<u64> {
    let elapsed_us = sent.elapsed().as_micros() as u64;
    match outcome {
        SendOutcome::Whole { in_target_us } => Some(elapsed_us.saturating_sub(in_target_us)),
        _ => None,
    }
}
