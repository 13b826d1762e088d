//! How often the store is asked. See `docs/PLATFORM.md`.
//!
//! Load pattern: each call to the store costs, and a fleet makes calls in proportion to its size. A few nodes
//! confirm often that nothing is new and tell the others; those only wait for news, and ask for themselves
//! once nobody tells them.

use fulmartrestle_core::VmId;

/// Nodes that confirm for all. They have random ids, so that a zone that is cut off seldom has all of them.
const CONFIRMERS: usize = 4;

/// How long a confirming read waits for news, in milliseconds. Status messages add a second to the age, and
/// two reads may follow each other in the time in which a withdrawn key must stop working.
const CONFIRM_WAIT_MS: u64 = 1_000;

/// How long the other reads wait for news, in milliseconds. A connection that went silent is noticed at its end.
const NEWS_WAIT_MS: u64 = 6_000;

/// Age of what is known about the configuration from which on a node asks for itself, as a share of the time
/// in which a withdrawn key must stop working: the rest is for the answer and a lost message.
const ASK_AGE_SHARE: f64 = 0.6;

/// Pause after the first failed call, and the longest, in milliseconds. A store that is back is met within
/// the second in which nodes without news still answer.
const MIN_PAUSE_MS: u64 = 160;
const MAX_PAUSE_MS: u64 = 900;

/// Returns how long a node's next read waits for news, in milliseconds.
pub fn read_wait_ms(own: VmId, live: &[VmId], age_ms: Option<u64>, revoke_ms: u64) -> u64 {
    if age_ms.is_none_or(|age_ms| age_ms >= ask_age_ms(revoke_ms)) {
        return 0;
    }
    let confirms = live.iter().filter(|other| **other < own).count() < CONFIRMERS;
    if confirms { CONFIRM_WAIT_MS } else { NEWS_WAIT_MS }
}

/// Returns the age from which on a node asks for itself, in milliseconds.
pub fn ask_age_ms(revoke_ms: u64) -> u64 {
    (revoke_ms as f64 * ASK_AGE_SHARE) as u64
}

/// Pauses after failed calls, which grow while the store stays away.
#[derive(Clone, Copy, Debug, Default)]
pub struct StorePause {
    failures: u32,
}

impl StorePause {
    /// Notes a call that worked.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Notes a failed call. Returns how long to wait, in milliseconds; `draw` is a random number from 0 to 1
    /// that keeps nodes from returning together.
    pub fn failed(&mut self, draw: f64) -> u64 {
        let longest_ms = (MIN_PAUSE_MS << self.failures.min(8)).min(MAX_PAUSE_MS);
        self.failures += 1;
        (longest_ms as f64 * (0.5 + draw / 2.0)) as u64
    }
}
