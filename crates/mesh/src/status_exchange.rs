//! Sends and receives status messages.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use fulmartrestle_core::{TimeUs, Version, VmId, lock};
use fulmartrestle_policy::{DemandReport, FleetRetryBudgets};
use fulmartrestle_quota::{IssuerCandidate, IssuerTable, IssuingRight, ShardSet};
use fulmartrestle_transport::{decode_exact, encode};
use tokio::net::UdpSocket;

use crate::config_follower::apply_config;
use crate::crash_marks::{CrashNotices, merge_crash_marks};
use crate::evacuation::merge_evacuation;
use crate::event_log::LogLine;
use crate::node_messages::ConfigResponse;
use crate::peer_streams::CONFIG_PATH;
use crate::peer_table::{Registration, StatusEffect};
use crate::state::{MeshState, NodePhase};
use crate::status_message::{NodeIdentity, NodeStatus, StatusMessage, TargetLoad, index_arrivals, index_demand};

/// Interval of status messages, in milliseconds.
const STATUS_INTERVAL_MS: u64 = 1_000;

/// Shortest pause between two rounds of messages that are triggered by changes, in milliseconds.
const MIN_STATUS_PAUSE_MS: u64 = 40;

/// Longest duration of one round of messages, in milliseconds: half of the time by which the leases that they renew
/// last longer on this node than on the receivers.
const MAX_ROUND_MS: u64 = 50;

/// Rounds started for one message. A node so slow that this does not suffice leaves the message out.
const MAX_ROUND_RESTARTS: u32 = 3;

/// Time for a new configuration to arrive from the store before it is fetched from another node, in milliseconds.
const CONFIG_FETCH_DELAY_MS: u64 = 200;

/// Largest status message, in bytes.
const MAX_MESSAGE_BYTES: usize = 2_048;

/// Largest configuration that is accepted from another node, in bytes. The store's own limit for a record is
/// lower.
const MAX_CONFIG_BYTES: usize = 4 << 20;

/// Sends this node's status until the task is aborted.
pub async fn send_status(state: Arc<MeshState>, socket: Arc<UdpSocket>) {
    let mut round = StatusRound::start(&state, None);
    loop {
        let peers: Vec<_> = lock(&state.peers).addresses();
        for address in peers {
            let Some(message) = encode_fresh(&state, &mut round, address) else { continue };
            if let Err(error) = socket.send_to(&message, address).await {
                state.log(LogLine::new("status_not_sent").text("peer", address).text("detail", error));
            }
        }
        let usable_from = lock(&state.issuing_right).next_usable_from(round.started_at);
        let next_round = usable_from.unwrap_or(TimeUs(u64::MAX)).min(round.started_at.plus_ms(STATUS_INTERVAL_MS));
        let interval = state.clock.duration_until(next_round);
        if tokio::time::timeout(interval, state.status_due.notified()).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(MIN_STATUS_PAUSE_MS)).await;
        }
        round = StatusRound::start(&state, Some(round));
    }
}

/// Encodes the message to one node. Starts a new round if this one has lasted too long, for example because the
/// process was suspended: its leases must end on the receiver before they end here.
fn encode_fresh(state: &MeshState, round: &mut StatusRound, address: SocketAddr) -> Option<Vec<u8>> {
    for _ in 0..MAX_ROUND_RESTARTS {
        let message = round.encode_for(state, address);
        if state.now().ms_since(round.started_at) < MAX_ROUND_MS {
            return message;
        }
        *round = StatusRound::start(state, Some(round.clone()));
    }
    None
}

/// Receives the status of other nodes until the task is aborted.
pub async fn receive_status(state: Arc<MeshState>, socket: Arc<UdpSocket>) {
    let mut buffer = [0; MAX_MESSAGE_BYTES];
    loop {
        let (length, sender) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                state.log(LogLine::new("status_not_received").text("detail", error));
                tokio::time::sleep(Duration::from_millis(MIN_STATUS_PAUSE_MS)).await;
                continue;
            }
        };
        match decode_exact::<StatusMessage>(&buffer[..length]) {
            Ok(message) => {
                let status = lock(&state.peers).complete_status(message, sender);
                match status {
                    Some(status) => apply_status(&state, &status),
                    None => introduce(&state, sender),
                }
            }
            Err(error) => state.log(LogLine::new("status_unreadable").text("peer", sender).text("detail", error)),
        }
    }
}

/// Makes this run known to a node that takes it for the run before, which knew the node's names. The store may not answer,
/// so that this node would not learn of the other one at all.
fn introduce(state: &MeshState, sender: SocketAddr) {
    let mut peers = lock(&state.peers);
    if peers.get(&sender).is_none() {
        peers.register(&[Registration { address: sender, zone: None }], state.now());
        state.status_due.notify_one();
    }
}

