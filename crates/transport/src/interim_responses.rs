//! Interim responses (status 1xx) to one request.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use hyper::Request;
use tokio::sync::Notify;

/// Maximum number of interim responses before a response. Targets send at most one or two; a target that sends them
/// without end would keep the request until its deadline and the processor busy.
const MAX_INTERIM_RESPONSES: u32 = 8;

/// Counts the interim responses to one request.
#[derive(Debug, Default)]
pub struct InterimResponses {
    count: AtomicU32,
    exceeded: Notify,
}

impl InterimResponses {
    /// Counts the interim responses to `request`, also if it is sent on another connection later.
    pub fn watch<B>(request: &mut Request<B>) -> Arc<Self> {
        let interim_responses = Arc::new(Self::default());
        let counted = Arc::clone(&interim_responses);
        hyper::ext::on_informational(request, move |_| {
            if counted.count.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM_RESPONSES {
                counted.exceeded.notify_one();
            }
        });
        interim_responses
    }

    /// Waits until there are too many, and returns a text that says so.
    pub async fn exceeded(&self) -> String {
        self.exceeded.notified().await;
        format!("more than {MAX_INTERIM_RESPONSES} interim responses")
    }
}
