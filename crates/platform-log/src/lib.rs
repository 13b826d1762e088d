//! The platform's append-only log: the trait and a stand-in in memory.
//!
//! Nodes only see [`PlatformLog`]. [`MemoryLog`] takes the platform's place in tests and in the demo and
//! can be told to fail. The platform's protocol is spoken by `platform/`; what each error lets a writer
//! conclude stands in `docs/PLATFORM-LOG.md`.

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

/// The attribute that implementations of [`PlatformLog`] need.
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
