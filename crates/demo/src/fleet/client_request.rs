//! One send of a request.

/// What a client, or a target with a call of its own, sends.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequest {
    pub(crate) path: String,
    /// The caller's key; targets' calls carry none.
    pub(crate) key: Option<String>,
    pub(crate) request_id: String,
    pub(crate) idempotency_key: Option<String>,
    /// How long the sender waits for an answer.
    pub(crate) timeout_ms: u64,
}

impl ClientRequest {
    /// Returns the first segment of the path, which is the name of the service behind it.
    pub(crate) fn service(&self) -> &str {
        self.path.trim_start_matches('/').split('/').next().unwrap_or_default()
    }
}
