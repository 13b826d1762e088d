//! When a node that stops takes each step, until its process ends. See `docs/DRAIN.md`.

use fulmartrestle_core::TimeUs;
use fulmartrestle_derive::value;

use crate::StopTimes;

/// Time for the platform to route callers to other nodes, in milliseconds. It checks readiness once a second and
/// acts after two failed checks. At most half of the grace period.
const CALLER_DRAIN_MS: u64 = 2_600;

/// Time between the request to the other nodes to send their calls elsewhere and the moment at which the callers
/// have left, in milliseconds. The target keeps receiving calls until that request, so that a planned stop costs
/// its capacity for no longer than the running requests take.
const LEAVING_LEAD_MS: u64 = 1_100;

/// Time for the other nodes to learn that this one stops accepting calls, in milliseconds: one status message and
/// some network delay.
const LEAVING_NOTICE_MS: u64 = 300;

/// How long before the end of the grace period the connections are closed, in milliseconds. At most a quarter of the grace
/// period.
const EXIT_MARGIN_MS: u64 = 500;

/// Share of the exit margin that the process may use itself, for its last calls to the store.
const EXIT_MARGIN_USE: u64 = 2;

/// Time for connections to close once the listener has closed, in milliseconds. At most a quarter of the grace period.
const CLOSE_TIME_MS: u64 = 800;

/// Time for the last answers to leave, in milliseconds. At most a twentieth of the grace period.
const LAST_ANSWERS_MS: u64 = 100;

/// The times of one planned stop, in the order in which they come.
#[value]
pub struct StopSchedule {
    /// When the node stopped being ready.
    pub started_at: TimeUs,
    /// When the other nodes are asked to send their calls elsewhere.
    pub leaving_at: TimeUs,
    /// When the gate starts to refuse all further calls.
    pub gate_closes_at: TimeUs,
    /// When the callers have turned to other nodes.
    pub callers_left_at: TimeUs,
    /// When the listener closes at the latest. It closes earlier if the local target has no work that may make calls.
    pub listener_closes_at: TimeUs,
    /// When requests that are still unanswered are answered without a response of their target.
    pub last_answers_at: TimeUs,
    /// When connections are closed, whether or not requests are still running.
    pub end_at: TimeUs,
    /// When the process exits at the latest.
    pub exit_at: TimeUs,
}

impl StopSchedule {
    /// Returns the schedule of a stop that starts at `started_at`, after which the process is killed within `grace_ms`.
    pub fn new(grace_ms: u64, started_at: TimeUs) -> Self {
        let callers_left_ms = CALLER_DRAIN_MS.min(grace_ms / 2);
        let leaving_ms = callers_left_ms.saturating_sub(LEAVING_LEAD_MS);
        let exit_margin_ms = EXIT_MARGIN_MS.min(grace_ms / 4);
        let end_ms = grace_ms - exit_margin_ms;
        let listener_closes_ms = end_ms.saturating_sub(CLOSE_TIME_MS.min(grace_ms / 4)).max(callers_left_ms);
        let at = |ms| started_at.plus_ms(ms);
        Self {
            started_at,
            leaving_at: at(leaving_ms),
            gate_closes_at: at((leaving_ms + LEAVING_NOTICE_MS).min(callers_left_ms)),
            callers_left_at: at(callers_left_ms),
            listener_closes_at: at(listener_closes_ms),
            last_answers_at: at(end_ms - LAST_ANSWERS_MS.min(grace_ms / 20)),
            end_at: at(end_ms),
            exit_at: at(end_ms + exit_margin_ms / EXIT_MARGIN_USE),
        }
    }

    /// Returns the times that decide which requests are passed on.
    pub fn times(&self) -> StopTimes {
        StopTimes { callers_left_at: self.callers_left_at, end_at: self.end_at }
    }
}
