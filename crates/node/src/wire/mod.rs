//! Messages that nodes exchange for calls, and the framing of message heads on a stream.

mod call_head;
mod request_context;
mod response_head;

pub use call_head::CallHead;
pub use fulmartrestle_transport::{
    HeadError, HeaderPair, decode_exact, decode_head, encode, encode_head, headers_from_pairs, headers_to_pairs,
};
pub use response_head::{GateResult, ResponseHead};

pub use request_context::RequestContext;
