//! Settings of the target table.

/// Settings of a [`super::TargetTable`].
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSettings {
    pub(super) busy_load: f64,
    pub(super) spill_factor: f64,
    pub(super) refused_pause_ms: u64,
    pub(super) min_backoff_ms: u64,
    pub(super) max_backoff_ms: u64,
    pub(super) losses_to_suspect: u32,
    pub(super) timeouts_to_suspect: u32,
    pub(super) probe_timeout_ms: u64,
}

impl Default for TargetSettings {
    fn default() -> Self {
        Self {
            busy_load: 0.8,
            spill_factor: 1.25,
            refused_pause_ms: 100,
            min_backoff_ms: 100,
            max_backoff_ms: 5_000,
            losses_to_suspect: 3,
            timeouts_to_suspect: 10,
            probe_timeout_ms: 1_000,
        }
    }
}

macro_rules! setters {
    ($($(#[$doc:meta])* $name:ident: $kind:ty,)*) => {
        $(
            $(#[$doc])*
            #[must_use]
            pub fn $name(mut self, $name: $kind) -> Self {
                self.$name = $name;
                self
            }
        )*
    };
}

impl TargetSettings {
    setters! {
        /// Sets the share of a target's slots in use by this node from which on other zones are considered;
        /// 0.8 by default.
        busy_load: f64,
        /// Sets the factor by which a target of another zone must be less loaded; 1.25 by default.
        spill_factor: f64,
        /// Sets how long a target that refused a call counts as busy, in milliseconds; 100 by default.
        refused_pause_ms: u64,
        /// Sets the minimum time for which a suspected target is avoided, in milliseconds; 100 by default.
        min_backoff_ms: u64,
        /// Sets the maximum time for which a suspected target is avoided, in milliseconds; 5,000 by
        /// default.
        max_backoff_ms: u64,
        /// Sets the number of consecutive lost calls after which the target is suspected; 3 by default.
        losses_to_suspect: u32,
        /// Sets the number of consecutive timeouts, while other targets answer as many calls, after which
        /// the target is suspected; 10 by default.
        timeouts_to_suspect: u32,
        /// Sets the time after which a probe without a result counts as failed, in milliseconds; 1,000 by
        /// default.
        probe_timeout_ms: u64,
    }
}
