//! The configuration as a replicated state machine over the platform's log.
//!
//! Every reader applies the log's records in order. A confirmed plan commits only when nothing that
//! it read or writes was written by a plan that committed after its base: the certification of
//! Pedone, Guerraoui and Schiper, "The Database State Machine Approach" (Distributed and Parallel
//! Databases, 2003). Every reader decides alike, without talking to the others. See
//! `docs/CONFIGURATION.md`.

mod assembler;
mod catch_up;
mod certification;
mod config_hash;
mod history;
mod log_record;
mod logged_snapshots;
mod replica_state;
mod snapshot;
mod state;

pub use assembler::SnapshotAssembler;
pub use certification::CertificationResult;
pub use config_hash::ConfigHash;
pub use history::{HISTORY_ENTRIES, History, HistoryEntry};
pub use log_record::{LogRecord, MAX_RECORD_BYTES};
pub use replica_state::{Applied, Replica};
pub use snapshot::{SNAPSHOT_PART_BYTES, Snapshot, SnapshotId, SnapshotPart};
pub use state::SNAPSHOT_AFTER_RECORDS;

use state::State;
