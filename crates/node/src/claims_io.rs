//! The node's side of at-most-once claims: the log's streams, messages, and the calls that wait.

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

/// Records of the log asked for in one read; each holds a batch of claims.
const READ_RECORDS: usize = 64;

/// A message for another node.
#[derive(Debug)]
pub struct OutgoingClaimMessage {
    /// The receiver.
    pub to: VmId,
    /// The message.
    pub message: ClaimMessage,
}

/// One node's part in claims, with its way to the log.
pub struct ClaimsIo {
    clock: Clock,
    log: Arc<dyn PlatformLog>,
    streams: Vec<StreamName>,
    table: Mutex<ClaimTable>,
}

struct ClaimTable {
    node: ClaimNode,
    outgoing: Vec<OutgoingClaimMessage>,
    waiting: HashMap<ClaimId, oneshot::Sender<ClaimDecision>>,
}

/// Work for the log that an effect asks for.
enum LogOperation {
    Append(ClaimStream, Vec<ClaimRecord>, LogRequestId),
    Read(ClaimStream, LogOffset, LogRequestId),
}

/// A claim that has won. It must be released when the call certainly has not run.
#[derive(Clone, Copy, Debug)]
pub struct WonClaim(ClaimId);

/// A claim whose verdict is awaited; dropping it gives the claim up.
struct PendingClaim<'a> {
    io: &'a Arc<ClaimsIo>,
    claim: ClaimId,
    decided: bool,
}

impl ClaimsIo {
    /// Returns a part with empty memory.
    ///
    /// # Errors
    ///
    /// Returns an error when a stream's name is not valid on the log, a fault of the program.
    pub fn new(clock: Clock, log: Arc<dyn PlatformLog>, node: ClaimNode) -> Result<Self, ParseError> {
        let streams: Result<Vec<StreamName>, ParseError> =
            ClaimStream::all().map(|stream| stream.to_string().parse()).collect();
        let table = ClaimTable { node, outgoing: Vec::new(), waiting: HashMap::new() };
        Ok(Self { clock, log, streams: streams?, table: Mutex::new(table) })
    }

    /// Claims a key and waits for the verdict.
    ///
    /// # Errors
    ///
    /// Returns the verdict when the claim did not win.
    pub async fn claim(self: &Arc<Self>, key: ClaimKey, key_age_ms: u64) -> Result<WonClaim, ClaimDecision> {
        let (sender, verdict) = oneshot::channel();
        let now = self.clock.now();
        let claim = {
            let mut table = lock(&self.table);
            let claim = table.node.begin_claim(key, key_age_ms, now);
            table.waiting.insert(claim, sender);
            claim
        };
        let mut awaited = PendingClaim { io: self, claim, decided: false };
        self.run_effects();
        let verdict = verdict.await.unwrap_or(ClaimDecision::NotRun(NotRunReason::Released));
        awaited.decided = true;
        if verdict == ClaimDecision::Won { Ok(WonClaim(claim)) } else { Err(verdict) }
    }

    /// Gives up a claim whose call certainly has not run, so that a re-send can run.
    pub fn release(self: &Arc<Self>, claim: WonClaim) {
        self.release_claim_id(claim.0);
    }

    /// Does what time brings. Called on each tick.
    pub fn tick(self: &Arc<Self>) {
        let now = self.clock.now();
        lock(&self.table).node.tick(now);
        self.run_effects();
    }

    /// Takes a message of another node.
    pub fn on_message(self: &Arc<Self>, from: VmId, message: ClaimMessage) {
        let now = self.clock.now();
        lock(&self.table).node.on_message(from, message, now);
        self.run_effects();
    }

    /// Takes the number of zones that share the log's appends.
    pub fn set_zone_count(&self, zone_count: usize) {
        lock(&self.table).node.set_zone_count(zone_count as u64);
    }

    /// Takes the present members.
    pub fn set_members(self: &Arc<Self>, members: &[ClaimMember]) {
        let now = self.clock.now();
        lock(&self.table).node.set_members(members, now);
        self.run_effects();
    }

    /// Returns the messages to send.
    pub fn take_outgoing(&self) -> Vec<OutgoingClaimMessage> {
        std::mem::take(&mut lock(&self.table).outgoing)
    }

    fn release_claim_id(self: &Arc<Self>, claim: ClaimId) {
        let now = self.clock.now();
        {
            let mut table = lock(&self.table);
            table.waiting.remove(&claim);
            table.node.release_claim(claim, now);
        }
        self.run_effects();
    }

    fn run_effects(self: &Arc<Self>) {
        let mut work = Vec::new();
        {
            let mut table = lock(&self.table);
            for effect in table.node.take_effects() {
                match effect {
                    ClaimEffect::Append { stream, records, request_id } => {
                        work.push(LogOperation::Append(stream, records, request_id));
                    }
                    ClaimEffect::Read { stream, first_offset, request_id } => {
                        work.push(LogOperation::Read(stream, first_offset, request_id))
                    }
                    ClaimEffect::Send { to, message } => table.outgoing.push(OutgoingClaimMessage { to, message }),
                    ClaimEffect::Decided { claim, decision } => table.deliver(claim, decision, self.clock),
                }
            }
        }
        for work in work {
            tokio::spawn(Arc::clone(self).work(work));
        }
    }

    // The future is boxed, because a result's effects may spawn this function again.
    fn work(self: Arc<Self>, work: LogOperation) -> BoxFuture<'static, ()> {
        Box::pin(async move {
            match work {
                LogOperation::Append(stream, records, request_id) => {
                    let result = self.append(stream, &records).await;
                    let now = self.clock.now();
                    lock(&self.table).node.on_append_result(request_id, result, now);
                }
                LogOperation::Read(stream, from, request_id) => {
                    let result = self.read(stream, from).await;
                    let now = self.clock.now();
                    lock(&self.table).node.on_read_result(request_id, &result, now);
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
                log::error!("claims: the log refused an append to {stream}: {error}");
                AppendResult::Unavailable
            }
        }
    }

    async fn read(&self, stream: ClaimStream, from: LogOffset) -> ReadResult {
        let name = self.stream_name(stream);
        let read = match self.log.read(name, from, READ_RECORDS).await {
            Err(LogError::Trimmed { first }) => self.log.read(name, first, READ_RECORDS).await,
            read => read,
        };
        match read {
            Ok(page) => ReadResult::Page(ReadPage {
                batches: page.records.iter().map(batch).collect(),
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

impl ClaimTable {
    /// Hands a verdict to the call that waits for it. A claim that won for nobody is given up.
    fn deliver(&mut self, claim: ClaimId, verdict: ClaimDecision, clock: Clock) {
        let waiting = self.waiting.remove(&claim);
        let delivered = waiting.is_some_and(|waiting| waiting.send(verdict).is_ok());
        if !delivered && verdict == ClaimDecision::Won {
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

/// Reads one record. One that can't be read holds no claims for any reader.
fn batch(entry: &LogEntry) -> ClaimBatch {
    let records = decode_exact::<Vec<ClaimRecord>>(&entry.payload).unwrap_or_else(|error| {
        log::error!("claims: record at {} can't be read: {error}", entry.offset);
        Vec::new()
    });
    ClaimBatch { offset: entry.offset, records }
}
