//! What nodes say to each other about calls, and how heads are framed on a stream.

mod answer_head;
mod call_head;
mod codec;
mod header_pair;
mod request_context;

pub use answer_head::{AnswerHead, Reply};
pub use call_head::CallHead;
pub use codec::{HeadError, decode_exact, decode_head, encode, encode_head};
pub use header_pair::{HeaderPair, headers_from_pairs, headers_to_pairs};
pub use request_context::RequestContext;
