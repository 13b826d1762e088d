//! A running stand-in target.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::announcer::announce;
use crate::connection_io::ConnectionIo;
use crate::server::serve_connection;
use crate::shared::{Life, Shared};
use crate::{
    CallKey, CallRuns, ChildCaller, RecordedRequest, SidecarCaller, StandinSettings, TargetBehaviour, TargetStats,
};

/// Pause before a listener that failed is tried again, in milliseconds.
const REBIND_PAUSE_MS: u64 = 20;

/// A target that serves until it is stopped or dropped.
pub struct StandinTarget {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl StandinTarget {
    /// Starts a target on a free port of the loopback address. Its calls to other services go to its
    /// own node, when the settings name one.
    ///
    /// # Errors
    ///
    /// Returns the error of a listener that can't be opened.
    pub async fn start(settings: StandinSettings) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let children = SidecarCaller::of(&settings);
        Self::start_with_listener(listener, settings, children)
    }

    /// Starts a target on `listener` that makes its calls to other services by `children`.
    ///
    /// # Errors
    ///
    /// Returns the error of a listener without an address.
    pub fn start_with_listener(
        listener: TcpListener,
        settings: StandinSettings,
        children: Option<Arc<dyn ChildCaller>>,
    ) -> std::io::Result<Self> {
        let address = listener.local_addr()?;
        let node_admin = settings.node_admin;
        let shared = Arc::new(Shared::new(settings, children));
        shared.change_behaviour(|_| {});
        tokio::spawn(live(Arc::clone(&shared), listener, address));
        if let Some(node_admin) = node_admin {
            tokio::spawn(announce(Arc::clone(&shared), address, node_admin));
        }
        Ok(Self { address, shared })
    }

    /// Returns the address on which the target serves.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the settings that the target was started with.
    pub fn settings(&self) -> &StandinSettings {
        &self.shared.settings
    }

    /// Returns the behaviour in force.
    pub fn behaviour(&self) -> TargetBehaviour {
        self.shared.behaviour()
    }

    /// Changes the behaviour in force, leaving alone what `change` doesn't touch.
    pub fn change_behaviour(&self, change: impl FnOnce(&mut TargetBehaviour)) {
        self.shared.change_behaviour(change);
    }

    /// Makes the connections that are open now silent for good; new ones work.
    pub fn silence_open_connections(&self) {
        self.shared.silence.begin(None);
    }

    /// Crashes the target: its listener and connections are gone, its work is lost.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Starts a crashed target again on its address.
    pub fn restart(&self) {
        self.shared.restart();
    }

    /// Stops the target for good.
    pub fn stop(&self) {
        self.shared.life.send_replace(Life::Stopped);
        self.shared.announce_now.notify_one();
    }

    /// Returns a summary of what reached the target.
    pub fn stats(&self) -> TargetStats {
        self.shared.summary()
    }

    /// Returns the last requests with all their headers, oldest first.
    pub fn recorded_requests(&self) -> Vec<RecordedRequest> {
        self.shared.recorder().seen()
    }

    /// Returns the number of requests that carried a caller's key.
    pub fn keys_seen(&self) -> u64 {
        self.shared.summary().keys_seen
    }

    /// Returns how often each call arrived, also when it was refused.
    pub fn arrivals_by_call(&self) -> HashMap<CallKey, u32> {
        self.shared.recorder().arrivals()
    }

    /// Returns how often and when first the work of each call began.
    pub fn runs_by_call(&self) -> HashMap<CallKey, CallRuns> {
        self.shared.recorder().runs()
    }

    /// Returns how often the work for each idempotency key began.
    pub fn runs_by_idempotency_key(&self) -> HashMap<String, u32> {
        self.shared.recorder().runs_by_idempotency_key()
    }
}

impl Drop for StandinTarget {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Shared {
    /// Ends the present life; a restart follows when the behaviour says so.
    pub(crate) fn crash(&self) {
        let crashed = self.life.send_if_modified(|life| {
            let up = matches!(life, Life::Up(_));
            if up {
                *life = Life::Crashed;
            }
            up
        });
        if crashed {
            self.recorder().crashed();
        }
    }

    pub(crate) fn restart(&self) {
        let next_life = self.recorder().summary().crashes;
        self.life.send_if_modified(|life| {
            let crashed = *life == Life::Crashed;
            if crashed {
                *life = Life::Up(next_life);
            }
            crashed
        });
        self.announce_now.notify_one();
    }
}

/// Serves one life after the other until the target is stopped.
async fn live(shared: Arc<Shared>, listener: TcpListener, address: SocketAddr) {
    let mut life = shared.life.subscribe();
    let mut listener = Some(listener);
    loop {
        let state = *life.borrow_and_update();
        match state {
            Life::Stopped => return,
            Life::Crashed => await_restart(&shared, &mut life).await,
            Life::Up(_) => {
                let Some(listener) = reopen(listener.take(), address).await else {
                    continue;
                };
                shared.mark_up();
                let left = life.wait_for(|current| *current != state);
                tokio::select! {
                    () = accept(&shared, listener) => {}
                    _ = left => {}
                }
            }
        }
    }
}

async fn await_restart(shared: &Shared, life: &mut tokio::sync::watch::Receiver<Life>) {
    let pause = shared.behaviour().restart_after_ms;
    let left = life.wait_for(|current| *current != Life::Crashed);
    match pause {
        None => drop(left.await),
        Some(pause_ms) => {
            if tokio::time::timeout(Duration::from_millis(pause_ms), left).await.is_err() {
                shared.restart();
            }
        }
    }
}

/// Returns the given listener, or a new one on `address`.
async fn reopen(listener: Option<TcpListener>, address: SocketAddr) -> Option<TcpListener> {
    if listener.is_some() {
        return listener;
    }
    match TcpListener::bind(address).await {
        Ok(listener) => Some(listener),
        Err(error) => {
            log::debug!("standin: listen on {address}: {error}");
            tokio::time::sleep(Duration::from_millis(REBIND_PAUSE_MS)).await;
            None
        }
    }
}

/// Accepts connections until the future is dropped, which closes all of them.
async fn accept(shared: &Arc<Shared>, listener: TcpListener) {
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
                let io = ConnectionIo::new(socket, shared.silence.next_number(), Arc::clone(&shared.silence));
                connections.spawn(serve_connection(io, Arc::clone(shared)));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}
