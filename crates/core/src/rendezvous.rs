//! Rendezvous hashing: all nodes choose the same owner of a role without coordination.

use crate::VmId;

/// Returns the score of `vm` for `role`. The member with the highest score owns the role.
pub fn rendezvous_score(role: &str, vm: VmId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(role.as_bytes());
    hasher.update(&vm.0.to_le_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}

/// Returns the member with the highest score for `role`, or `None` if there are no members. When a
/// member leaves, only the roles that it owned get another owner.
pub fn rendezvous_owner(role: &str, members: impl IntoIterator<Item = VmId>) -> Option<VmId> {
    members.into_iter().max_by_key(|vm| (rendezvous_score(role, *vm), *vm))
}

/// Returns the `count` members with the highest scores for `role`, highest first.
pub fn rendezvous_owners(role: &str, members: impl IntoIterator<Item = VmId>, count: usize) -> Vec<VmId> {
    let mut scored: Vec<_> = members.into_iter().map(|vm| (rendezvous_score(role, vm), vm)).collect();
    scored.sort_unstable_by(|left, right| right.cmp(left));
    scored.into_iter().take(count).map(|(_, vm)| vm).collect()
}
