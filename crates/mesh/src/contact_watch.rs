//! Watches the contact to the node of a request under way, and logs changes of the contact to all nodes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use fulmartrestle_core::{TimeUs, VmId, lock};
use fulmartrestle_policy::{ContactChange, ContactCheck, ContactSubject, LoadBalancer};
use fulmartrestle_transport::{BodyWatcher, ByteBody, PeerConnection, PongObserver, WatchedBody};
use http_body_util::BodyExt;

use crate::clock::BootClock;
use crate::event_log::LogLine;
use crate::peer_table::PeerTable;
use crate::state::MeshState;

/// Shortest time between two signs of life that are recorded for one response body, in milliseconds. Each takes the
/// lock of the load balancer.
const BODY_SIGN_INTERVAL_MS: u64 = 50;

/// Waits until the node of a request that was sent at `sent_at` is silent for so long that the request should leave
/// it. Has the node pinged meanwhile, so that also other requests learn of its silence.
pub async fn wait_until_lost(state: &MeshState, node: VmId, connection: &PeerConnection, sent_at: TimeUs) {
    loop {
        let check = lock(&state.load_balancer).contact().check_waiting(node, sent_at, state.now());
        match check {
            ContactCheck::Wait(until) => {
                tokio::time::sleep(state.clock.duration_until(until)).await;
                lock(&state.load_balancer).contact().observe_timer(until, state.now());
            }
            ContactCheck::Probe => connection.ping_now(),
            ContactCheck::Lost => return,
        }
    }
}

/// Returns an observer that records the answers to pings as signs of life.
pub fn pong_observer(
    clock: BootClock,
    peers: Arc<Mutex<PeerTable>>,
    load_balancer: Arc<Mutex<LoadBalancer>>,
) -> PongObserver {
    Arc::new(move |address: SocketAddr| {
        let node = lock(&peers).get(&address).and_then(|peer| peer.node);
        if let Some(node) = node {
            lock(&load_balancer).record_sign(node, clock.now());
        }
    })
}

/// Returns a response body whose bytes count as signs of life of its node.
pub fn watch_body(state: &MeshState, node: VmId, body: ByteBody) -> ByteBody {
    let load_balancer = Arc::clone(&state.load_balancer);
    let watcher = BodySigns { clock: state.clock, load_balancer, node, recorded_at: state.now() };
    WatchedBody::new(body, watcher).boxed_unsync()
}

struct BodySigns {
    clock: BootClock,
    load_balancer: Arc<Mutex<LoadBalancer>>,
    node: VmId,
    recorded_at: TimeUs,
}

impl BodyWatcher for BodySigns {
    fn on_frame(&mut self, _data_bytes: usize) {
        let now = self.clock.now();
        if now.ms_since(self.recorded_at) >= BODY_SIGN_INTERVAL_MS {
            self.recorded_at = now;
            lock(&self.load_balancer).record_sign(self.node, now);
        }
    }

    fn on_end(&mut self, _complete: bool) {}
}

/// Notes that this process runs, which was due at `due`, and logs what has changed since the last call.
pub fn observe_contact(state: &MeshState, due: TimeUs) {
    let (changes, counts) = {
        let mut load_balancer = lock(&state.load_balancer);
        let contact = load_balancer.contact();
        contact.observe_timer(due, state.now());
        (contact.take_changes(), contact.silent_counts())
    };
    state.metrics.set_gauge("silent_zones", counts.0 as u64);
    state.metrics.set_gauge("silent_nodes", counts.1 as u64);
    for change in changes {
        state.log(change_line(&change));
    }
}

fn change_line(change: &ContactChange) -> LogLine {
    let line = match &change.subject {
        ContactSubject::Zone(zone) if change.silent => LogLine::new("zone_silent").text("zone", zone),
        ContactSubject::Zone(zone) => LogLine::new("zone_heard").text("zone", zone),
        ContactSubject::Node(node) if change.silent => LogLine::new("node_silent").text("node", node),
        ContactSubject::Node(node) => LogLine::new("node_heard").text("node", node),
        ContactSubject::ThisProcess => LogLine::new("own_pause"),
    };
    line.number("quiet_ms", change.quiet_ms).number("limit_ms", change.limit_ms)
}
