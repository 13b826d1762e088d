//! The protocol between nodes, over one long-lived HTTP/2 connection per peer and direction.

mod client;
mod control;
mod pool;
mod server;

pub use client::{PeerClient, PeerResponse};
pub use control::{ControlEnvelope, ControlMessage};
pub use fulmartrestle_transport::PeerError;
pub use pool::PeerPool;
pub use server::{PeerService, serve_peers};
