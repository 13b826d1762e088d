//! Decides when a run of a target has ended, and which requests may have ended it. See `docs/CRASH-REQUESTS.md`.

use std::collections::BTreeMap;

use fulmartrestle_core::{CallId, Fingerprint, TimeUs};
use fulmartrestle_derive::{local, value};

use super::AnsweredRequests;

/// How late an announcement may arrive, in milliseconds. One that arrives later than this after a loss shows that the run
/// has survived it.
const ANNOUNCEMENT_DELAY_MS: u64 = 3_000;

/// Time between two refused connections after which they show that a run has ended whose connections are still open, in
/// milliseconds. A target that is merely full answers other calls meanwhile.
const REFUSED_AGAIN_MS: u64 = 60;

/// Times after a loss at which the target is probed, in milliseconds, until the loss is explained. Its port may close later
/// than its connections.
const PROBE_TIMES_MS: [u64; 6] = [0, 20, 100, 250, 500, 1_000];

/// How long a request may run until further tries of it wait for its outcome, in milliseconds. Targets may have ended
/// although they still accept connections, and then all tries would reach the next run together.
const RUNNING_ALONE_MS: u64 = 300;

/// Share of its time left that a request waits for the outcome of an earlier try.
const OUTCOME_WAIT_SHARE: u64 = 4;

/// Maximum number of calls that are followed. The oldest are left out first.
const MAX_CALLS: usize = 4_096;

/// Why the outcome of a call is not known.
#[value]
pub enum CallLoss {
    /// The target closed or reset the connection before it began to respond.
    Closed,
    /// The node no longer awaits the response: the deadline passed, the sender left, or the response was invalid or cut.
    Unobserved,
}

/// Result of a connection attempt.
#[value]
pub enum ProbeResult {
    /// The target accepted the connection, or something that keeps its port did.
    Accepted,
    /// The port is closed.
    Refused,
    /// There was no answer.
    NoAnswer,
}

/// What is known about a loss when it is reported.
#[value]
pub enum LossVerdict {
    /// It belongs to an end of the target that has been counted.
    Crashed,
    /// It is not known whether the target has ended.
    Open,
}

/// A call that was under way, or whose loss was not explained, when a run of the target ended.
#[local]
#[derive(Copy, Eq)]
pub struct EndedCall {
    /// The call.
    pub call: CallId,
    /// Its request.
    pub fingerprint: Fingerprint,
    /// Whether the request may have ended the target: the run had not answered an equal one before.
    pub suspected: bool,
    /// Whether it has been counted for an earlier end. It may have caused this one too, if it reached the next run.
    pub is_counted: bool,
}

#[derive(Clone, Copy, Debug)]
struct WatchedCall {
    fingerprint: Fingerprint,
    started_at: TimeUs,
    /// Whether the target has announced itself since the loss.
    is_announced: bool,
    /// When and how the call was lost; `None` while it runs.
    loss: Option<(TimeUs, CallLoss)>,
}

impl WatchedCall {
    fn is_closed(&self) -> bool {
        matches!(self.loss, Some((_, CallLoss::Closed)))
    }
}

/// Follows the calls of one target.
///
/// A lost response alone is no evidence, since targets lose responses and go on, and neither is an accepted connection,
/// since something else may keep the port. The announcement of another run and refused connections are evidence. It may
/// come seconds later, and then it explains all losses that the run has not survived.
#[derive(Debug, Default)]
pub struct RunWatch {
    calls: BTreeMap<CallId, WatchedCall>,
    answered: AnsweredRequests,
    /// Calls that were counted when their run ended although they had not been lost, and when they were lost since.
    counted: BTreeMap<CallId, (Fingerprint, Option<TimeUs>)>,
    /// Whether the last announced run has ended.
    has_ended: bool,
    /// When connections were first refused, if the target has not answered since.
    refused_at: Option<TimeUs>,
    /// When the target was last seen to lose a call or to refuse a connection, and the probes since then.
    probing_since: TimeUs,
    probes: usize,
}

impl RunWatch {
    /// Records that a call is handed to the target.
    pub fn record_start(&mut self, call: CallId, fingerprint: Fingerprint, now: TimeUs) {
        let watched = WatchedCall { fingerprint, started_at: now, is_announced: false, loss: None };
        self.calls.insert(call, watched);
        if self.calls.len() > MAX_CALLS {
            self.calls.pop_first();
        }
    }

    /// Records a complete response. `is_success` is whether it shows that the target can run the request.
    pub fn record_answer(&mut self, call: CallId, is_success: bool) {
        self.counted.remove(&call);
        self.refused_at = None;
        let answered = self.calls.remove(&call).filter(|_| is_success);
        if let Some(answered) = answered {
            self.answered.record(answered.fingerprint);
        }
    }

    /// Records that the target has certainly not run a call.
    pub fn record_not_run(&mut self, call: CallId) {
        self.counted.remove(&call);
        self.calls.remove(&call);
    }

    /// Records that the outcome of a call will not be known.
    pub fn record_loss(&mut self, call: CallId, loss: CallLoss, now: TimeUs) -> LossVerdict {
        if let Some((_, lost_at)) = self.counted.get_mut(&call) {
            lost_at.get_or_insert(now);
            return LossVerdict::Crashed;
        }
        if let Some(watched) = self.calls.get_mut(&call) {
            watched.loss.get_or_insert((now, loss));
            if loss == CallLoss::Closed {
                self.restart_probing(now);
            }
        }
        LossVerdict::Open
    }

