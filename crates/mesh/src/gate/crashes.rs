//! Recognises ends of the target and the requests that may have caused them. See `docs/CRASH-REQUESTS.md`.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fulmartrestle_core::{CallId, Fingerprint, Reason, Refusal, TimeUs, lock};
use fulmartrestle_policy::{CrashVerdict, EndedCall, ProbeResult, RunWatch};
use tokio::sync::OwnedSemaphorePermit;

use super::Gate;
use crate::event_log::LogLine;
use crate::local_target::Announcement;

/// How long the reply to a lost call is held back until the loss is explained, in milliseconds. Only a port that closes at
/// once is recognised so soon; all other ends are counted afterwards.
const EXPLANATION_WAIT_MS: u64 = 40;

/// How long a suspected request waits for its turn, in milliseconds, and when one that waited in vain may come again.
const SUSPECT_WAIT_MS: u64 = 1_000;
const SUSPECT_RETRY_AFTER_MS: u64 = 500;

/// Interval at which a request looks whether the outcome of an earlier try is known, in milliseconds.
const OUTCOME_POLL_MS: u64 = 25;

/// How long the target is silent after its last announcement has lapsed until it is taken for ended, in milliseconds. After
/// a pause of this process, its announcements arrive meanwhile.
const SILENCE_MS: u64 = 2_000;

/// Refusal of a suspected request whose turn has not come.
pub(super) const SUSPECT_BUSY: Refusal = Refusal::not_run(Reason::Blocked, Some(SUSPECT_RETRY_AFTER_MS));

/// The turn of a suspected request. No other one reaches the target until it is dropped.
pub type SuspectTurn = OwnedSemaphorePermit;

impl Gate {
    /// Refuses a request that has crashed targets, and returns whether it is suspected.
    pub(super) fn check_crash_marks(&self, fingerprint: Fingerprint) -> Result<bool, Refusal> {
        let now = self.clock.now();
        match lock(&self.crashes).check(fingerprint, now) {
            CrashVerdict::Blocked { until } => Err(Refusal::not_run(Reason::Blocked, Some(until.ms_since(now)))),
            CrashVerdict::Clear | CrashVerdict::Marked => Ok(false),
            CrashVerdict::Suspected => Ok(true),
        }
    }

    /// Waits for the turn of a request if it is suspected.
    pub(super) async fn take_suspect_turn(
        &self,
        fingerprint: Fingerprint,
        deadline: TimeUs,
    ) -> Result<Option<SuspectTurn>, Refusal> {
        if !self.check_crash_marks(fingerprint)? {
            return Ok(None);
        }
        let limit = self.clock.duration_until(deadline).min(Duration::from_millis(SUSPECT_WAIT_MS));
        let turn = tokio::time::timeout(limit, Arc::clone(&self.suspect_turn).acquire_owned()).await;
        let turn = turn.ok().and_then(Result::ok).ok_or(SUSPECT_BUSY)?;
        // The one before may have been this request and have ended the target.
        Ok(self.check_crash_marks(fingerprint)?.then_some(turn))
    }

    /// Waits for the outcome of an earlier try of a request that the target may have ended with.
    pub(super) async fn wait_for_earlier_try(&self, fingerprint: Fingerprint, deadline: TimeUs) -> Result<(), Refusal> {
        let waits_until = RunWatch::wait_limit(self.clock.now(), deadline);
        loop {
            let now = self.clock.now();
            if !lock(&self.state).run_watch.must_wait(fingerprint, now) {
                return Ok(());
            }
            if now >= waits_until {
                return Err(Refusal::not_run(Reason::NoTarget, Some(SUSPECT_RETRY_AFTER_MS)));
            }
            tokio::time::sleep(Duration::from_millis(OUTCOME_POLL_MS)).await;
        }
    }

