//! The configuration in force on this node.

use std::sync::{Arc, PoisonError, RwLock};

use fulmartrestle_config::FleetConfig;

/// Holds the configuration in force. Requests take a snapshot and keep it while they decide.
#[derive(Debug, Default)]
pub struct CurrentConfig {
    config: RwLock<Arc<FleetConfig>>,
}

impl CurrentConfig {
    /// Returns the configuration in force.
    pub fn get(&self) -> Arc<FleetConfig> {
        Arc::clone(&self.config.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts a configuration in force, unless it is older than the present one.
    pub fn set(&self, config: Arc<FleetConfig>) {
        let mut current = self.config.write().unwrap_or_else(PoisonError::into_inner);
        if config.version() >= current.version() {
            *current = config;
        }
    }
}