/// Records the state of this node in the load balancer and in capacity admission, like the status of another node.
fn record_own_status(state: &MeshState, now: TimeUs) {
    let zone = state.settings().availability_zone.clone();
    lock(&state.load_balancer).record_report(state.node_id, &zone, state.gate.report(), now);
    let accepts_calls = state.gate.report().is_some_and(|target| target.ready);
    let demand = state.gate.demand().filter(|_| accepts_calls);
    let arrivals = lock(&state.arrivals).report();
    lock(&state.capacity_admission).record_report(state.node_id, demand, arrivals, now);
}

/// Renews the leases of this node's right to issue tokens. Returns the lessees.
fn renew_leases(state: &MeshState, now: TimeUs) -> IssuerTable {
    let zone = state.settings().availability_zone.clone();
    let mut candidates = lock(&state.peers).issuer_candidates(&zone, now);
    if *state.phase.borrow() == NodePhase::Serving || candidates.is_empty() {
        candidates.push(IssuerCandidate { node: state.node_id, in_own_zone: true });
    }
    let (has_quota_start, all_heard, zone_heard) = {
        let peers = lock(&state.peers);
        let has_quota_start = peers.quota_sharers(now) > 0;
        (has_quota_start, peers.all_have_heard_this_run(None), peers.all_have_heard_this_run(Some(&zone)))
    };
    let mut right = lock(&state.issuing_right);
    if has_quota_start {
        let first_start = state.settings().first_start;
        if zone_heard {
            right.set_usable_from(now, true);
        }
        let all_end = if all_heard || first_start { now } else { IssuingRight::earlier_leases_end(state.started_at) };
        right.set_usable_from(all_end, false);
    }
    let issuers = right.renew(state.node_id, &candidates, now);
    lock(&state.tokens).set_own_rights(&right, state.node_id, now);
    issuers
}

/// Parts of a status message that are the same for all receivers of one round.
#[derive(Clone)]
struct StatusRound {
    started_at: TimeUs,
    identity: NodeIdentity,
    identity_changed_at: TimeUs,
    issuers: IssuerTable,
    message: StatusMessage,
}

impl StatusRound {
    /// Renews the leases of this node, and describes its state.
    fn start(state: &MeshState, last: Option<Self>) -> Self {
        let started_at = state.now();
        record_own_status(state, started_at);
        apply_fleet_shares(state, started_at);
        let issuers = renew_leases(state, started_at);
        let report = state.gate.report();
        let identity = NodeIdentity::new(state.settings().availability_zone.clone(), &report);
        let last = last.filter(|last| last.identity == identity);
        let identity_changed_at = last.map_or(started_at, |last| last.identity_changed_at);
        let crash_marks = lock(&state.crashes).take_marks(started_at);
        lock(&state.crash_mark_log).append(state.node_id, crash_marks, started_at);
        let config = state.config();
        let demand = state.gate.demand();
        let index = |demand: &DemandReport| config.as_ref().map(|config| index_demand(demand, config));
        let arrivals = lock(&state.arrivals).report();
        let evacuation = lock(&state.evacuation).report(started_at);
        let message = StatusMessage {
            node: state.node_id,
            identity: None,
            target: report.map(TargetLoad::from),
            capacity_milli: demand.as_ref().map(|demand| demand.capacity_milli),
            demand: demand.as_ref().and_then(index).unwrap_or_default(),
            arrivals: config.as_ref().map(|config| index_arrivals(&arrivals, config)).unwrap_or_default(),
            version: config.as_ref().map_or(Version(0), |config| config.version()),
            config_age_ms: None,
            reaches_store: state.reaches_store.load(Ordering::Relaxed),
            stamp_us: 0,
            echo_us: None,
            leased: ShardSet::default(),
            issued: lock(&state.tokens).issued_shards(),
            leaving: *state.phase.borrow() != NodePhase::Serving,
            crashes: CrashNotices::default(),
            crashes_received: 0,
            evacuation,
        };
        Self { started_at, identity, identity_changed_at, issuers, message }
    }

    /// Encodes the message to one node.
    fn encode_for(&self, state: &MeshState, address: SocketAddr) -> Option<Vec<u8>> {
        let now = state.now();
        let mut message = self.message.clone();
        message.config_age_ms = state.config_age_ms(now);
        message.stamp_us = now.0;
        {
            let peers = lock(&state.peers);
            let peer = peers.get(&address)?;
            message.echo_us = Some(peer.stamp_us).filter(|stamp| *stamp > 0);
            message.leased = peer.node.map(|node| ShardSet::issued_by(&self.issuers, node)).unwrap_or_default();
            message.crashes = lock(&state.crash_mark_log).notices_from(peer.crashes_confirmed, now);
            message.crashes_received = peer.crashes_received;
            let knows_identity = peer.confirmed_stamp >= self.identity_changed_at;
            message.identity = Some(self.identity.clone()).filter(|_| !knows_identity);
        }
        match encode(&message) {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                state.log(LogLine::new("status_not_sent").text("peer", address).text("detail", error));
                None
            }
        }
    }
}

