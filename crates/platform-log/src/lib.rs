//! The platform's append-only log: trait, HTTP client, in-memory stand-in and stand-in server.
//!
//! Nodes only see [`PlatformLog`]. [`MemoryLog`] takes the platform's place in tests and in the demo and
//! can be told to fail; see `docs/PLATFORM-LOG.md`.

mod entry;
mod error;
mod faults;
mod log;
mod memory;
mod page;
mod stats;
mod stream;
mod stream_name;

pub use entry::LogEntry;
pub use error::LogError;
pub use faults::LogFaults;
pub use log::PlatformLog;
pub use memory::MemoryLog;
pub use page::ReadPage;
pub use stats::LogStats;
pub use stream_name::StreamName;
