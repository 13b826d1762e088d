//! Settings of admission control at ingress.

use crate::BasisPoints;

/// Settings of a [`super::IngressAdmission`].
#[derive(Clone, Debug, PartialEq)]
pub struct IngressAdmissionSettings {
    pub(super) recovery_delay_ms: u64,
    pub(super) recovery_ms: u64,
    pub(super) min_retry_after_ms: u64,
    pub(super) max_retry_after_ms: u64,
}

impl Default for IngressAdmissionSettings {
    fn default() -> Self {
        Self { recovery_delay_ms: 300, recovery_ms: 1_000, min_retry_after_ms: 200, max_retry_after_ms: 5_000 }
    }
}

impl IngressAdmissionSettings {
    /// Sets the time after the last received level from which on the admitted share rises without updates, in
    /// milliseconds; 300 by default.
    #[must_use]
    pub fn recovery_delay_ms(mut self, recovery_delay_ms: u64) -> Self {
        self.recovery_delay_ms = recovery_delay_ms;
        self
    }

    /// Sets how long the admitted share of a class takes to rise from zero to 100 % without updates, in
    /// milliseconds; 1,000 by default.
    #[must_use]
    pub fn recovery_ms(mut self, recovery_ms: u64) -> Self {
        self.recovery_ms = recovery_ms.max(1);
        self
    }

    pub(super) fn retry_after_ms(&self, share: BasisPoints) -> u64 {
        let scaled_ms = self.min_retry_after_ms * u64::from(BasisPoints::FULL.0) / u64::from(share.0.max(1));
        scaled_ms.min(self.max_retry_after_ms)
    }
}
