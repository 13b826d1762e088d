//! Periodic announcements of the target to its own node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fulmartrestle_core::Service;
use fulmartrestle_derive::record;
use http::{Request, header};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::Protocol;
use crate::shared_state::{ProcessState, SharedState};

/// Interval of announcements. Three fit into the node's lease of 3 s, so that one may be lost.
const RENEWAL_INTERVAL_MS: u64 = 1_000;

/// Interval of attempts while the node doesn't accept announcements. It is short, so that the target becomes
/// available soon after the node has started.
const RETRY_INTERVAL_MS: u64 = 100;

/// An announcement without a response after this time is sent again.
const REQUEST_TIMEOUT_MS: u64 = 500;

/// JSON body of an announcement.
#[record]
struct Announcement {
    service: Service,
    address: SocketAddr,
    slots: u32,
    connections: u32,
    warm_up_ms: u64,
    leaving: bool,
    protocol: Protocol,
    started_unix_ms: i64,
}

/// Announces the target to the node at `node_admin` until the target is stopped. A crashed target sends no
/// announcements.
pub(crate) async fn announce(shared: Arc<SharedState>, address: SocketAddr, node_admin: SocketAddr) {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let url = format!("http://{node_admin}/v1/target");
    loop {
        let state = *shared.process_state.borrow();
        let is_up_to_date = match state {
            ProcessState::Stopped => return,
            ProcessState::Crashed => true,
            ProcessState::Up(_) => send_announcement(&client, &url, &announcement(&shared, address)).await,
        };
        let pause = Duration::from_millis(if is_up_to_date { RENEWAL_INTERVAL_MS } else { RETRY_INTERVAL_MS });
        let _ = tokio::time::timeout(pause, shared.announce_now.notified()).await;
    }
}

/// Builds the announcement from the settings and the current behaviour.
fn announcement(shared: &SharedState, address: SocketAddr) -> Announcement {
    let settings = &shared.settings;
    Announcement {
        service: settings.service.clone(),
        address,
        slots: settings.slots,
        connections: settings.connections,
        warm_up_ms: settings.warm_up_ms,
        leaving: shared.behaviour().draining,
        protocol: settings.protocol,
        started_unix_ms: shared.started_unix_ms(),
    }
}

/// Sends one announcement and returns whether the node accepted it.
async fn send_announcement(
    client: &Client<HttpConnector, Full<Bytes>>,
    url: &str,
    announcement: &Announcement,
) -> bool {
    let body = serde_json::to_vec(announcement).unwrap_or_default();
    let request = Request::post(url).header(header::CONTENT_TYPE, "application/json").body(Full::new(body.into()));
    let Ok(request) = request else {
        return false;
    };
    let exchange = async {
        let response = client.request(request).await.ok()?;
        let accepted = response.status().is_success();
        response.into_body().collect().await.ok()?;
        Some(accepted)
    };
    let exchanged = tokio::time::timeout(Duration::from_millis(REQUEST_TIMEOUT_MS), exchange).await;
    let accepted = exchanged.ok().flatten() == Some(true);
    if !accepted {
        log::debug!("standin: announcement to {url} was not accepted");
    }
    accepted
}
