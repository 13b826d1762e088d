//! The state of one key, derived from the records of its stream.

use fulmartrestle_core::TimeUs;

use crate::ClaimId;

/// Holder and void claims of one key. All readers that have applied every record of the key have the
/// same state.
#[derive(Clone, Debug)]
pub(crate) struct KeyState {
    pub(crate) holder: Option<ClaimId>,
    void_claims: Vec<ClaimId>,
    pub(crate) last_record_at: TimeUs,
}

impl KeyState {
    pub(crate) fn new(last_record_at: TimeUs) -> Self {
        Self { holder: None, void_claims: Vec::new(), last_record_at }
    }

    /// Applies a claim record. A claim made while another holds the key is void permanently: its claimant
    /// has been told so, and a repetition of its record must not win after the holder's release.
    pub(crate) fn apply_claim(&mut self, claim: ClaimId) {
        match self.holder {
            None if !self.is_void(claim) => self.holder = Some(claim),
            Some(holder) if holder != claim => self.add_void_claim(claim),
            _ => {}
        }
    }

    pub(crate) fn apply_release(&mut self, claim: ClaimId) {
        if self.holder == Some(claim) {
            self.holder = None;
        }
        self.add_void_claim(claim);
    }

    pub(crate) fn is_void(&self, claim: ClaimId) -> bool {
        self.void_claims.contains(&claim)
    }

    fn add_void_claim(&mut self, claim: ClaimId) {
        if !self.is_void(claim) {
            self.void_claims.push(claim);
        }
    }
}
