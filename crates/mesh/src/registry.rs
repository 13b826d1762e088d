//! Finding the other nodes through the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fulmartrestle_platform_log::{KeyedRecord, LogError, PlatformLog, StreamName};

use crate::journal::Line;
use crate::state::MeshState;
use crate::store_pace::StorePause;
use fulmartrestle_core::lock;

/// Pauses between looks at the list: soon after the start, when others start too, then seldom, because
/// nodes that register tell the others themselves.
const EARLY_LOOKS_MS: [u64; 2] = [1_000, 3_000];
const LATER_LOOK_MS: u64 = 20_000;

/// Registers this node and reads who else is registered, until the task is aborted.
pub async fn run_registry(state: Arc<MeshState>, store: Arc<dyn PlatformLog>, stream: StreamName) {
    let mut looks = EARLY_LOOKS_MS.into_iter();
    let mut pause = StorePause::default();
    loop {
        let pause_ms = match look(&state, store.as_ref(), &stream).await {
            Ok(()) => {
                pause.succeeded();
                looks.next().unwrap_or(LATER_LOOK_MS)
            }
            Err(error) => {
                state.metrics.count("store_failed", "registry");
                state.log(Line::new("registry_failed").text("detail", error));
                pause.failed(state.draw())
            }
        };
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Reads the list; adds this node when it is not there.
async fn look(state: &MeshState, store: &dyn PlatformLog, stream: &StreamName) -> Result<(), LogError> {
    let settings = state.settings();
    let own = settings.peer_address;
    let page = store.read_latest(stream).await?;
    let mut addresses: Vec<SocketAddr> = page.records.iter().filter_map(|record| record.key.parse().ok()).collect();
    let known = addresses.contains(&own);
    if !known {
        let record = KeyedRecord::encode(&own.to_string(), settings.availability_zone.as_str().as_bytes());
        store.append(stream, vec![record]).await?;
        // Of two nodes that register at the same time, the one whose record is later sees the other.
        let page = store.read_latest(stream).await?;
        addresses = page.records.iter().filter_map(|record| record.key.parse().ok()).collect();
    }
    addresses.retain(|address| *address != own);
    let now = state.now();
    {
        let mut peers = lock(&state.peers);
        peers.register(&addresses, now);
        // Nodes that don't know of this one share the rates without it. They hear of it within the time
        // after which a node that hears nothing stops answering keyed requests.
        let wait_ms = if known || settings.first_start { 0 } else { settings.bounds.revoke_ms };
        peers.set_slice_from(now.plus_ms(wait_ms));
    }
    state.status_due.notify_one();
    drop_lapsed(state, store, stream).await
}

/// Drops registrations of nodes that are gone for good. One node does it for all.
async fn drop_lapsed(state: &MeshState, store: &dyn PlatformLog, stream: &StreamName) -> Result<(), LogError> {
    let now = state.now();
    let own = state.settings().peer_address;
    let (lapsed, is_first) = {
        let peers = lock(&state.peers);
        (peers.lapsed(now), peers.live(now).iter().all(|live| own < *live))
    };
    for address in &lapsed {
        if is_first {
            store.append(stream, vec![KeyedRecord::encode(&address.to_string(), &[])]).await?;
            state.log(Line::new("registration_dropped").text("peer", address));
        }
        lock(&state.peers).remove(address);
    }
    Ok(())
}
