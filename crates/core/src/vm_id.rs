//! Identifier of one run of a node process.

use crate::ParseError;

/// Identifies one run of the node process on one `Vm`. It is drawn at random when the process starts,
/// so that a VM that replaces another under the same address is a new member.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize)]
#[serde(transparent)]
pub struct VmId(pub u64);

impl std::fmt::Display for VmId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl std::fmt::Debug for VmId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "VmId({self})")
    }
}

impl std::str::FromStr for VmId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self).map_err(|_| ParseError::not_a("VM id", text))
    }
}
