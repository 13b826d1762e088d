//! I/O for configuration propagation: log operations, outgoing messages, and activation of new versions.
//!
//! The decisions are made by [`ConfigNode`], which does no I/O.

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

/// Maximum number of log records per read.
const MAX_READ_RECORDS: usize = 256;

/// Timeout of a confirmation, in milliseconds. It is longer than the timeout of the state machine, which normally
/// expires first.
const CONFIRM_TIMEOUT_MS: u64 = 40_000;

/// A configuration message to be sent to another node.
#[derive(Debug)]
pub struct OutgoingConfigMessage {
    /// Receiving node.
    pub to: VmId,
    /// Message to send.
    pub message: ConfigMessage,
}

/// Runs a node's configuration state machine and the log operations that it requests.
pub struct ConfigIo {
    clock: Clock,
    log: Arc<dyn PlatformLog>,
    stream: StreamName,
    current: Arc<CurrentConfig>,
    state: Mutex<ConfigState>,
}

struct ConfigState {
    node: ConfigNode,
    outgoing: Vec<OutgoingConfigMessage>,
    confirmations: HashMap<PlanId, Vec<oneshot::Sender<ConfirmOutcome>>>,
}

/// A log operation requested by the configuration state machine.
enum LogOperation {
    Read(LogRequestId, LogOffset),
    Append(LogRequestId, Vec<u8>),
}

impl ConfigIo {
    /// Creates the I/O part of `node`, before the first read of the log.
    pub fn new(
        clock: Clock,
        log: Arc<dyn PlatformLog>,
        stream: StreamName,
        current: Arc<CurrentConfig>,
        node: ConfigNode,
    ) -> Self {
        let state = ConfigState { node, outgoing: Vec::new(), confirmations: HashMap::new() };
        Self { clock, log, stream, current, state: Mutex::new(state) }
    }

    /// Handles expired timers and updates the isolation state. Called every 100 ms.
    pub fn tick(self: &Arc<Self>) {
        let now = self.clock.now();
        self.update_node(|node| node.tick(now, wall_ms() as i64));
        let isolation = lock(&self.state).node.isolation(now);
        self.current.set_isolation(isolation);
    }

    /// Handles a message from another node.
    pub fn on_message(self: &Arc<Self>, from: VmId, message: ConfigMessage) {
        let now = self.clock.now();
        self.update_node(|node| node.on_message(now, from, message));
    }

    /// Sets the current members. Called at most once a second.
    pub fn set_members(&self, members: &[ConfigMember]) {
        lock(&self.state).node.set_members(members);
    }

    /// Returns the messages to send and removes them from the queue.
    pub fn take_outgoing(&self) -> Vec<OutgoingConfigMessage> {
        std::mem::take(&mut lock(&self.state).outgoing)
    }

    /// Confirms a plan and waits for the outcome.
    pub async fn confirm(self: &Arc<Self>, plan: Plan) -> ConfirmOutcome {
        if let Some(result) = lock(&self.state).node.replica().certification_result(plan.id) {
            return ConfirmOutcome::Decided(result);
        }
        let (sender, completed) = oneshot::channel();
        let now = self.clock.now();
        lock(&self.state).confirmations.entry(plan.id).or_default().push(sender);
        self.update_node(|node| node.confirm(now, &plan));
        let result = tokio::time::timeout(Duration::from_millis(CONFIRM_TIMEOUT_MS), completed).await;
        match result {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => ConfirmOutcome::Unknown,
        }
    }

    /// Returns the last `count` decided plans, newest first.
    pub fn history(&self, count: usize) -> Vec<HistoryEntry> {
        lock(&self.state).node.replica().history().rev().take(count).cloned().collect()
    }

    /// Returns this node's view of the fleet's configuration, and requests newer reports from other nodes.
    pub fn status(self: &Arc<Self>) -> ConfigStatus {
        self.update_node(ConfigNode::request_status);
        lock(&self.state).node.status(self.clock.now())
    }

    /// Updates the state machine and carries out its effects.
    ///
    /// New versions are activated under the lock, so that concurrent updates can't reorder them.
    fn update_node(self: &Arc<Self>, update: impl FnOnce(&mut ConfigNode) -> Vec<ConfigEffect>) {
        let mut operations = Vec::new();
        {
            let mut state = lock(&self.state);
            for effect in update(&mut state.node) {
                match effect {
                    ConfigEffect::ReadLog { request_id, from } => operations.push(LogOperation::Read(request_id, from)),
                    ConfigEffect::Append { request_id, record } => {
                        operations.push(LogOperation::Append(request_id, record))
                    }
                    ConfigEffect::Send { to, message } => state.outgoing.push(OutgoingConfigMessage { to, message }),
                    ConfigEffect::NewConfig(config) => self.current.set(config),
                    ConfigEffect::ConfirmCompleted { plan, outcome } => {
                        for waiter in state.confirmations.remove(&plan).unwrap_or_default() {
                            // An operator who has disconnected can look up the outcome in the history.
                            let _ = waiter.send(outcome);
                        }
                    }
                }
            }
        }
        for operation in operations {
            tokio::spawn(Arc::clone(self).run_log_operation(operation));
        }
    }

    // The future is boxed, because handling the result may spawn this function again.
    fn run_log_operation(self: Arc<Self>, operation: LogOperation) -> futures_util::future::BoxFuture<'static, ()> {
        Box::pin(async move {
            match operation {
                LogOperation::Read(request_id, from) => {
                    let result = self.read(from).await;
                    let now = self.clock.now();
                    self.update_node(|node| node.on_read_result(now, request_id, result));
                }
                LogOperation::Append(request_id, record) => {
                    let result = self.append(record).await;
                    let now = self.clock.now();
                    self.update_node(|node| node.on_append_result(now, request_id, result));
                }
            }
        })
    }

    async fn read(&self, from: LogOffset) -> ReadResult {
        match self.log.read(&self.stream, from, MAX_READ_RECORDS).await {
            Ok(page) => {
                let records = page.records.into_iter().map(|entry| entry.payload).collect();
                ReadResult::Records { from, records, end: page.end_offset }
            }
            Err(LogError::Trimmed { first }) => ReadResult::Trimmed { first },
            Err(LogError::Unavailable | LogError::ResponseLost) => ReadResult::Unavailable,
            Err(LogError::BadRequest(reason)) => {
                log::error!("config: log read from offset {from} failed: {reason}");
                ReadResult::Unavailable
            }
        }
    }

    async fn append(&self, record: Vec<u8>) -> AppendResult {
        match self.log.append(&self.stream, vec![record]).await {
            Ok(offset) => AppendResult::Appended(offset),
            Err(LogError::ResponseLost) => AppendResult::Unknown,
            Err(LogError::Unavailable) => AppendResult::NotAppended,
            Err(error) => {
                log::error!("config: log append failed: {error}");
                AppendResult::NotAppended
            }
        }
    }
}