    /// Probes the target until its losses are explained or further probes would not help.
    pub(super) fn start_probing(self: &Arc<Self>) {
        if self.is_probing.swap(true, Ordering::Relaxed) {
            return;
        }
        let gate = Arc::clone(self);
        tokio::spawn(async move {
            loop {
                let next_probe_at = lock(&gate.state).run_watch.next_probe_at();
                let Some(next_probe_at) = next_probe_at else { break };
                tokio::time::sleep(gate.clock.duration_until(next_probe_at)).await;
                gate.probe_target().await;
            }
            gate.is_probing.store(false, Ordering::Relaxed);
        });
    }

    async fn probe_target(&self) {
        let asked_at = self.clock.now();
        // The end of a process closes its connections, and a connection costs the target time.
        let has_idle = self.pool.has_idle();
        let (result, answer) = match has_idle {
            true => (ProbeResult::NoAnswer, "not asked: a connection is open".to_owned()),
            false => self.pool.probe(self.address).await,
        };
        let now = self.clock.now();
        let line = LogLine::new("target_probed").text("answer", answer).number("took_us", now.us_since(asked_at));
        self.event_log.write(line, now);
        self.record_probe(result, has_idle);
    }

    /// Records the result of a connection attempt. `has_idle` is whether an idle connection to it is open.
    pub(super) fn record_probe(&self, result: ProbeResult, has_idle: bool) {
        let mut state = lock(&self.state);
        let Some(ended) = state.run_watch.record_probe(result, has_idle, self.clock.now()) else { return };
        state.target.set_reachable(false);
        self.count_end(&ended, state.target.last_announcement(), "refused");
        drop(state);
        self.log_cold_state("crashed");
    }

    /// Waits until the loss of a call is explained, but not for long. Returns whether the target has ended with it.
    pub(super) async fn wait_for_explanation(&self, call: CallId) -> bool {
        let explained = async {
            loop {
                let counted = self.end_counted.notified();
                if !lock(&self.state).run_watch.is_open(call) {
                    return;
                }
                counted.await;
            }
        };
        tokio::time::timeout(Duration::from_millis(EXPLANATION_WAIT_MS), explained).await.is_ok()
    }

    /// Counts the end of the run that `target` announced for the requests that ran. `evidence` is logged.
    pub(super) fn count_end(&self, calls: &[EndedCall], target: Option<&Announcement>, evidence: &'static str) {
        let Some(target) = target.filter(|_| !calls.is_empty()) else { return };
        let now = self.clock.now();
        let blocked = lock(&self.crashes).record_end(calls, self.node_id, now);
        let suspected = calls.iter().filter(|call| call.suspected).count();
        let line = LogLine::new("target_ended")
            .text("instance", &target.instance)
            .text("evidence", evidence)
            .number("calls", calls.len() as u64)
            .number("suspected", suspected as u64);
        self.event_log.write(line, now);
        for call in calls.iter().filter(|call| !call.is_counted) {
            self.metrics.increment("target_crashed", target.service.as_str());
            let line = LogLine::new("target_crashed")
                .text("fingerprint", call.fingerprint)
                .text("instance", &target.instance)
                .flag("suspected", call.suspected);
            self.event_log.write(line, now);
        }
        for fingerprint in blocked {
            let line = LogLine::new("request_blocked").text("fingerprint", fingerprint).text("node", self.node_id);
            self.event_log.write(line, now);
        }
        self.end_counted.notify_waiters();
        self.status_due.notify_one();
    }

    /// Counts the end of a target that has stopped announcing itself. Must be called several times a second.
    pub fn check_silence(&self) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if !state.target.is_silent(now) || state.run_watch.has_ended() {
            state.silent_since = None;
            return;
        }
        let silent_since = *state.silent_since.get_or_insert(now);
        if now.ms_since(silent_since) >= SILENCE_MS {
            let ended = state.run_watch.record_end();
            self.count_end(&ended, state.target.last_announcement(), "silence");
        }
    }
}
