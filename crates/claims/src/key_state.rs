//! The state of one key, as the records of its stream determine it.

use fulmartrestle_core::TimeUs;

use crate::ClaimId;

/// Holder and void claims of one key. Every reader that knows all records of the key arrives at the
/// same state.
#[derive(Clone, Debug)]
pub(crate) struct KeyState {
    pub(crate) holder: Option<ClaimId>,
    void: Vec<ClaimId>,
    pub(crate) seen_at: TimeUs,
}

impl KeyState {
    pub(crate) fn new(seen_at: TimeUs) -> Self {
        Self { holder: None, void: Vec::new(), seen_at }
    }

    /// Applies a claim. A claim that comes second is void for good: its claimant is told so, and a
    /// repetition of its record must not win after the holder's release.
    pub(crate) fn claim(&mut self, claim: ClaimId) {
        match self.holder {
            None if !self.is_void(claim) => self.holder = Some(claim),
            Some(holder) if holder != claim => self.make_void(claim),
            _ => {}
        }
    }

    pub(crate) fn release(&mut self, claim: ClaimId) {
        if self.holder == Some(claim) {
            self.holder = None;
        }
        self.make_void(claim);
    }

    pub(crate) fn is_void(&self, claim: ClaimId) -> bool {
        self.void.contains(&claim)
    }

    fn make_void(&mut self, claim: ClaimId) {
        if !self.is_void(claim) {
            self.void.push(claim);
        }
    }
}
