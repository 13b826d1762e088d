//! What a zone that hears neither the log nor another zone goes on serving.

use fulmartrestle_derive::record;

/// How long a fully isolated zone trusts its last configuration. Routes that run at most once are
/// refused at once in any case, because their claims need the log.
#[record]
#[derive(Eq)]
#[serde(default, deny_unknown_fields)]
pub struct IsolationSettings {
    /// How long calls that present a key go on, in milliseconds since the last contact. A withdrawn
    /// key may still work in an isolated zone for this long.
    pub keyed_calls_for_ms: u64,
    /// How long routes that are open to all go on, in milliseconds since the last contact; absent
    /// for no bound.
    pub open_calls_for_ms: Option<u64>,
}

impl Default for IsolationSettings {
    /// Keyed calls for one hour, the length of an ordinary cut between regions; open calls without
    /// bound.
    fn default() -> Self {
        Self { keyed_calls_for_ms: 3_600_000, open_calls_for_ms: None }
    }
}
