//! Body of responses with an error status.

use fulmartrestle_derive::record;

/// Describes an error in a request.
#[record]
pub struct ErrorAnswer {
    /// Error message, with the location and the invalid value.
    pub error: String,
}
