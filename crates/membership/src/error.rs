//! Errors of the membership protocol.

use quick_error::quick_error;

quick_error! {
    /// An error in encoding or decoding a payload or a datagram.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum MembershipError {
        /// A payload exceeds the limit for piggybacked data.
        PayloadTooLong(size_bytes: usize, limit_bytes: usize) {
            display("payload of {size_bytes} bytes exceeds the limit of {limit_bytes} bytes")
        }
        /// An encoded message does not fit into one datagram.
        DatagramTooLong(size_bytes: usize) {
            display("message of {size_bytes} bytes does not fit into one datagram")
        }
        /// A message could not be encoded, or a datagram is not a valid membership message.
        Codec(reason: String) {
            display("invalid membership message: {reason}")
        }
    }
}
