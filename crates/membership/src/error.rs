//! Errors of this crate.

use quick_error::quick_error;

quick_error! {
    /// Why a payload or a datagram was refused.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum MembershipError {
        /// A payload is longer than a datagram has room for.
        PayloadTooLong(size_bytes: usize, limit_bytes: usize) {
            display("payload of {size_bytes} bytes is longer than {limit_bytes} bytes")
        }
        /// A message does not fit into one datagram.
        DatagramTooLong(size_bytes: usize) {
            display("message of {size_bytes} bytes does not fit into one datagram")
        }
        /// A datagram is not a membership message.
        Codec(reason: String) {
            display("not a membership message: {reason}")
        }
    }
}
