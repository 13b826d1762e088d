//! I/O for at-most-once claims: log operations, outgoing messages, and the calls that wait for a decision.
//!
//! The decisions are made by [`ClaimNode`], which does no I/O.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use fulmartrestle_claims::{
    AppendResult, ClaimBatch, ClaimDecision, ClaimEffect, ClaimId, ClaimKey, ClaimMember, ClaimMessage, ClaimNode,
    ClaimRecord, ClaimStream, LogRequestId, NotRunReason, ReadPage, ReadResult,
};
use fulmartrestle_core::{LogOffset, ParseError, VmId, lock};
use fulmartrestle_platform_log::{LogEntry, LogError, PlatformLog, StreamName};
use futures_util::future::BoxFuture;
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::wire::{decode_exact, encode};

/// Maximum number of log records per read. Each record holds a batch of claims.
const MAX_READ_RECORDS: usize = 64;

/// A claim message to be sent to another node.
#[derive(Debug)]
pub struct OutgoingClaimMessage {
    /// Receiving node.
    pub to: VmId,
    /// Message to send.
    pub message: ClaimMessage,
}

/// Runs a node's claim state machine and the log operations that it requests.
pub struct ClaimsIo {
    clock: Clock,
    log: Arc<dyn PlatformLog>,
    streams: Vec<StreamName>,
    state: Mutex<ClaimState>,
}

struct ClaimState {
    node: ClaimNode,
    outgoing: Vec<OutgoingClaimMessage>,
    waiters: HashMap<ClaimId, oneshot::Sender<ClaimDecision>>,
}

/// A log operation requested by the claim state machine.
enum LogOperation {
    Append(ClaimStream, Vec<ClaimRecord>, LogRequestId),
    Read(ClaimStream, LogOffset, LogRequestId),
}

/// A claim that this node has won. It must be released if the call certainly did not run.
#[derive(Clone, Copy, Debug)]
pub struct WonClaim(ClaimId);

/// A claim that is not decided yet. Dropping it abandons the claim.
struct PendingClaim<'a> {
    io: &'a Arc<ClaimsIo>,
    claim: ClaimId,
    decided: bool,
}

impl ClaimsIo {
    /// Creates the I/O part of `node`, without pending claims.
    ///
    /// # Errors
    ///
    /// Returns an error when the name of a stream is not valid on the log, which is a bug.
    pub fn new(clock: Clock, log: Arc<dyn PlatformLog>, node: ClaimNode) -> Result<Self, ParseError> {
        let streams: Result<Vec<StreamName>, ParseError> =
            ClaimStream::all().map(|stream| stream.to_string().parse()).collect();
        let state = ClaimState { node, outgoing: Vec::new(), waiters: HashMap::new() };
        Ok(Self { clock, log, streams: streams?, state: Mutex::new(state) })
    }

    /// Claims a key and waits for the decision.
    ///
    /// # Errors
    ///
    /// Returns the decision when the claim was not won.
    pub async fn claim(self: &Arc<Self>, key: ClaimKey, key_age_ms: u64) -> Result<WonClaim, ClaimDecision> {
        let (sender, decision) = oneshot::channel();
        let now = self.clock.now();
        let claim = {
            let mut state = lock(&self.state);
            let claim = state.node.begin_claim(key, key_age_ms, now);
            state.waiters.insert(claim, sender);
            claim
        };
        let mut pending = PendingClaim { io: self, claim, decided: false };
        self.run_effects();
        let decision = decision.await.unwrap_or(ClaimDecision::NotRun(NotRunReason::Released));
        pending.decided = true;
        if decision == ClaimDecision::Won { Ok(WonClaim(claim)) } else { Err(decision) }
    }

    /// Releases a claim whose call certainly did not run, so that a retry can run.
    pub fn release(self: &Arc<Self>, claim: WonClaim) {
        self.release_claim_id(claim.0);
    }

    /// Handles expired timers. Called on each tick.
    pub fn tick(self: &Arc<Self>) {
        let now = self.clock.now();
        lock(&self.state).node.tick(now);
        self.run_effects();
    }

    /// Handles a message from another node.
    pub fn on_message(self: &Arc<Self>, from: VmId, message: ClaimMessage) {
        let now = self.clock.now();
        lock(&self.state).node.on_message(from, message, now);
        self.run_effects();
    }

    /// Sets the number of zones that share the append rate of the log.
    pub fn set_zone_count(&self, zone_count: usize) {
        lock(&self.state).node.set_zone_count(zone_count as u64);
    }

