//! Plans that were confirmed at this node and wait for the log.

use fulmartrestle_core::TimeUs;

use super::timing::{APPEND_TIMEOUT_MS, CONFIRM_TIMEOUT_MS, MAX_CONFIRM_ATTEMPTS};
use super::{AppendResult, ConfigEffect, ConfirmOutcome, LogRequestId};
use crate::plan::{Plan, PlanId};
use crate::replica::{LogRecord, Replica};

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// The append was sent and not answered.
    Appending { request_id: LogRequestId, since: TimeUs },
    /// The log holds the record; it has to be read.
    Appended,
    /// The append's answer was lost; the log has to be read to its end after this time.
    Unanswered { since: TimeUs },
}

#[derive(Clone, Debug)]
struct Pending {
    plan: PlanId,
    record: Vec<u8>,
    stage: Stage,
    attempts: u32,
    since: TimeUs,
    /// Whether an append may have been taken without an answer.
    may_be_written: bool,
}

/// Settles confirms: a lost answer is settled by reading the log, and by appending again when the
/// record isn't there. Appending twice is harmless.
#[derive(Clone, Debug, Default)]
pub(super) struct Confirmations {
    pending: Vec<Pending>,
}

impl Confirmations {
    /// Starts a confirm and returns its append. A plan that waits already is not appended again: its
    /// one outcome answers both, where a refused second append would deny a first that was written.
    pub(super) fn start(&mut self, now: TimeUs, plan: &Plan, request_id: LogRequestId) -> Option<ConfigEffect> {
        if self.pending.iter().any(|pending| pending.plan == plan.id) {
            return None;
        }
        let record = LogRecord::Confirm(plan.clone()).encode();
        let stage = Stage::Appending { request_id, since: now };
        let pending =
            Pending { plan: plan.id, record: record.clone(), stage, attempts: 1, since: now, may_be_written: false };
        self.pending.push(pending);
        Some(ConfigEffect::Append { request_id, record })
    }

    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Notes an append's answer. Returns the effects and whether the log should be read now.
    pub(super) fn on_append_result(
        &mut self,
        now: TimeUs,
        request_id: LogRequestId,
        result: AppendResult,
    ) -> Vec<ConfigEffect> {
        let waits =
            |pending: &Pending| matches!(pending.stage, Stage::Appending { request_id: own, .. } if own == request_id);
        let Some(index) = self.pending.iter().position(waits) else { return Vec::new() };
        let pending = &mut self.pending[index];
        match result {
            AppendResult::Appended(_) => pending.stage = Stage::Appended,
            AppendResult::Unknown => pending.give_up_waiting(now),
            AppendResult::Refused if pending.may_be_written => pending.stage = Stage::Unanswered { since: now },
            AppendResult::Refused => {
                let plan = self.pending.remove(index).plan;
                return vec![ConfigEffect::ConfirmCompleted { plan, outcome: ConfirmOutcome::NotAppended }];
            }
        }
        Vec::new()
    }

    /// Notes that the log was read to its end by a read that was asked for at `asked_at`.
    pub(super) fn on_log_end(
        &mut self,
        now: TimeUs,
        asked_at: TimeUs,
        mut next_ticket: impl FnMut() -> LogRequestId,
    ) -> Vec<ConfigEffect> {
        let mut effects = Vec::new();
        for pending in &mut self.pending {
            let Stage::Unanswered { since } = pending.stage else { continue };
            if asked_at < since || pending.attempts >= MAX_CONFIRM_ATTEMPTS {
                continue;
            }
            let request_id = next_ticket();
            pending.attempts += 1;
            pending.stage = Stage::Appending { request_id, since: now };
            effects.push(ConfigEffect::Append { request_id, record: pending.record.clone() });
        }
        effects
    }

    /// Settles what the replica has decided on and what has waited too long.
    pub(super) fn settle(&mut self, now: TimeUs, replica: &Replica) -> Vec<ConfigEffect> {
        let mut effects = Vec::new();
        self.pending.retain_mut(|pending| {
            pending.check_timeout(now);
            let decided = replica.certification_result(pending.plan).map(ConfirmOutcome::Decided);
            let expired = now.ms_since(pending.since) >= CONFIRM_TIMEOUT_MS;
            let outcome = decided.or(expired.then_some(ConfirmOutcome::Unknown));
            effects.extend(outcome.map(|outcome| ConfigEffect::ConfirmCompleted { plan: pending.plan, outcome }));
            outcome.is_none()
        });
        effects
    }
}

impl Pending {
    fn check_timeout(&mut self, now: TimeUs) {
        if let Stage::Appending { since, .. } = self.stage
            && now.ms_since(since) >= APPEND_TIMEOUT_MS
        {
            self.give_up_waiting(now);
        }
    }

    fn give_up_waiting(&mut self, now: TimeUs) {
        self.may_be_written = true;
        self.stage = Stage::Unanswered { since: now };
    }
}