fn apply_status(state: &Arc<MeshState>, status: &NodeStatus) {
    let now = state.now();
    let message = &status.message;
    let effect = lock(&state.peers).record_status(status, state.started_at, now);
    if effect.is_outdated {
        return;
    }
    if !message.crashes.notices.is_empty() {
        merge_crash_marks(state, message.crashes.marks(message.node), now);
    }
    if let Some(evacuation) = &message.evacuation {
        merge_evacuation(state, evacuation);
    }
    let StatusEffect { replaced, is_new, .. } = effect;
    apply_leases(state, message, replaced, now);
    let target = status.target_report();
    let accepts_calls = target.as_ref().is_some_and(|target| target.ready);
    {
        let mut load_balancer = lock(&state.load_balancer);
        if let Some(replaced) = replaced {
            load_balancer.remove(replaced);
            load_balancer.contact().remove(replaced);
        }
        load_balancer.record_report(message.node, &status.identity.zone, target, now);
        load_balancer.contact().record_sign(message.node, &status.identity.zone, now);
    }
    let config = state.config();
    let own_version = config.as_ref().map_or(Version(0), |config| config.version());
    {
        let mut capacity_admission = lock(&state.capacity_admission);
        if let Some(replaced) = replaced {
            capacity_admission.remove(replaced);
        }
        // Positions of routes mean something else in another version; the last report stays for a moment.
        if let Some(config) = config.filter(|config| config.version() == message.version) {
            let demand = status.demand(&config).filter(|_| accepts_calls);
            capacity_admission.record_report(message.node, demand, status.arrivals(&config), now);
        }
    }
    if is_new {
        state.log(LogLine::new("peer_heard").text("peer", status.address).text("node", message.node));
        state.status_due.notify_one();
    }
    if let (Some(echo_us), Some(age_ms)) = (message.echo_us, message.config_age_ms) {
        let mut freshness = lock(&state.freshness);
        freshness.record_peer_confirmation(TimeUs(echo_us), age_ms, message.version, own_version, now);
    }
    if message.version > own_version {
        state.store_due.notify_one();
        if !state.fetches_config.swap(true, Ordering::Relaxed) {
            tokio::spawn(fetch_config(Arc::clone(state), status.address, message.version));
        }
    }
}

/// Records the leases of a node, and ends those to and from its earlier run.
fn apply_leases(state: &MeshState, message: &StatusMessage, replaced: Option<VmId>, now: TimeUs) {
    if let Some(replaced) = replaced {
        lock(&state.issuing_right).end_leases_to(replaced);
    }
    let mut tokens = lock(&state.tokens);
    if let Some(replaced) = replaced {
        tokens.remove_lessor(replaced, now);
    }
    if let Some(echo_us) = message.echo_us {
        tokens.record_leases(message.node, message.leased, TimeUs(echo_us), now);
    }
}

/// Fetches a newer configuration from another node, unless it arrives from the store soon.
async fn fetch_config(state: Arc<MeshState>, address: SocketAddr, version: Version) {
    tokio::time::sleep(Duration::from_millis(CONFIG_FETCH_DELAY_MS)).await;
    if state.config().is_none_or(|config| config.version() < version) {
        fetch_config_now(&state, address).await;
    }
    state.fetches_config.store(false, Ordering::Relaxed);
}

async fn fetch_config_now(state: &MeshState, address: SocketAddr) {
    let request = async {
        let connection = state.peer_connections.connection(address).await?;
        connection.request::<ConfigResponse>(CONFIG_PATH, Bytes::new(), MAX_CONFIG_BYTES).await
    };
    match tokio::time::timeout(Duration::from_millis(STATUS_INTERVAL_MS), request).await {
        Ok(Ok(response)) if !response.bytes.is_empty() => {
            apply_config(state, &response.bytes, "peer");
        }
        Ok(Ok(_)) => {}
        Ok(Err(error)) => state.log(LogLine::new("config_not_fetched").text("peer", address).text("detail", error)),
        Err(_) => state.log(
            LogLine::new("config_not_fetched").text("peer", address).text("detail", "timed out waiting for a response"),
        ),
    }
}

/// Divides the bounds of the whole fleet among the known nodes.
fn apply_fleet_shares(state: &MeshState, now: TimeUs) {
    let sharers = lock(&state.peers).quota_sharers(now);
    let bounds = state.settings().bounds;
    lock(&state.tokens).set_fleet_size(sharers, bounds.quota_slack, now);
    let budgets = FleetRetryBudgets::for_node(bounds.retry_ratio, bounds.retry_slack, sharers);
    lock(&state.resend_budgets).set_settings(budgets.resend);
    lock(&state.call_rerun_budgets).set_settings(budgets.call_rerun);
    lock(&state.request_rerun_budgets).set_settings(budgets.request_rerun);
    state.metrics.set_gauge("sharers", sharers as u64);
}
