//! Transport between nodes: HTTP/2 streams that carry a `bincode`-encoded head followed by a body.
//!
//! This crate contains no routing or admission policy. The standalone node and the node that runs on a
//! platform both use it to forward calls, and share its listeners, its body types and the table of tasks
//! that wait for admission.

mod admission_waiters;
mod body;
mod callers;
mod codec;
mod error;
mod forwarded_headers;
mod header_pair;
mod held_end_body;
mod interim_responses;
mod listen;
mod peer_connection;
mod peer_connection_pool;
mod replay_body;
mod server;
mod socket;
mod stream;
mod time_limited_body;
mod watched_body;

pub use admission_waiters::{AdmissionResult, AdmissionWaiters};
pub use body::{BodyError, ByteBody, content_length, empty_body, frame_data, full_body, incoming_body};
pub use callers::{CallerResponse, CallerService, ListenerLimits, RequestScanner, ScannedRequest, serve_callers};
pub use codec::{HeadError, decode_exact, decode_head, encode, encode_head};
pub use error::PeerError;
pub use forwarded_headers::ForwardedHeaders;
pub use header_pair::{HeaderPair, headers_from_pairs, headers_to_pairs};
pub use held_end_body::HeldEndBody;
pub use interim_responses::InterimResponses;
pub use listen::{StartError, listen, listen_for_datagrams};
pub use peer_connection::{PeerConnection, PeerStream, PongObserver};
pub use peer_connection_pool::PeerConnectionPool;
pub use replay_body::{REPLAY_LIMIT_BYTES, ReplayBody};
pub use server::{StreamHandler, serve_streams};
pub use socket::set_tcp_timeouts;
pub use stream::{receive_head, send_head_and_body, send_initial_data, stream_body, stream_error};
pub use time_limited_body::TimeLimitedBody;
pub use watched_body::{BodyWatcher, WatchedBody};
