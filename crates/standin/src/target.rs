//! A running stand-in target.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::announcer::announce;
use crate::server::serve_connection;
use crate::shared_state::{ProcessState, SharedState};
use crate::silenceable_socket::SilenceableSocket;
use crate::{
    CallKey, CallRuns, ChildCaller, RecordedRequest, SidecarCaller, StandinSettings, TargetBehaviour, TargetStats,
};

/// Delay before a listener that failed to open is opened again.
const REBIND_DELAY_MS: u64 = 20;

/// A running target. It serves requests until it is stopped or dropped.
pub struct StandinTarget {
    address: SocketAddr,
    shared: Arc<SharedState>,
}

impl StandinTarget {
    /// Starts a target on a free port of the loopback address. Its calls to other services go to its
    /// own node, if the settings name one.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the listener can't be opened.
    pub async fn start(settings: StandinSettings) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let child_caller = SidecarCaller::from_settings(&settings);
        Self::start_with_listener(listener, settings, child_caller)
    }

    /// Starts a target on `listener`. It makes its calls to other services through `child_caller`.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the listener has no local address.
    pub fn start_with_listener(
        listener: TcpListener,
        settings: StandinSettings,
        child_caller: Option<Arc<dyn ChildCaller>>,
    ) -> std::io::Result<Self> {
        let address = listener.local_addr()?;
        let node_admin = settings.node_admin;
        let shared = Arc::new(SharedState::new(settings, child_caller));
        shared.change_behaviour(|_| {});
        tokio::spawn(run_until_stopped(Arc::clone(&shared), listener, address));
        if let Some(node_admin) = node_admin {
            tokio::spawn(announce(Arc::clone(&shared), address, node_admin));
        }
        Ok(Self { address, shared })
    }

    /// Returns the address on which the target listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the settings that the target was started with.
    pub fn settings(&self) -> &StandinSettings {
        &self.shared.settings
    }

    /// Returns a copy of the current behaviour.
    pub fn behaviour(&self) -> TargetBehaviour {
        self.shared.behaviour()
    }

    /// Changes the current behaviour in place, so that fields which `change` leaves alone stay as they are.
    pub fn change_behaviour(&self, change: impl FnOnce(&mut TargetBehaviour)) {
        self.shared.change_behaviour(change);
    }

    /// Silences the connections that are open now: they stay open and never respond again. New ones work.
    pub fn silence_open_connections(&self) {
        self.shared.silenced.silence_open(None);
    }

    /// Crashes the target, which closes its listener and connections and aborts its work.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Restarts a crashed target on the same address.
    pub fn restart(&self) {
        self.shared.restart();
    }

    /// Stops the target for good.
    pub fn stop(&self) {
        self.shared.process_state.send_replace(ProcessState::Stopped);
        self.shared.announce_now.notify_one();
    }

    /// Returns the counters of the requests that reached the target.
    pub fn stats(&self) -> TargetStats {
        self.shared.stats()
    }

    /// Returns the most recent requests with all their headers, oldest first.
    pub fn recorded_requests(&self) -> Vec<RecordedRequest> {
        self.shared.recorder().recent_requests()
    }

    /// Returns the number of requests that contained a caller's API key.
    pub fn keys_seen(&self) -> u64 {
        self.shared.stats().keys_seen
    }

    /// Returns the number of arrivals of each call, including those that were refused.
    pub fn arrivals_by_call(&self) -> HashMap<CallKey, u32> {
        self.shared.recorder().arrivals()
    }

    /// Returns how often, and when first, the work of each call started.
    pub fn runs_by_call(&self) -> HashMap<CallKey, CallRuns> {
        self.shared.recorder().runs()
    }

    /// Returns how often the work for each idempotency key started.
    pub fn runs_by_idempotency_key(&self) -> HashMap<String, u32> {
        self.shared.recorder().runs_by_idempotency_key()
    }
}

impl Drop for StandinTarget {
    fn drop(&mut self) {
        self.stop();
    }
}

impl SharedState {
    /// Changes the state from up to crashed. The task of the target restarts it if the behaviour says so.
    pub(crate) fn crash(&self) {
        let crashed = self.process_state.send_if_modified(|process_state| {
            let was_up = matches!(process_state, ProcessState::Up(_));
            if was_up {
                *process_state = ProcessState::Crashed;
            }
            was_up
        });
        if crashed {
            self.recorder().record_crash();
        }
    }

    /// Changes the state from crashed to up.
    pub(crate) fn restart(&self) {
        let generation = self.recorder().stats().crashes;
        self.process_state.send_if_modified(|process_state| {
            let crashed = *process_state == ProcessState::Crashed;
            if crashed {
                *process_state = ProcessState::Up(generation);
            }
            crashed
        });
        self.announce_now.notify_one();
    }
}

/// Serves requests and restarts the target after crashes until it is stopped.
async fn run_until_stopped(shared: Arc<SharedState>, listener: TcpListener, address: SocketAddr) {
    let mut process_state = shared.process_state.subscribe();
    let mut listener = Some(listener);
    loop {
        let state = *process_state.borrow_and_update();
        match state {
            ProcessState::Stopped => return,
            ProcessState::Crashed => await_restart(&shared, &mut process_state).await,
            ProcessState::Up(_) => {
                let Some(open) = open_listener(listener.take(), address).await else {
                    continue;
                };
                shared.reset_uptime();
                let state_change = process_state.wait_for(|current| *current != state);
                tokio::select! {
                    () = accept_connections(&shared, &open) => {}
                    _ = state_change => {}
                }
                listener = shared.behaviour().keep_port.then_some(open);
            }
        }
    }
}

/// Waits until a crashed target is restarted or stopped; restarts it after the time in its behaviour.
async fn await_restart(shared: &SharedState, process_state: &mut tokio::sync::watch::Receiver<ProcessState>) {
    let restart_after_ms = shared.behaviour().restart_after_ms;
    let state_change = process_state.wait_for(|current| *current != ProcessState::Crashed);
    match restart_after_ms {
        None => drop(state_change.await),
        Some(delay_ms) => {
            if tokio::time::timeout(Duration::from_millis(delay_ms), state_change).await.is_err() {
                shared.restart();
            }
        }
    }
}

/// Returns the given listener, or opens one on `address`. Returns `None` after a delay if that fails.
async fn open_listener(listener: Option<TcpListener>, address: SocketAddr) -> Option<TcpListener> {
    if listener.is_some() {
        return listener;
    }
    match TcpListener::bind(address).await {
        Ok(listener) => Some(listener),
        Err(error) => {
            log::debug!("standin: cannot listen on {address}: {error}");
            tokio::time::sleep(Duration::from_millis(REBIND_DELAY_MS)).await;
            None
        }
    }
}

/// Accepts connections until the listener fails. Dropping the future closes all connections.
async fn accept_connections(shared: &Arc<SharedState>, listener: &TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((socket, _)) = accepted else {
                    return;
                };
                if connections.len() >= shared.settings.connections as usize {
                    continue;
                }
                let _ = socket.set_nodelay(true);
                let io = SilenceableSocket::new(socket, shared.silenced.next_number(), Arc::clone(&shared.silenced));
                connections.spawn(serve_connection(io, Arc::clone(shared)));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}
