//! Limits on the resources that callers can make a node use.

use fulmartrestle_derive::record;

/// Limits on connections, request heads and bodies. Absent fields have their default values.
#[record]
#[derive(Eq)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request or response body that is kept in memory, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Maximum number of open connections from callers.
    pub max_connections: usize,
}

impl Default for Limits {
    /// 32 KiB heads, 1 MiB bodies, 5 s for a head, 4,096 connections.
    fn default() -> Self {
        Self { max_header_bytes: 32 << 10, max_body_bytes: 1 << 20, head_timeout_ms: 5_000, max_connections: 4_096 }
    }
}
