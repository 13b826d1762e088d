//! Identifiers of claims.

use fulmartrestle_core::{ParseError, VmId};
use fulmartrestle_derive::value;

/// Identifies one attempt to claim a key: the node that may run the call, and a number that this node
/// assigns. Nodes draw a random identity at every start, so claim ids are never reused.
#[value]
pub struct ClaimId {
    /// The only node that may run the call under this claim.
    pub holder: VmId,
    /// Number of the claim, assigned by the holder.
    pub number: u64,
}

impl std::fmt::Display for ClaimId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}-{}", self.holder, self.number)
    }
}

impl std::str::FromStr for ClaimId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let not_a_claim = || ParseError::not_a("claim id", text);
        let (holder, number) = text.split_once('-').ok_or_else(not_a_claim)?;
        let holder = holder.parse().map_err(|_| not_a_claim())?;
        let number = number.parse().map_err(|_| not_a_claim())?;
        Ok(Self { holder, number })
    }
}
