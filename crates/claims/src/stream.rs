//! The streams of the platform's log that store claims.

use fulmartrestle_core::ParseError;
use fulmartrestle_derive::value;

use crate::ClaimKey;

/// Number of streams. Each zone has one batcher per stream, so more streams distribute the reads over
/// more nodes but leave each batcher a smaller part of the fleet's append budget.
pub const STREAM_COUNT: u8 = 4;

/// One stream of claim records, displayed as `claims-` and its number.
#[value]
#[serde(transparent)]
pub struct ClaimStream(pub u8);

impl ClaimStream {
    /// Returns the stream that stores a key's claims, equal on every node.
    pub fn for_key(key: &ClaimKey) -> Self {
        Self(key.0[0] % STREAM_COUNT)
    }

    /// Returns an iterator over all streams.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..STREAM_COUNT).map(Self)
    }
}

impl std::fmt::Display for ClaimStream {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "claims-{}", self.0)
    }
}

impl std::str::FromStr for ClaimStream {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.strip_prefix("claims-").and_then(|rest| rest.parse().ok());
        let known = number.filter(|number| *number < STREAM_COUNT);
        known.map(Self).ok_or_else(|| ParseError::not_a("claim stream", text))
    }
}
