//! Settings of an admission gate.

/// Settings of an [`super::AdmissionGate`]; the defaults suit targets of ten to several hundred slots.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionGateSettings {
    pub(super) initial_limit: u32,
    pub(super) min_limit: u32,
    pub(super) max_limit: u32,
    pub(super) warm_up_ms: u64,
    pub(super) min_queue: usize,
    pub(super) max_queue: usize,
    pub(super) queue_per_limit: f64,
    pub(super) protected_queue_factor: usize,
    pub(super) protected_only_ms: u64,
}

impl Default for AdmissionGateSettings {
    fn default() -> Self {
        Self {
            initial_limit: 20,
            min_limit: 2,
            max_limit: 1_000,
            warm_up_ms: 0,
            min_queue: 16,
            max_queue: 128,
            queue_per_limit: 1.0,
            protected_queue_factor: 4,
            protected_only_ms: 1_000,
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

impl AdmissionGateSettings {
    setters! {
        /// Sets the initial concurrency limit of a target that announces no slots; 20 by default.
        initial_limit: u32,
        /// Sets the minimum concurrency limit, 2 by default: with one call at a time, one slow call would
        /// stop all latency measurements.
        min_limit: u32,
        /// Sets the maximum concurrency limit, 1,000 by default, for example the target's number of
        /// connections.
        max_limit: u32,
        /// Sets the warm-up time after the first call, during which the limit rises to its full value, in
        /// milliseconds; 0 by default.
        warm_up_ms: u64,
        /// Sets the minimum queue length, 16 calls by default: a shorter queue sheds calls that merely
        /// arrive together.
        min_queue: usize,
        /// Sets the maximum queue length, 128 calls by default.
        max_queue: usize,
        /// Sets the queue length as a multiple of the concurrency limit; 1.0 by default, so that a queued
        /// call waits at most about one service time.
        queue_per_limit: f64,
        /// Sets the factor by which the queue may be longer for protected calls; 4 by default.
        protected_queue_factor: usize,
        /// Sets how long only protected calls are admitted after one of them was shed, in milliseconds;
        /// 1,000 by default.
        protected_only_ms: u64,
    }
}
