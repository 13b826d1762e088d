//! The endpoint for announcements of the local target.

use std::sync::Arc;

use poem::handler;
use poem::http::StatusCode;
use poem::web::{Data, RemoteAddr};

use super::api::AdminState;
use super::error::ApiError;
use crate::gate::TargetAnnouncement;

/// Receives an announcement. Only a target at the sender's address is accepted, so that no process can announce
/// another VM's target.
#[handler]
pub fn announce_target(
    state: Data<&Arc<AdminState>>,
    remote: &RemoteAddr,
    body: Vec<u8>,
) -> Result<StatusCode, ApiError> {
    let announcement: TargetAnnouncement = serde_json::from_slice(&body)
        .map_err(|error| ApiError::new(StatusCode::BAD_REQUEST, format!("announcement: {error}")))?;
    let sender = remote.as_socket_addr().map(std::net::SocketAddr::ip);
    if sender != Some(announcement.address.ip()) {
        let error = format!("announcement: address {} is not the sender's address", announcement.address);
        return Err(ApiError::new(StatusCode::FORBIDDEN, error));
    }
    state.node.gate.apply_announcement(announcement);
    Ok(StatusCode::NO_CONTENT)
}
