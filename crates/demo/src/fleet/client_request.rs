//! Request that a client or a target sends.

/// One send of a request, by a client or by a target that makes a child call.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequest {
    pub(crate) path: String,
    /// The caller's API key. Child calls of targets carry none.
    pub(crate) key: Option<String>,
    pub(crate) request_id: String,
    pub(crate) idempotency_key: Option<String>,
    /// Time for which the sender waits for a response, in milliseconds. It is sent with the request.
    pub(crate) timeout_ms: u64,
}

impl ClientRequest {
    /// Returns the first segment of the path, which is the name of the service.
    pub(crate) fn service(&self) -> &str {
        self.path.trim_start_matches('/').split('/').next().unwrap_or_default()
    }
}
