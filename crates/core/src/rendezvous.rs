//! Rendezvous hashing: every node picks the same holder of a role without talking to the others.

use crate::VmId;

/// Returns the score of `vm` for `role`; the member with the highest score holds the role.
pub fn rendezvous_score(role: &str, vm: VmId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(role.as_bytes());
    hasher.update(&vm.0.to_le_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}

/// Returns the member with the highest score for `role`, or `None` without members. When a member
/// goes, only the roles it held move.
pub fn rendezvous_owner(role: &str, members: impl IntoIterator<Item = VmId>) -> Option<VmId> {
    members.into_iter().max_by_key(|vm| (rendezvous_score(role, *vm), *vm))
}

/// Returns the `count` members with the highest scores for `role`, best first.
pub fn rendezvous_owners(role: &str, members: impl IntoIterator<Item = VmId>, count: usize) -> Vec<VmId> {
    let mut scored: Vec<_> = members.into_iter().map(|vm| (rendezvous_score(role, vm), vm)).collect();
    scored.sort_unstable_by(|left, right| right.cmp(left));
    scored.into_iter().take(count).map(|(_, vm)| vm).collect()
}
