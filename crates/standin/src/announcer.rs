//! Announces the target to its own node.

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
use crate::shared::{Life, Shared};

/// Announcements are renewed three times within the node's lease of 3 s, so that one may be lost.
const RENEWAL_MS: u64 = 1_000;

/// While the node doesn't answer, the target asks more often, so that a start isn't held up.
const RETRY_MS: u64 = 100;

/// An announcement that takes longer is given up and sent again.
const TIMEOUT_MS: u64 = 500;

/// Body of an announcement.
#[record]
struct Announcement {
    service: Service,
    address: SocketAddr,
    slots: u32,
    connections: u32,
    warm_up_ms: u64,
    leaving: bool,
    protocol: Protocol,
}

/// Announces the target to the node at `node_admin` until it is stopped. A crashed target says nothing.
pub(crate) async fn announce(shared: Arc<Shared>, address: SocketAddr, node_admin: SocketAddr) {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let url = format!("http://{node_admin}/v1/target");
    loop {
        let life = *shared.life.borrow();
        let heard = match life {
            Life::Stopped => return,
            Life::Crashed => true,
            Life::Up(_) => send(&client, &url, &announcement(&shared, address)).await,
        };
        let pause = Duration::from_millis(if heard { RENEWAL_MS } else { RETRY_MS });
        let _ = tokio::time::timeout(pause, shared.announce_now.notified()).await;
    }
}

fn announcement(shared: &Shared, address: SocketAddr) -> Announcement {
    let settings = &shared.settings;
    Announcement {
        service: settings.service.clone(),
        address,
        slots: settings.slots,
        connections: settings.connections,
        warm_up_ms: settings.warm_up_ms,
        leaving: shared.behaviour().draining,
        protocol: settings.protocol,
    }
}

/// Sends one announcement and returns whether the node accepted it.
async fn send(client: &Client<HttpConnector, Full<Bytes>>, url: &str, announcement: &Announcement) -> bool {
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
    let answered = tokio::time::timeout(Duration::from_millis(TIMEOUT_MS), exchange).await;
    let accepted = answered.ok().flatten() == Some(true);
    if !accepted {
        log::debug!("standin: announcement to {url} was not accepted");
    }
    accepted
}
