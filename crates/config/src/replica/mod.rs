//! The configuration as a replicated state machine over the platform log.
//!
//! Every reader applies the log's records in order. A confirmed plan commits only if no plan that committed
//! after its base version wrote a row that it reads or writes: the certification of
//! Pedone, Guerraoui and Schiper, "The Database State Machine Approach" (Distributed and Parallel
//! Databases, 2003). All readers come to the same result without communicating. See `docs/CONFIGURATION.md`.

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
pub use history::{History, HistoryEntry, MAX_HISTORY_ENTRIES};
pub use log_record::{LogRecord, MAX_RECORD_BYTES};
pub use replica_state::{ApplyOutcome, Replica};
pub use snapshot::{SNAPSHOT_PART_BYTES, Snapshot, SnapshotId, SnapshotPart};
pub use state::SNAPSHOT_INTERVAL_RECORDS;

use state::State;
