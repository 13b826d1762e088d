//! The node's side of the spread of configuration: log reads and appends, messages, and what follows
//! from a new version.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fulmartrestle_config::plan::{Plan, PlanId};
use fulmartrestle_config::propagation::{
    AppendResult, ConfigEffect, ConfigMember, ConfigMessage, ConfigNode, ConfigStatus, ConfirmOutcome, LogRequestId,
    ReadResult,
};
use fulmartrestle_config::replica::HistoryEntry;
use fulmartrestle_core::{LogOffset, VmId, lock};
use fulmartrestle_platform_log::{LogError, PlatformLog, StreamName};
use tokio::sync::oneshot;

use crate::clock::{Clock, wall_ms};
use crate::config::CurrentConfig;

/// Records asked for in one read.
const READ_RECORDS: usize = 256;

/// Longest wait of an operator for a confirmation, in milliseconds; the state machine gives up first.
const CONFIRM_TIMEOUT_MS: u64 = 40_000;

/// A message for another node.
#[derive(Debug)]
pub struct OutgoingConfigMessage {
    /// The receiver.
    pub to: VmId,
    /// The message.
    pub message: ConfigMessage,
}

/// One node's part in the spread of configuration, with its way to the log.
pub struct ConfigIo {
    clock: Clock,
    log: Arc<dyn PlatformLog>,
    stream: StreamName,
    current: Arc<CurrentConfig>,
    table: Mutex<ConfigTable>,
}

struct ConfigTable {
    node: ConfigNode,
    outgoing: Vec<OutgoingConfigMessage>,
    confirmations: HashMap<PlanId, Vec<oneshot::Sender<ConfirmOutcome>>>,
}

/// Work for the log that an effect asks for.
enum LogOperation {
    Read(LogRequestId, LogOffset),
    Append(LogRequestId, Vec<u8>),
}

impl ConfigIo {
    /// Returns a part that has read nothing.
    pub fn new(
        clock: Clock,
        log: Arc<dyn PlatformLog>,
        stream: StreamName,
        current: Arc<CurrentConfig>,
        node: ConfigNode,
    ) -> Self {
        let table = ConfigTable { node, outgoing: Vec::new(), confirmations: HashMap::new() };
        Self { clock, log, stream, current, table: Mutex::new(table) }
    }

    /// Does what is due. Called every 100 ms.
    pub fn tick(self: &Arc<Self>) {
        let now = self.clock.now();
        self.step(|node| node.tick(now, wall_ms() as i64));
        let isolation = lock(&self.table).node.isolation(now);
        self.current.set_isolation(isolation);
    }

    /// Takes a message of another node.
    pub fn on_message(self: &Arc<Self>, from: VmId, message: ConfigMessage) {
        let now = self.clock.now();
        self.step(|node| node.on_message(now, from, message));
    }

    /// Takes the present members; at most once a second.
    pub fn set_members(&self, members: &[ConfigMember]) {
        lock(&self.table).node.set_members(members);
    }

    /// Returns the messages to send.
    pub fn take_outgoing(&self) -> Vec<OutgoingConfigMessage> {
        std::mem::take(&mut lock(&self.table).outgoing)
    }

    /// Confirms a plan and waits until it is settled.
    pub async fn confirm(self: &Arc<Self>, plan: Plan) -> ConfirmOutcome {
        if let Some(result) = lock(&self.table).node.replica().certification_result(plan.id) {
            return ConfirmOutcome::Decided(result);
        }
        let (sender, settled) = oneshot::channel();
        let now = self.clock.now();
        lock(&self.table).confirmations.entry(plan.id).or_default().push(sender);
        self.step(|node| node.confirm(now, &plan));
        let waited = tokio::time::timeout(Duration::from_millis(CONFIRM_TIMEOUT_MS), settled).await;
        match waited {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => ConfirmOutcome::Unknown,
        }
    }

    /// Returns the last decided plans, newest first.
    pub fn history(&self, count: usize) -> Vec<HistoryEntry> {
        lock(&self.table).node.replica().history().rev().take(count).cloned().collect()
    }

    /// Returns what this node can say about the fleet's configuration, and asks for newer reports.
    pub fn status(self: &Arc<Self>) -> ConfigStatus {
        self.step(ConfigNode::request_status);
        lock(&self.table).node.status(self.clock.now())
    }

    /// Runs one step of the state machine and does what it asks for. New versions are put in force
    /// under the lock, so that two steps can't swap theirs.
    fn step(self: &Arc<Self>, step: impl FnOnce(&mut ConfigNode) -> Vec<ConfigEffect>) {
        let mut work = Vec::new();
        {
            let mut table = lock(&self.table);
            for effect in step(&mut table.node) {
                match effect {
                    ConfigEffect::ReadLog { request_id, from } => work.push(LogOperation::Read(request_id, from)),
                    ConfigEffect::Append { request_id, record } => work.push(LogOperation::Append(request_id, record)),
                    ConfigEffect::Send { to, message } => table.outgoing.push(OutgoingConfigMessage { to, message }),
                    ConfigEffect::NewConfig(config) => self.current.set(config),
                    ConfigEffect::ConfirmCompleted { plan, outcome } => {
                        for waiting in table.confirmations.remove(&plan).unwrap_or_default() {
                            // An operator who has gone away misses the outcome, which the history holds.
                            let _ = waiting.send(outcome);
                        }
                    }
                }
            }
        }
        for work in work {
            tokio::spawn(Arc::clone(self).work(work));
        }
    }

    // The future is boxed, because a result's step may spawn this function again.
    fn work(self: Arc<Self>, work: LogOperation) -> futures_util::future::BoxFuture<'static, ()> {
        Box::pin(async move {
            match work {
                LogOperation::Read(request_id, from) => {
                    let result = self.read(from).await;
                    let now = self.clock.now();
                    self.step(|node| node.on_read_result(now, request_id, result));
                }
                LogOperation::Append(request_id, record) => {
                    let result = self.append(record).await;
                    let now = self.clock.now();
                    self.step(|node| node.on_append_result(now, request_id, result));
                }
            }
        })
    }

    async fn read(&self, from: LogOffset) -> ReadResult {
        match self.log.read(&self.stream, from, READ_RECORDS).await {
            Ok(page) => {
                let records = page.records.into_iter().map(|entry| entry.payload).collect();
                ReadResult::Records { from, records, end: page.end_offset }
            }
            Err(LogError::Trimmed { first }) => ReadResult::Trimmed { first },
            Err(LogError::Unavailable | LogError::ResponseLost) => ReadResult::Unavailable,
            Err(LogError::BadRequest(reason)) => {
                log::error!("config: the log refused a read from {from}: {reason}");
                ReadResult::Unavailable
            }
        }
    }

    async fn append(&self, record: Vec<u8>) -> AppendResult {
        match self.log.append(&self.stream, vec![record]).await {
            Ok(offset) => AppendResult::Appended(offset),
            Err(LogError::ResponseLost) => AppendResult::Unknown,
            Err(LogError::Unavailable) => AppendResult::Refused,
            Err(error) => {
                log::error!("config: the log refused an append: {error}");
                AppendResult::Refused
            }
        }
    }
}
