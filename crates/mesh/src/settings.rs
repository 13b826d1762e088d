//! Settings of a node on a platform.

use std::net::SocketAddr;
use std::path::Path;

use fulmartrestle_config::SettingsError;
use fulmartrestle_config::jsonc::parse_document;
use fulmartrestle_core::{AvailabilityZone, Service};
use fulmartrestle_derive::record;
use fulmartrestle_policy::ZoneTrafficSettings;

use crate::store_polling::StoreBounds;

/// Time within which a new version of the configuration must be in force if the settings name none, in milliseconds.
const DEFAULT_CONFIG_APPLY_MS: u64 = 2_000;

/// Bounds that the operator sets for the whole deployment.
#[record]
#[derive(Copy)]
pub struct DeploymentBounds {
    /// Time within which a revoked key must stop working, in milliseconds.
    pub revoke_ms: u64,
    /// Time within which a new version of the configuration must be in force, in milliseconds. `None` counts as
    /// two seconds.
    pub config_apply_ms: Option<u64>,
    /// Time from the stop signal to the end of the process, in seconds.
    pub grace_s: f64,
    /// Requests by which one tenant may exceed its rate and burst over the whole fleet.
    pub quota_slack: f64,
    /// Retries per request that a service may receive.
    pub retry_ratio: f64,
    /// Retries that a service may receive beyond that ratio, over all nodes.
    pub retry_slack: f64,
    /// Factor by which the requests of a cold target may exceed the rate that it handles. `None` counts as 1 if there is
    /// a slack; without both, cold targets have no limit.
    pub cold_overage: Option<f64>,
    /// Requests in one second by which a cold target may exceed that. `None` counts as 0 if there is an overage.
    pub cold_slack: Option<f64>,
}

/// Settings of one node.
#[record]
pub struct MeshSettings {
    /// Name of the node in logs.
    pub name: String,
    /// The availability zone of this VM.
    pub availability_zone: AvailabilityZone,
    /// Address for callers on this VM and for the calls of its target.
    pub caller_address: SocketAddr,
    /// Address on which the platform checks whether the node is ready.
    pub ready_address: SocketAddr,
    /// Address to which the target sends its announcements.
    pub control_address: SocketAddr,
    /// Address for other nodes: TCP for calls, and UDP on the same port for status messages.
    pub peer_address: SocketAddr,
    /// Address on which metrics are served.
    pub metrics_address: SocketAddr,
    /// Address of the target on this VM.
    pub target_address: SocketAddr,
    /// Service of the target on this VM.
    pub service: Service,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// File descriptors that the process may use.
    pub max_descriptors: usize,
    /// Memory that the process may use, in megabytes.
    pub memory_mb: u64,
    /// Whether the whole deployment is starting for the first time.
    pub first_start: bool,
    /// Whether scarce capacity is divided among tenants by max-min fairness. `None` counts as false: all requests of a
    /// route and rank are then admitted with the same probability.
    pub tenant_fairness: Option<bool>,
    /// Bounds of the whole deployment.
    pub bounds: DeploymentBounds,
    /// What traffic between zones may cost. Without it, a call leaves its zone when that takes half of the time or less.
    #[serde(default)]
    pub zone_traffic: Option<ZoneTrafficSettings>,
}

impl MeshSettings {
    /// Loads settings from a file in JSON with comments.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or one that names the position of the fault.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|cause| SettingsError::Read(name.clone(), cause))?;
        Self::parse(&name, &text)
    }

    /// Parses settings from text; `file_name` appears in errors.
    ///
    /// # Errors
    ///
    /// Returns an error that names the position of the syntax error, or the field that has an invalid value.
    pub fn parse(file_name: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = parse_document(file_name, text)?;
        let DeploymentBounds { grace_s, quota_slack, config_apply_ms, .. } = settings.bounds;
        if config_apply_ms == Some(0) {
            return Err(invalid_value(file_name, "bounds.config_apply_ms", 0.0, "expected more than 0"));
        }
        if grace_s <= 0.0 {
            return Err(invalid_value(file_name, "bounds.grace_s", grace_s, "expected more than 0"));
        }
        if quota_slack < 0.0 {
            return Err(invalid_value(file_name, "bounds.quota_slack", quota_slack, "expected 0 or more"));
        }
        let cold_bounds =
            [("bounds.cold_overage", settings.bounds.cold_overage), ("bounds.cold_slack", settings.bounds.cold_slack)];
        for (field, value) in cold_bounds {
            if let Some(value) = value.filter(|value| *value < 0.0) {
                return Err(invalid_value(file_name, field, value, "expected 0 or more"));
            }
        }
        if let Some(ZoneTrafficSettings { price_per_mb, max_share }) = settings.zone_traffic {
            // An infinite price of no bytes would not be a number.
            if !(0.0..f64::INFINITY).contains(&price_per_mb) {
                return Err(invalid_value(file_name, "zone_traffic.price_per_mb", price_per_mb, "expected 0 or more"));
            }
            if !(0.0..=1.0).contains(&max_share) {
                return Err(invalid_value(file_name, "zone_traffic.max_share", max_share, "expected 0 to 1"));
            }
        }
        Ok(settings)
    }
}

impl DeploymentBounds {
    /// Returns the bounds within which a change on the store must have an effect.
    pub fn store_bounds(&self) -> StoreBounds {
        let config_apply_ms = self.config_apply_ms.unwrap_or(DEFAULT_CONFIG_APPLY_MS);
        StoreBounds { revoke_ms: self.revoke_ms, config_apply_ms }
    }

    /// Returns the overage and the slack for cold targets, or `None` if they have no limit. A missing one of the two takes
    /// its most restrictive value.
    pub fn cold_bounds(&self) -> Option<(f64, f64)> {
        let is_limited = self.cold_overage.is_some() || self.cold_slack.is_some();
        is_limited.then(|| (self.cold_overage.unwrap_or(1.0), self.cold_slack.unwrap_or(0.0)))
    }
}

fn invalid_value(file_name: &str, field: &str, value: f64, reason: &str) -> SettingsError {
    SettingsError::Value(file_name.to_owned(), field.to_owned(), value.to_string(), reason.to_owned())
}
