//! The node process as a library: entry, gate and sidecar over the pure policies.
