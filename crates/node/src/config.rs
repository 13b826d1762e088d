//! The configuration in force on this node.

use std::sync::{Arc, PoisonError, RwLock};

use fulmartrestle_config::FleetConfig;
use fulmartrestle_config::propagation::Isolation;
use tokio::sync::watch;

/// Holds the configuration in force. Requests take a snapshot and keep it while they decide.
#[derive(Debug)]
pub struct CurrentConfig {
    config: RwLock<Arc<FleetConfig>>,
    isolation: RwLock<Isolation>,
    changed: watch::Sender<u64>,
}

impl Default for CurrentConfig {
    fn default() -> Self {
        Self { config: RwLock::default(), isolation: RwLock::new(Isolation::Connected), changed: watch::Sender::new(0) }
    }
}

impl CurrentConfig {
    /// Returns the configuration in force.
    pub fn get(&self) -> Arc<FleetConfig> {
        Arc::clone(&self.config.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts a configuration in force, unless it is older than the present one.
    pub fn set(&self, config: Arc<FleetConfig>) {
        {
            let mut current = self.config.write().unwrap_or_else(PoisonError::into_inner);
            if config.version() < current.version() {
                return;
            }
            *current = config;
        }
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is woken by each change.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Returns what this node's zone has lost contact with.
    pub fn isolation(&self) -> Isolation {
        *self.isolation.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes what this node's zone has lost contact with.
    pub fn set_isolation(&self, isolation: Isolation) {
        let mut current = self.isolation.write().unwrap_or_else(PoisonError::into_inner);
        if current.as_str() != isolation.as_str() {
            log::warn!("config: this zone is {isolation}, it was {}", *current);
        }
        *current = isolation;
    }
}
