//! Plans confirmed at this node whose outcome is not known yet.

use fulmartrestle_core::TimeUs;

use super::timing::{APPEND_TIMEOUT_MS, CONFIRM_TIMEOUT_MS, MAX_CONFIRM_ATTEMPTS};
use super::{AppendResult, ConfigEffect, ConfirmOutcome, LogRequestId};
use crate::plan::{Plan, PlanId};
use crate::replica::{LogRecord, Replica};

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// The append was sent, and its result has not arrived.
    Appending { request_id: LogRequestId, started_at: TimeUs },
    /// The log holds the record, which this node has not read yet.
    Appended,
    /// The result of the append was lost. Whether the record was written shows once a read that started after this time
    /// reaches the end of the log.
    AppendUnknown { started_at: TimeUs },
}

#[derive(Clone, Debug)]
struct PendingConfirmation {
    plan: PlanId,
    record: Vec<u8>,
    stage: Stage,
    attempts: u32,
    started_at: TimeUs,
    /// Whether an append without a result may have written the record.
    may_be_written: bool,
}

/// Tracks confirmations until their outcome is known. After a lost response the log is read to its end, and the
/// record is appended again if it is not there. Appending it twice is harmless.
#[derive(Clone, Debug, Default)]
pub(super) struct Confirmations {
    pending: Vec<PendingConfirmation>,
}

impl Confirmations {
    /// Starts a confirmation and returns its append. A plan that is already pending is not appended again, and one
    /// outcome completes both confirmations. Otherwise a failed second append would report `NotAppended` although
    /// the first append was written.
    pub(super) fn start_confirm(&mut self, now: TimeUs, plan: &Plan, request_id: LogRequestId) -> Option<ConfigEffect> {
        if self.pending.iter().any(|pending| pending.plan == plan.id) {
            return None;
        }
        let record = LogRecord::Confirm(plan.clone()).encode();
        let stage = Stage::Appending { request_id, started_at: now };
        let pending = PendingConfirmation {
            plan: plan.id,
            record: record.clone(),
            stage,
            attempts: 1,
            started_at: now,
            may_be_written: false,
        };
        self.pending.push(pending);
        Some(ConfigEffect::Append { request_id, record })
    }

    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Processes the result of an append and returns the resulting effects.
    pub(super) fn on_append_result(
        &mut self,
        now: TimeUs,
        request_id: LogRequestId,
        result: AppendResult,
    ) -> Vec<ConfigEffect> {
        let awaits_result = |pending: &PendingConfirmation| {
            // The late result of an append that has timed out is ignored.
            matches!(pending.stage, Stage::Appending { request_id: awaited, .. } if awaited == request_id)
        };
        let Some(index) = self.pending.iter().position(awaits_result) else { return Vec::new() };
        let pending = &mut self.pending[index];
        match result {
            AppendResult::Appended(_) => pending.stage = Stage::Appended,
            AppendResult::Unknown => pending.mark_append_unknown(now),
            AppendResult::NotAppended if pending.may_be_written => {
                pending.stage = Stage::AppendUnknown { started_at: now }
            }
            AppendResult::NotAppended => {
                let plan = self.pending.remove(index).plan;
                return vec![ConfigEffect::ConfirmCompleted { plan, outcome: ConfirmOutcome::NotAppended }];
            }
        }
        Vec::new()
    }

    /// Returns the appends to repeat after a read that started at `read_started_at` has reached the end of the
    /// log.
    pub(super) fn on_log_end_read(
        &mut self,
        now: TimeUs,
        read_started_at: TimeUs,
        mut next_request_id: impl FnMut() -> LogRequestId,
    ) -> Vec<ConfigEffect> {
        let mut effects = Vec::new();
        for pending in &mut self.pending {
            let Stage::AppendUnknown { started_at } = pending.stage else { continue };
            if read_started_at < started_at || pending.attempts >= MAX_CONFIRM_ATTEMPTS {
                continue;
            }
            let request_id = next_request_id();
            pending.attempts += 1;
            pending.stage = Stage::Appending { request_id, started_at: now };
            effects.push(ConfigEffect::Append { request_id, record: pending.record.clone() });
        }
        effects
    }

    /// Completes the confirmations that the replica has certified and those that have timed out.
    pub(super) fn complete_decided(&mut self, now: TimeUs, replica: &Replica) -> Vec<ConfigEffect> {
        let mut effects = Vec::new();
        self.pending.retain_mut(|pending| {
            pending.check_append_timeout(now);
            let decided = replica.certification_result(pending.plan).map(ConfirmOutcome::Decided);
            let expired = now.ms_since(pending.started_at) >= CONFIRM_TIMEOUT_MS;
            let outcome = decided.or(expired.then_some(ConfirmOutcome::Unknown));
            effects.extend(outcome.map(|outcome| ConfigEffect::ConfirmCompleted { plan: pending.plan, outcome }));
            outcome.is_none()
        });
        effects
    }
}

impl PendingConfirmation {
    fn check_append_timeout(&mut self, now: TimeUs) {
        if let Stage::Appending { started_at, .. } = self.stage
            && now.ms_since(started_at) >= APPEND_TIMEOUT_MS
        {
            self.mark_append_unknown(now);
        }
    }

    fn mark_append_unknown(&mut self, now: TimeUs) {
        self.may_be_written = true;
        self.stage = Stage::AppendUnknown { started_at: now };
    }
}
