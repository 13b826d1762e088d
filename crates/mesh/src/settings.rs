//! Settings of the node on a platform.

use std::net::SocketAddr;
use std::path::Path;

use fulmartrestle_config::SettingsError;
use fulmartrestle_config::jsonc::parse_document;
use fulmartrestle_core::{AvailabilityZone, Service};
use fulmartrestle_derive::record;

/// Bounds that the operator sets for the whole deployment.
#[record]
#[derive(Copy)]
pub struct Bounds {
    /// Time after which a withdrawn key must not work any more, in milliseconds.
    pub revoke_ms: u64,
    /// Time from the stop signal to the end of the process, in seconds.
    pub grace_s: f64,
    /// Requests of one tenant by which the whole fleet may exceed its rate and burst.
    pub quota_slack: f64,
    /// Repetitions per request that a service may get.
    pub retry_ratio: f64,
    /// Repetitions that a service may get beyond that, over all nodes.
    pub retry_slack: f64,
}

/// Settings of one node.
#[record]
pub struct MeshSettings {
    /// The node's name in logs.
    pub name: String,
    /// The availability zone this VM is in.
    pub availability_zone: AvailabilityZone,
    /// Where callers on this VM and its target connect.
    pub caller_address: SocketAddr,
    /// Where the platform asks whether the node is ready.
    pub ready_address: SocketAddr,
    /// Where the target announces itself.
    pub control_address: SocketAddr,
    /// Where other nodes connect: TCP for calls, and UDP on the same port for status.
    pub peer_address: SocketAddr,
    /// Where metrics are served.
    pub metrics_address: SocketAddr,
    /// The target on this VM.
    pub target_address: SocketAddr,
    /// The service of the target on this VM.
    pub service: Service,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// Descriptors that the process may use.
    pub max_descriptors: usize,
    /// Memory that the process may use, in megabytes.
    pub memory_mb: u64,
    /// Whether the whole deployment starts for the first time.
    pub first_start: bool,
    /// Bounds of the deployment.
    pub bounds: Bounds,
}

impl MeshSettings {
    /// Reads settings from a file, JSON with comments.
    ///
    /// # Errors
    ///
    /// Returns the fault of the file, or of the text with its place.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|cause| SettingsError::Read(name.clone(), cause))?;
        Self::parse(&name, &text)
    }

    /// Reads settings from text; `file_name` appears in errors.
    ///
    /// # Errors
    ///
    /// Returns the fault of the text with its place, or of a value that can't work.
    pub fn parse(file_name: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = parse_document(file_name, text)?;
        let Bounds { grace_s, quota_slack, .. } = settings.bounds;
        if grace_s <= 0.0 {
            return Err(wrong_value(file_name, "bounds.grace_s", grace_s, "expected more than 0"));
        }
        if quota_slack < 0.0 {
            return Err(wrong_value(file_name, "bounds.quota_slack", quota_slack, "expected 0 or more"));
        }
        Ok(settings)
    }
}

fn wrong_value(file_name: &str, field: &str, value: f64, reason: &str) -> SettingsError {
    SettingsError::Value(file_name.to_owned(), field.to_owned(), value.to_string(), reason.to_owned())
}
