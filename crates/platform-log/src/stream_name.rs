//! The name of a stream.

use fulmartrestle_core::text_id;

text_id!(
    /// Name of a stream of the platform's log. The first append creates a stream.
    StreamName,
    "stream name"
);
