//! Streams between nodes: `h2` connections with a `bincode` head in front of each body.
//!
//! Nothing here decides anything. Both kinds of node, the one with its own interface and the one on a
//! platform, send their calls over these links, and share the plumbing around them: listeners, bodies that
//! are followed to their end, and tasks that wait for a slot.

mod body;
mod callers;
mod codec;
mod error;
mod header_pair;
mod link;
mod listen;
mod pool;
mod replay_body;
mod server;
mod socket;
mod stream;
mod turns;
mod watched_body;

pub use body::{BodyError, ByteBody, data_of, empty_body, incoming_body, whole_body};
pub use callers::{CallerAnswer, CallerService, ListenerLimits, serve_callers};
pub use codec::{HeadError, decode_exact, decode_head, encode, encode_head};
pub use error::PeerError;
pub use header_pair::{HeaderPair, headers_from_pairs, headers_to_pairs};
pub use link::Link;
pub use listen::{StartError, listen, listen_for_datagrams};
pub use pool::LinkPool;
pub use replay_body::{REPLAY_LIMIT_BYTES, ReplayBody};
pub use server::{StreamHandler, serve_streams};
pub use socket::limit_silence;
pub use stream::{lost, receive_head, send_first, send_head_and_body, whole_stream};
pub use turns::{Turn, Turns};
pub use watched_body::{BodyWatcher, WatchedBody};
