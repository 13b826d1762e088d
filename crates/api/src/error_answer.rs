//! The body of every answer with an error status.

use fulmartrestle_derive::record;

/// Says what is wrong, with the place and the offending value.
#[record]
pub struct ErrorAnswer {
    /// The error.
    pub error: String,
}
