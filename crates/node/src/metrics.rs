//! Counters and gauges sent to a UDP address.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cadence::{Counted, Gauged, MetricError, StatsdClient, UdpMetricSink};

use crate::state::NodeState;

/// Pause between reports, in milliseconds.
const REPORT_PAUSE_MS: u64 = 1_000;

/// Prefix of all names.
const PREFIX: &str = "fulmartrestle";

/// Sends metrics until the task is aborted.
///
/// # Errors
///
/// Returns an error when no socket can be opened.
pub async fn run_metrics(state: Arc<NodeState>, address: SocketAddr) -> Result<(), MetricError> {
    let socket = UdpSocket::bind((std::net::Ipv4Addr::UNSPECIFIED, 0))?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(address, socket)?;
    let client = StatsdClient::builder(PREFIX, sink).with_tag("zone", state.zone.as_str()).build();
    let mut reported: Vec<u64> = vec![0; state.counters.named().len()];
    loop {
        tokio::time::sleep(Duration::from_millis(REPORT_PAUSE_MS)).await;
        for (last, counter) in reported.iter_mut().zip(state.counters.named()) {
            let value = counter.counter.get();
            // A receiver that is away loses reports, nothing else.
            let _ = client.count(counter.name, value - *last);
            *last = value;
        }
        let _ = client.gauge("in_flight", state.gate.in_flight() as u64);
    }
}
