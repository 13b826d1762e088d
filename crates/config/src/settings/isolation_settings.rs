//! Settings for a zone that has lost contact with the log and with all other zones.

use fulmartrestle_derive::record;

/// How long an isolated zone keeps serving by its last configuration. Calls of at-most-once routes are refused
/// from the start, because their claims need the log.
#[record]
#[derive(Eq)]
#[serde(default, deny_unknown_fields)]
pub struct IsolationSettings {
    /// How long calls with a key are served, in milliseconds since the last contact. A withdrawn key may keep
    /// working in an isolated zone for this long.
    pub keyed_calls_for_ms: u64,
    /// How long calls of routes that are open to all are served, in milliseconds since the last contact; absent for
    /// no limit.
    pub open_calls_for_ms: Option<u64>,
}

impl Default for IsolationSettings {
    /// Calls with a key are served for one hour, the length of a typical network partition between regions. Open
    /// calls are served without limit.
    fn default() -> Self {
        Self { keyed_calls_for_ms: 3_600_000, open_calls_for_ms: None }
    }
}
