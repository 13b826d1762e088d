//! Interface to the platform's append-only log, and an in-memory implementation.
//!
//! Nodes depend on [`PlatformLog`] alone. [`MemoryLog`] replaces the platform in tests and in the demo and
//! can inject faults. The client of the platform's protocol is in `platform/`. What a writer can conclude
//! from each error is described in `docs/PLATFORM-LOG.md`.

mod entry;
mod error;
mod faults;
mod keyed_record;
mod log;
mod memory;
mod read_page;
mod stats;
mod stream;
mod stream_name;

/// Re-exported because implementations of [`PlatformLog`] need this attribute.
pub use async_trait::async_trait;
pub use entry::LogEntry;
pub use error::LogError;
pub use faults::LogFaults;
pub use keyed_record::{KeyedRecord, LatestRecords};
pub use log::PlatformLog;
pub use memory::MemoryLog;
pub use read_page::ReadPage;
pub use stats::LogStats;
pub use stream_name::StreamName;
