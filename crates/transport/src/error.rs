//! Errors of the transport between two nodes.

use quick_error::quick_error;

use crate::HeadError;

quick_error! {
    /// A failure of a connection or stream between nodes.
    #[derive(Debug)]
    pub enum PeerError {
        /// The connection could not be established, so the peer did not receive the call.
        Connect(detail: String) {
            display("cannot connect: {}", detail)
        }
        /// The peer refused the stream or closed the connection before it received the call.
        NotSent(detail: String) {
            display("call was not sent: {}", detail)
        }
        /// The stream failed after the call was sent; the peer may have executed it.
        StreamFailed(detail: String) {
            display("stream failed: {}", detail)
        }
        /// The sender of the request aborted its body, which says nothing about the peer.
        BodyAborted(detail: String) {
            display("request body: {}", detail)
        }
        /// A head could not be encoded or decoded.
        Head(error: HeadError) {
            display("{}", error)
            from()
        }
    }
}

impl PeerError {
    /// Returns whether it is certain that the peer did not receive the call.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::NotSent(_))
    }
}
