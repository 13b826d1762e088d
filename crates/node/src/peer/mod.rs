//! Connections between nodes: one long-lived `h2` connection per peer and direction.

mod control;
mod link;
mod pool;
mod server;

pub use control::{ControlEnvelope, ControlMessage};
pub use fulmartrestle_transport::PeerError;
pub use link::{PeerAnswer, PeerLink};
pub use pool::PeerPool;
pub use server::{PeerService, serve_peers};
