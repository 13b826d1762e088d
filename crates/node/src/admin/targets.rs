//! Announcements of the own target.

use std::sync::Arc;

use poem::handler;
use poem::http::StatusCode;
use poem::web::{Data, RemoteAddr};

use super::api::AdminState;
use super::error::ApiError;
use crate::gate::TargetAnnouncement;

/// Takes an announcement. Only the VM's own target may announce itself.
#[handler]
pub fn announce(state: Data<&Arc<AdminState>>, remote: &RemoteAddr, body: Vec<u8>) -> Result<StatusCode, ApiError> {
    let announcement: TargetAnnouncement = serde_json::from_slice(&body)
        .map_err(|error| ApiError::new(StatusCode::BAD_REQUEST, format!("announcement: {error}")))?;
    let sender = remote.as_socket_addr().map(std::net::SocketAddr::ip);
    if sender != Some(announcement.address.ip()) {
        let error = format!("announcement: address {} is not the sender's", announcement.address);
        return Err(ApiError::new(StatusCode::FORBIDDEN, error));
    }
    state.node.gate.apply_announcement(announcement);
    Ok(StatusCode::NO_CONTENT)
}
