//! Join records on the platform log, which nodes use to discover their first peers.

use std::sync::Arc;
use std::time::Duration;

use fulmartrestle_core::{LogOffset, lock};
use fulmartrestle_membership::JoinRecord;
use fulmartrestle_platform_log::{LogError, PlatformLog, StreamName};

use crate::state::NodeState;
use crate::wire::{decode_exact, encode};

/// Assumed retention of join records on the log, in milliseconds.
const LOG_RETENTION_MS: u64 = 3_600_000;

/// Maximum number of log records per read.
const MAX_READ_RECORDS: usize = 256;

/// Interval between reads while this node has no peers, in milliseconds.
const DISCOVERY_INTERVAL_MS: u64 = 250;

/// Interval between reads once this node has peers, in milliseconds. Continued reads rediscover members after a
/// healed network partition, which gossip may have removed.
const JOINED_READ_INTERVAL_MS: u64 = 30_000;

/// Reads and appends join records until the task is aborted.
pub async fn run_join_record_sync(state: Arc<NodeState>, log: Arc<dyn PlatformLog>, stream: StreamName) {
    let mut next_offset = LogOffset(0);
    loop {
        if let Err(error) = sync_join_records(&state, log.as_ref(), &stream, &mut next_offset).await {
            log::debug!("join: cannot read or append join records: {error}");
        }
        let is_alone = lock(&state.membership).members(state.clock.now()).count() <= 1;
        let pause_ms = if is_alone { DISCOVERY_INTERVAL_MS } else { JOINED_READ_INTERVAL_MS };
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

async fn sync_join_records(
    state: &NodeState,
    log: &dyn PlatformLog,
    stream: &StreamName,
    next_offset: &mut LogOffset,
) -> Result<(), LogError> {
    read_records(state, log, stream, next_offset).await?;
    let now = state.clock.now();
    let record = {
        let membership = lock(&state.membership);
        membership.needs_join_record(now, LOG_RETENTION_MS).then(|| membership.join_record())
    };
    let Some(bytes) = record.and_then(|record| encode(&record).ok()) else { return Ok(()) };
    match log.append(stream, vec![bytes]).await {
        // After a lost response the record is appended again; a duplicate is harmless.
        Ok(_) => lock(&state.membership).mark_join_record_appended(now),
        Err(error) => return Err(error),
    }
    Ok(())
}

async fn read_records(
    state: &NodeState,
    log: &dyn PlatformLog,
    stream: &StreamName,
    next_offset: &mut LogOffset,
) -> Result<(), LogError> {
    loop {
        let page = match log.read(stream, *next_offset, MAX_READ_RECORDS).await {
            Err(LogError::Trimmed { first }) => {
                *next_offset = first;
                continue;
            }
            result => result?,
        };
        let records = page.records.iter().filter_map(|entry| decode_exact::<JoinRecord>(&entry.payload).ok());
        let records: Vec<_> = records.collect();
        if !records.is_empty() {
            lock(&state.membership).join(&records, state.clock.now());
        }
        *next_offset = page.next_offset;
        if page.next_offset >= page.end_offset {
            return Ok(());
        }
    }
}
