//! What targets say about themselves in their responses.

use fulmartrestle_core::RateMilliPerS;
use fulmartrestle_derive::value;

/// What a target says about itself in a response. It holds until a later response says otherwise.
#[value]
#[derive(Default)]
pub struct TargetNotices {
    /// Requests that the target takes from all nodes together; `None` if it names no limit.
    pub max_rate: Option<RateMilliPerS>,
    /// Whether the target is about to stop and must receive no further requests.
    pub leaving: bool,
}
