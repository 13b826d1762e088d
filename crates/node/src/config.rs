//! The configuration that is active on this node.

use std::sync::{Arc, PoisonError, RwLock};

use fulmartrestle_config::FleetConfig;
use fulmartrestle_config::propagation::Isolation;
use tokio::sync::watch;

/// The active configuration. Each request takes a snapshot, so that it is handled by a single version.
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
    /// Returns the active configuration.
    pub fn get(&self) -> Arc<FleetConfig> {
        Arc::clone(&self.config.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Activates a configuration, unless it is older than the active one.
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

    /// Returns a receiver that is notified of each activated configuration.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Returns whether this node's zone is isolated from the platform log or from other zones.
    pub fn isolation(&self) -> Isolation {
        *self.isolation.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets whether this node's zone is isolated, and logs a change.
    pub fn set_isolation(&self, isolation: Isolation) {
        let mut current = self.isolation.write().unwrap_or_else(PoisonError::into_inner);
        if current.as_str() != isolation.as_str() {
            log::warn!("config: isolation of this zone changed from {} to {isolation}", *current);
        }
        *current = isolation;
    }
}
