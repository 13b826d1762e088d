//! What can go wrong between two nodes.

use quick_error::quick_error;

use crate::HeadError;

quick_error! {
    /// A failure of a connection or stream between nodes.
    #[derive(Debug)]
    pub enum PeerError {
        /// No connection could be made, so the peer was not handed the call.
        Connect(detail: String) {
            display("can't connect: {}", detail)
        }
        /// The connection was refused or closed before the call was handed over.
        NotSent(detail: String) {
            display("call was not sent: {}", detail)
        }
        /// The stream failed after the call was sent; the peer may have acted on it.
        StreamFailed(detail: String) {
            display("stream was lost: {}", detail)
        }
        /// The peer sent a head that can't be read.
        Head(error: HeadError) {
            display("{}", error)
            from()
        }
    }
}

impl PeerError {
    /// Tells whether the peer certainly did not get the call.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::NotSent(_))
    }
}
