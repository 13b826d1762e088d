//! The name of a stream.

use fulmartrestle_core::text_id;

text_id!(
    /// Names a stream of the platform's log. Streams exist from their first append on.
    StreamName,
    "stream name"
);