    /// Sets the current members.
    pub fn set_members(self: &Arc<Self>, members: &[ClaimMember]) {
        let now = self.clock.now();
        lock(&self.state).node.set_members(members, now);
        self.run_effects();
    }

    /// Returns the messages to send and removes them from the queue.
    pub fn take_outgoing(&self) -> Vec<OutgoingClaimMessage> {
        std::mem::take(&mut lock(&self.state).outgoing)
    }

    fn release_claim_id(self: &Arc<Self>, claim: ClaimId) {
        let now = self.clock.now();
        {
            let mut state = lock(&self.state);
            state.waiters.remove(&claim);
            state.node.release_claim(claim, now);
        }
        self.run_effects();
    }

    fn run_effects(self: &Arc<Self>) {
        let mut operations = Vec::new();
        {
            let mut state = lock(&self.state);
            for effect in state.node.take_effects() {
                match effect {
                    ClaimEffect::Append { stream, records, request_id } => {
                        operations.push(LogOperation::Append(stream, records, request_id));
                    }
                    ClaimEffect::Read { stream, first_offset, request_id } => {
                        operations.push(LogOperation::Read(stream, first_offset, request_id))
                    }
                    ClaimEffect::Send { to, message } => state.outgoing.push(OutgoingClaimMessage { to, message }),
                    ClaimEffect::Decided { claim, decision } => state.deliver_decision(claim, decision, self.clock),
                }
            }
        }
        for operation in operations {
            tokio::spawn(Arc::clone(self).run_log_operation(operation));
        }
    }

    // The future is boxed, because the effects of the result may spawn this function again.
    fn run_log_operation(self: Arc<Self>, operation: LogOperation) -> BoxFuture<'static, ()> {
        Box::pin(async move {
            match operation {
                LogOperation::Append(stream, records, request_id) => {
                    let result = self.append(stream, &records).await;
                    let now = self.clock.now();
                    lock(&self.state).node.on_append_result(request_id, result, now);
                }
                LogOperation::Read(stream, first_offset, request_id) => {
                    let result = self.read(stream, first_offset).await;
                    let now = self.clock.now();
                    lock(&self.state).node.on_read_result(request_id, &result, now);
                }
            }
            self.run_effects();
        })
    }

    async fn append(&self, stream: ClaimStream, records: &[ClaimRecord]) -> AppendResult {
        let Ok(payload) = encode(&records) else { return AppendResult::Unavailable };
        match self.log.append(self.stream_name(stream), vec![payload]).await {
            Ok(offset) => AppendResult::Written(offset),
            Err(LogError::ResponseLost) => AppendResult::ResponseLost,
            Err(LogError::Unavailable) => AppendResult::Unavailable,
            Err(error) => {
                log::error!("claims: append to log stream {stream} failed: {error}");
                AppendResult::Unavailable
            }
        }
    }

    async fn read(&self, stream: ClaimStream, first_offset: LogOffset) -> ReadResult {
        let name = self.stream_name(stream);
        let result = match self.log.read(name, first_offset, MAX_READ_RECORDS).await {
            Err(LogError::Trimmed { first }) => self.log.read(name, first, MAX_READ_RECORDS).await,
            result => result,
        };
        match result {
            Ok(page) => ReadResult::Page(ReadPage {
                batches: page.records.iter().map(decode_batch).collect(),
                end_offset: page.end_offset,
                trimmed_before: page.first_offset,
            }),
            Err(_) => ReadResult::Unavailable,
        }
    }

    fn stream_name(&self, stream: ClaimStream) -> &StreamName {
        &self.streams[usize::from(stream.0)]
    }
}

impl ClaimState {
    /// Delivers a decision to the call that waits for it. A won claim that no call waits for is released.
    fn deliver_decision(&mut self, claim: ClaimId, decision: ClaimDecision, clock: Clock) {
        let waiter = self.waiters.remove(&claim);
        let delivered = waiter.is_some_and(|waiter| waiter.send(decision).is_ok());
        if !delivered && decision == ClaimDecision::Won {
            self.node.release_claim(claim, clock.now());
        }
    }
}

impl Drop for PendingClaim<'_> {
    fn drop(&mut self) {
        if !self.decided {
            self.io.release_claim_id(self.claim);
        }
    }
}

/// Decodes one log record. A record that can't be decoded counts as empty, for every reader alike.
fn decode_batch(entry: &LogEntry) -> ClaimBatch {
    let records = decode_exact::<Vec<ClaimRecord>>(&entry.payload).unwrap_or_else(|error| {
        log::error!("claims: cannot decode the record at offset {}: {error}", entry.offset);
        Vec::new()
    });
    ClaimBatch { offset: entry.offset, records }
}
