//! Discovers the other nodes through the store.

use std::sync::Arc;

use fulmartrestle_platform_log::{KeyedRecord, LogError, PlatformLog, StreamName};

use crate::event_log::LogLine;
use crate::left_runs::apply_stored_left_runs;
use crate::peer_table::Registration;
use crate::settled_era::apply_settled_era;
use crate::state::MeshState;
use crate::store_polling::StoreBackoff;
use fulmartrestle_core::lock;

/// Pauses between two reads of the registrations, in milliseconds. The first one is short, in case that the store
/// returned from an older copy meanwhile. Later reads are rare, because newly registered nodes send status messages
/// to the others themselves.
const EARLY_REFRESH_PAUSES_MS: [u64; 1] = [5_000];
const REFRESH_PAUSE_MS: u64 = 60_000;

/// Interval between checks for nodes that are gone, in milliseconds.
const EXPIRY_CHECK_INTERVAL_MS: u64 = 1_000;

/// Registers this node and reads the registrations of the others, until the task is aborted.
pub async fn run_registry(state: Arc<MeshState>, store: Arc<dyn PlatformLog>, stream: StreamName) {
    let mut early_pauses_ms = EARLY_REFRESH_PAUSES_MS.into_iter();
    let mut backoff = StoreBackoff::default();
    loop {
        let pause_ms = match sync_registrations(&state, store.as_ref(), &stream).await {
            Ok(()) => {
                backoff.reset();
                early_pauses_ms.next().unwrap_or(REFRESH_PAUSE_MS)
            }
            Err(error) => {
                state.metrics.increment("store_failed", "registry");
                state.log(LogLine::new("registry_failed").text("detail", error));
                backoff.next_delay_ms(state.random_unit())
            }
        };
        pause(&state, store.as_ref(), &stream, pause_ms).await;
    }
}

/// Waits, and meanwhile removes the registrations of nodes that are gone.
async fn pause(state: &MeshState, store: &dyn PlatformLog, stream: &StreamName, pause_ms: u64) {
    let end = state.now().plus_ms(pause_ms);
    let era = store.era();
    // In a new era the registrations that were written last are gone.
    while state.now() < end && store.era() == era {
        let due = end.min(state.now().plus_ms(EXPIRY_CHECK_INTERVAL_MS));
        tokio::time::sleep(state.clock.duration_until(due)).await;
        lock(&state.peers).observe_timer(due, state.now());
        if let Err(error) = remove_expired(state, store, stream).await {
            state.log(LogLine::new("registry_failed").text("detail", error));
            return;
        }
    }
}

/// Reads the registrations and adds this node if it is missing.
async fn sync_registrations(state: &MeshState, store: &dyn PlatformLog, stream: &StreamName) -> Result<(), LogError> {
    let settings = state.settings();
    let own_address = settings.peer_address;
    let page = store.read_latest(stream).await?;
    apply_stored_left_runs(state, &page.records);
    apply_settled_era(state, &page.records);
    let mut registrations = decode_registrations(&page.records);
    let registered = registrations.iter().any(|registration| registration.address == own_address);
    if !registered {
        let record = KeyedRecord::encode(&own_address.to_string(), settings.availability_zone.as_str().as_bytes());
        store.append(stream, vec![record]).await?;
        // If two nodes register at the same time, the one with the later record sees the other.
        let page = store.read_latest(stream).await?;
        registrations = decode_registrations(&page.records);
    }
    registrations.retain(|registration| registration.address != own_address);
    let now = state.now();
    {
        let mut peers = lock(&state.peers);
        peers.register(&registrations, now);
        // Nodes that do not know this one yet divide the tenants' rates without it. They learn of it within the
        // time after which a node without confirmation rejects requests with keys, so this node waits for that
        // long before it uses its share.
        let wait_ms = if registered || settings.first_start { 0 } else { settings.bounds.revoke_ms };
        peers.set_quota_start(now.plus_ms(wait_ms));
    }
    state.status_due.notify_one();
    Ok(())
}

/// Decodes the registrations. A record that names no address is skipped.
fn decode_registrations(records: &[KeyedRecord]) -> Vec<Registration> {
    let decode = |record: &KeyedRecord| {
        let address = record.key.parse().ok()?;
        let zone = std::str::from_utf8(&record.value).ok().and_then(|zone| zone.parse().ok());
        Some(Registration { address, zone })
    };
    records.iter().filter_map(decode).collect()
}

/// Removes this node's own registration, because its VM is taken away.
pub async fn withdraw_registration(state: &MeshState, store: &dyn PlatformLog, stream: &StreamName) {
    let address = state.settings().peer_address;
    match store.append(stream, vec![KeyedRecord::encode(&address.to_string(), &[])]).await {
        Ok(_) => state.log(LogLine::new("registration_dropped").text("peer", address)),
        Err(error) => state.log(LogLine::new("registry_failed").text("detail", error)),
    }
}

/// Removes the registrations of nodes that are gone. Only the live node with the lowest address writes to the
/// store.
async fn remove_expired(state: &MeshState, store: &dyn PlatformLog, stream: &StreamName) -> Result<(), LogError> {
    let now = state.now();
    let own_address = state.settings().peer_address;
    let (expired, is_lowest_address) = {
        let peers = lock(&state.peers);
        (peers.expired_registrations(now), peers.live_addresses(now).iter().all(|live| own_address < *live))
    };
    for address in &expired {
        if is_lowest_address {
            store.append(stream, vec![KeyedRecord::encode(&address.to_string(), &[])]).await?;
            state.log(LogLine::new("registration_dropped").text("peer", address));
        }
        lock(&state.peers).remove(address);
    }
    Ok(())
}
