//! Bounds on what one caller's connection may make a node hold.

use fulmartrestle_derive::record;

/// Bounds on connections, heads and bodies. Absent fields take their defaults.
#[record]
#[derive(Eq)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request or answer that is held in memory, in bytes.
    pub max_body_bytes: usize,
    /// Longest time a connection may take to send a request's head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Most connections from callers at one time.
    pub max_connections: usize,
}

impl Default for Limits {
    /// 32 KiB heads, 1 MiB bodies, 5 s for a head, 4,096 connections.
    fn default() -> Self {
        Self { max_header_bytes: 32 << 10, max_body_bytes: 1 << 20, head_timeout_ms: 5_000, max_connections: 4_096 }
    }
}
