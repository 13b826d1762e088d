//! Streams between nodes: `h2` connections with a `bincode` head in front of each body.
//!
//! Nothing here decides anything. Both kinds of node, the one with its own interface and the one on a
//! platform, send their calls over these links, and share the plumbing around them: listeners, bodies that
//! are followed to their end, and tasks that wait for a slot.

mod admission_waiters;
mod body;
mod callers;
mod codec;
mod error;
mod header_pair;
mod listen;
mod peer_connection;
mod peer_connection_pool;
mod replay_body;
mod server;
mod socket;
mod stream;
mod watched_body;

pub use admission_waiters::{AdmissionResult, AdmissionWaiters};
pub use body::{BodyError, ByteBody, empty_body, frame_data, full_body, incoming_body};
pub use callers::{CallerResponse, CallerService, ListenerLimits, serve_callers};
pub use codec::{HeadError, decode_exact, decode_head, encode, encode_head};
pub use error::PeerError;
pub use header_pair::{HeaderPair, headers_from_pairs, headers_to_pairs};
pub use listen::{StartError, listen, listen_for_datagrams};
pub use peer_connection::PeerConnection;
pub use peer_connection_pool::PeerConnectionPool;
pub use replay_body::{REPLAY_LIMIT_BYTES, ReplayBody};
pub use server::{StreamHandler, serve_streams};
pub use socket::set_tcp_timeouts;
pub use stream::{receive_head, send_head_and_body, send_initial_data, stream_body, stream_error};
pub use watched_body::{BodyWatcher, WatchedBody};
