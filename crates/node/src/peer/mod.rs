//! Connections between nodes: one long-lived `h2` connection per peer and direction.

mod control;
mod error;
mod link;
mod pool;
mod server;
mod stream;

pub use control::{ControlEnvelope, ControlMessage};
pub use error::PeerError;
pub use link::{PeerAnswer, PeerLink};
pub use pool::PeerPool;
pub use server::{PeerService, serve_peers};
