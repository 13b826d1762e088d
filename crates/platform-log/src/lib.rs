//! The platform's append-only log: trait, HTTP client, in-memory stand-in and stand-in server.
//!
//! Nodes only see [`PlatformLog`]. [`MemoryLog`] takes the platform's place in tests and in the demo and
//! can be told to fail; [`serve`] offers it over HTTP to [`HttpLog`]. The protocol and what each error
//! lets a writer conclude stand in `docs/PLATFORM-LOG.md`.

mod client;
mod daemon;
mod entry;
mod error;
mod faults;
mod hex;
mod log;
mod memory;
mod page;
mod server;
mod stats;
mod stream;
mod stream_name;
mod wire;

/// The attribute that implementations of [`PlatformLog`] need.
pub use async_trait::async_trait;
pub use client::HttpLog;
pub use daemon::{DaemonArgs, DaemonError, run_daemon};
pub use entry::LogEntry;
pub use error::LogError;
pub use faults::LogFaults;
pub use log::PlatformLog;
pub use memory::MemoryLog;
pub use page::ReadPage;
pub use server::serve;
pub use stats::LogStats;
pub use stream_name::StreamName;