    /// Returns the request of a call that is followed or was counted.
    pub fn fingerprint(&self, call: CallId) -> Option<Fingerprint> {
        let counted = self.counted.get(&call).map(|(fingerprint, _)| *fingerprint);
        self.calls.get(&call).map(|watched| watched.fingerprint).or(counted)
    }

    /// Returns whether a loss is not explained yet.
    pub fn is_open(&self, call: CallId) -> bool {
        self.calls.get(&call).is_some_and(|watched| watched.loss.is_some())
    }

    /// Returns until when a request waits for the outcome of an earlier try: for a part of its time left. After that, it is
    /// sent to another target.
    pub fn wait_limit(now: TimeUs, deadline: TimeUs) -> TimeUs {
        now.plus_ms(deadline.ms_since(now) / OUTCOME_WAIT_SHARE)
    }

    /// Returns whether a further try of a request must wait for the outcome of one that the target may have ended with: the
    /// run has never answered an equal request, and one was lost or has run for long without an announcement since.
    pub fn must_wait(&self, fingerprint: Fingerprint, now: TimeUs) -> bool {
        let is_undecided = |watched: &WatchedCall| {
            !watched.is_announced && (watched.is_closed() || now.ms_since(watched.started_at) >= RUNNING_ALONE_MS)
        };
        let mut equal = self.calls.values().filter(|watched| watched.fingerprint == fingerprint);
        !self.answered.contains(fingerprint) && equal.any(is_undecided)
    }

    /// Returns whether the end of the last announced run has been recorded.
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Returns when the target should be probed next, or `None` if no closed connection is unexplained or further probes would
    /// not help.
    pub fn next_probe_at(&self) -> Option<TimeUs> {
        let needs_probe = self.refused_at.is_some() || self.calls.values().any(WatchedCall::is_closed);
        let time_ms = PROBE_TIMES_MS.get(self.probes).filter(|_| needs_probe)?;
        Some(self.probing_since.plus_ms(*time_ms))
    }

    /// Records the result of a probe or of another connection attempt. `has_idle_connection` is whether an idle connection
    /// to the target is open. Returns the calls of the run if this shows that it has ended.
    pub fn record_probe(
        &mut self,
        result: ProbeResult,
        has_idle_connection: bool,
        now: TimeUs,
    ) -> Option<Vec<EndedCall>> {
        self.probes += 1;
        match result {
            ProbeResult::Accepted => self.refused_at = None,
            ProbeResult::NoAnswer => {}
            ProbeResult::Refused => {
                let is_running = self.calls.values().any(|watched| watched.loss.is_none());
                let is_connected = is_running || has_idle_connection;
                let is_refused_again = self.refused_at.is_some_and(|at| now.ms_since(at) >= REFUSED_AGAIN_MS);
                if !is_connected || is_refused_again {
                    return Some(self.record_end());
                }
                if self.refused_at.is_none() {
                    self.refused_at = Some(now);
                    self.restart_probing(now);
                }
            }
        }
        None
    }

    /// Records an announcement of the current run, which explains the losses that it has survived.
    pub fn record_announcement(&mut self, now: TimeUs) {
        self.has_ended = false;
        self.calls.retain(|_, watched| {
            let Some((lost_at, _)) = watched.loss else { return true };
            watched.is_announced = true;
            now.ms_since(lost_at) < ANNOUNCEMENT_DELAY_MS
        });
        let is_recent = |lost_at: TimeUs| now.ms_since(lost_at) < ANNOUNCEMENT_DELAY_MS;
        self.counted.retain(|_, (_, lost_at)| lost_at.is_none_or(is_recent));
    }

    /// Records the announcement of another run. Returns the calls of the former one, unless its end has been counted.
    pub fn record_new_run(&mut self) -> Vec<EndedCall> {
        let mut ended = Vec::new();
        if !self.has_ended {
            // The end of a process closes all its connections, so that calls on open ones are of the new run. One that
            // fell silent closes none.
            let has_closed = self.calls.values().any(WatchedCall::is_closed);
            ended = self.take_ended(|watched| !has_closed || watched.loss.is_some());
        }
        self.has_ended = false;
        self.answered.clear();
        self.counted.retain(|_, (_, lost_at)| lost_at.is_none());
        ended
    }

    /// Records that the run has ended, or that nothing announces it any more. Returns its calls.
    pub fn record_end(&mut self) -> Vec<EndedCall> {
        self.has_ended = true;
        self.take_ended(|_| true)
    }

    fn restart_probing(&mut self, now: TimeUs) {
        self.probing_since = now;
        self.probes = 0;
    }

    fn take_ended(&mut self, has_ended: impl Fn(&WatchedCall) -> bool) -> Vec<EndedCall> {
        self.refused_at = None;
        let ended: Vec<_> = self.calls.extract_if(.., |_, watched| has_ended(watched)).collect();
        if ended.is_empty() {
            return Vec::new();
        }
        let to_ended_call = |call: CallId, fingerprint: Fingerprint, is_counted: bool| EndedCall {
            call,
            fingerprint,
            suspected: !self.answered.contains(fingerprint),
            is_counted,
        };
        let mut calls: Vec<_> =
            ended.iter().map(|(call, watched)| to_ended_call(*call, watched.fingerprint, false)).collect();
        calls.extend(self.counted.iter().map(|(call, (fingerprint, _))| to_ended_call(*call, *fingerprint, true)));
        let running = ended.into_iter().filter(|(_, watched)| watched.loss.is_none());
        self.counted.extend(running.map(|(call, watched)| (call, (watched.fingerprint, None))));
        while self.counted.len() > MAX_CALLS {
            self.counted.pop_first();
        }
        calls
    }
}
