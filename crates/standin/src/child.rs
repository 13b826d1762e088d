//! Calls that a target makes to other services.

use async_trait::async_trait;
use fulmartrestle_derive::record;
use http::HeaderValue;
use quick_error::quick_error;

/// Calls that the work of every request makes.
#[record]
#[serde(deny_unknown_fields)]
pub struct ChildCall {
    /// Path prefix of the route to call, for example `/lineage`.
    pub path: String,
    /// How many calls are made, one after the other.
    pub count: u32,
}

/// One call to another service.
#[derive(Clone, Debug)]
pub struct ChildRequest {
    /// Path of the call. It differs between the calls of one request, so that each can be told apart
    /// from a retry of another.
    pub path: String,
    /// The context that came with the request, handed back unchanged.
    pub context: Option<HeaderValue>,
    /// The request id that came with the request.
    pub request_id: Option<HeaderValue>,
}

quick_error! {
    /// Why a call to another service failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ChildError {
        /// The call was answered with another status than 200.
        Status(status: u16) {
            display("answered with status {status}")
        }
        /// No whole answer came in time.
        NoResponse(reason: String) {
            display("no whole answer: {reason}")
        }
    }
}

/// The way by which a target reaches other services.
#[async_trait]
pub trait ChildCaller: Send + Sync {
    /// Makes one call and waits for its whole answer.
    ///
    /// # Errors
    ///
    /// Returns the status of a refusal, or why no whole answer came.
    async fn call(&self, request: ChildRequest) -> Result<(), ChildError>;
}
