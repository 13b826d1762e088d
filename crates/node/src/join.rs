//! Join records on the platform's log, by which nodes find their first peers.

use std::sync::Arc;
use std::time::Duration;

use fulmartrestle_core::{LogOffset, lock};
use fulmartrestle_membership::JoinRecord;
use fulmartrestle_platform_log::{LogError, PlatformLog, StreamName};

use crate::state::NodeState;
use crate::wire::{decode_exact, encode};

/// How long the log is taken to keep join records, in milliseconds.
const RETENTION_MS: u64 = 3_600_000;

/// Records asked for in one read.
const READ_RECORDS: usize = 256;

/// Pause between reads while this node knows no other, in milliseconds.
const DISCOVERY_INTERVAL_MS: u64 = 250;

/// Pause between reads otherwise, in milliseconds. Reading on finds members across a healed cut that
/// gossip has forgotten.
const JOINED_READ_INTERVAL_MS: u64 = 30_000;

/// Reads and writes join records until the task is aborted.
pub async fn run_joins(state: Arc<NodeState>, log: Arc<dyn PlatformLog>, stream: StreamName) {
    let mut next = LogOffset(0);
    loop {
        if let Err(error) = step(&state, log.as_ref(), &stream, &mut next).await {
            log::debug!("join: {error}");
        }
        let alone = lock(&state.membership).members(state.clock.now()).count() <= 1;
        let pause_ms = if alone { DISCOVERY_INTERVAL_MS } else { JOINED_READ_INTERVAL_MS };
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

async fn step(
    state: &NodeState,
    log: &dyn PlatformLog,
    stream: &StreamName,
    next: &mut LogOffset,
) -> Result<(), LogError> {
    read_records(state, log, stream, next).await?;
    let now = state.clock.now();
    let record = {
        let membership = lock(&state.membership);
        membership.needs_join_record(now, RETENTION_MS).then(|| membership.join_record())
    };
    let Some(bytes) = record.and_then(|record| encode(&record).ok()) else { return Ok(()) };
    match log.append(stream, vec![bytes]).await {
        // Whether or not a lost answer means written: a record more does no harm.
        Ok(_) => lock(&state.membership).mark_join_record_appended(now),
        Err(error) => return Err(error),
    }
    Ok(())
}

async fn read_records(
    state: &NodeState,
    log: &dyn PlatformLog,
    stream: &StreamName,
    next: &mut LogOffset,
) -> Result<(), LogError> {
    loop {
        let page = match log.read(stream, *next, READ_RECORDS).await {
            Err(LogError::Trimmed { first }) => {
                *next = first;
                continue;
            }
            read => read?,
        };
        let records = page.records.iter().filter_map(|entry| decode_exact::<JoinRecord>(&entry.payload).ok());
        let records: Vec<_> = records.collect();
        if !records.is_empty() {
            lock(&state.membership).join(&records, state.clock.now());
        }
        *next = page.next_offset;
        if page.next_offset >= page.end_offset {
            return Ok(());
        }
    }
}
