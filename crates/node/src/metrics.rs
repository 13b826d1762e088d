//! Metrics, sent as StatsD datagrams to a UDP address.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cadence::{Counted, Gauged, MetricError, StatsdClient, UdpMetricSink};

use crate::state::NodeState;

/// Interval between reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Prefix of all metric names.
const METRIC_PREFIX: &str = "fulmartrestle";

/// Sends metrics until the task is aborted.
///
/// # Errors
///
/// Returns an error when the UDP socket can't be opened.
pub async fn run_metrics(state: Arc<NodeState>, address: SocketAddr) -> Result<(), MetricError> {
    let socket = UdpSocket::bind((std::net::Ipv4Addr::UNSPECIFIED, 0))?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(address, socket)?;
    let client = StatsdClient::builder(METRIC_PREFIX, sink).with_tag("zone", state.zone.as_str()).build();
    let mut reported: Vec<u64> = vec![0; state.counters.named().len()];
    loop {
        tokio::time::sleep(Duration::from_millis(REPORT_INTERVAL_MS)).await;
        for (last_value, counter) in reported.iter_mut().zip(state.counters.named()) {
            let value = counter.counter.get();
            // If the receiver is unavailable, only this report is lost.
            let _ = client.count(counter.name, value - *last_value);
            *last_value = value;
        }
        let _ = client.gauge("in_flight", state.gate.in_flight() as u64);
    }
}
