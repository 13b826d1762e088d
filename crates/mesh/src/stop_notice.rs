//! Tells the other nodes that the sender of calls ends, so that they don't let its calls wait for longer. See `docs/DRAIN.md`.

use fulmartrestle_core::TimeUs;
use fulmartrestle_policy::StopTimes;
use http::{HeaderMap, HeaderName, HeaderValue};

use crate::state::MeshState;

/// Path of streams that only carry the notice. Builds that don't know it answer 404.
pub const STOPPING_PATH: &str = "/stopping";

/// Headers of streams to other nodes, in milliseconds from now. Durations are sent because the clocks of two nodes cannot be
/// compared. Builds that don't know them ignore them.
const CALLERS_LEFT_IN_MS: HeaderName = HeaderName::from_static("callers-left-in-ms");
const ENDS_IN_MS: HeaderName = HeaderName::from_static("ends-in-ms");

/// Returns the headers that tell the stop of the sender at `now`; empty while it does not stop.
pub fn stop_headers(stop: Option<StopTimes>, now: TimeUs) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Some(StopTimes { callers_left_at, end_at }) = stop {
        headers.insert(CALLERS_LEFT_IN_MS, HeaderValue::from(callers_left_at.ms_since(now)));
        headers.insert(ENDS_IN_MS, HeaderValue::from(end_at.ms_since(now)));
    }
    headers
}

/// Returns the stop of the sender of a stream that arrived at `now`, if its headers tell one.
pub fn stop_from_headers(headers: &HeaderMap, now: TimeUs) -> Option<StopTimes> {
    let after = |name| Some(now.plus_ms(headers.get(name)?.to_str().ok()?.parse().ok()?));
    Some(StopTimes { callers_left_at: after(&CALLERS_LEFT_IN_MS)?, end_at: after(&ENDS_IN_MS)? })
}

/// Tells all nodes to which this one has a connection that it stops. Calls that are sent later carry the notice themselves.
pub fn notify_peers(state: &MeshState, stop: StopTimes) {
    for connection in state.peer_connections.open_connections() {
        let headers = stop_headers(Some(stop), state.now());
        tokio::spawn(async move {
            // A node that can't be reached can't be told, and does not answer its calls either.
            if let Err(error) = connection.notify(STOPPING_PATH, headers).await {
                log::debug!("peer: a node was not told that this one stops: {error}");
            }
        });
    }
}
