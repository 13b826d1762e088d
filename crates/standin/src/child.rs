//! Child calls: the calls that a target makes to other services.

use async_trait::async_trait;
use fulmartrestle_derive::record;
use http::HeaderValue;
use quick_error::quick_error;

/// Calls to one route that every request makes.
#[record]
#[serde(deny_unknown_fields)]
pub struct ChildCall {
    /// Path prefix of the route to call, for example `/lineage`.
    pub path: String,
    /// Number of calls, made one after the other.
    pub count: u32,
}

/// A call to another service.
#[derive(Clone, Debug)]
pub struct ChildRequest {
    /// Path of the call. It is unique among the calls of a request, so that a call can be distinguished from
    /// the retry of another one.
    pub path: String,
    /// Value of the context header of the request, passed on unchanged.
    pub context: Option<HeaderValue>,
    /// The request id of the request, if it had one.
    pub request_id: Option<HeaderValue>,
}

quick_error! {
    /// Error of a call to another service.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ChildError {
        /// The response had a status other than 200.
        Status(status: u16) {
            display("response had status {status}")
        }
        /// No complete response arrived in time.
        NoResponse(reason: String) {
            display("no complete response: {reason}")
        }
    }
}

/// Client through which a target calls other services.
#[async_trait]
pub trait ChildCaller: Send + Sync {
    /// Makes one call and waits for its complete response.
    ///
    /// # Errors
    ///
    /// Returns the status if it isn't 200, or the reason why no complete response arrived.
    async fn call(&self, request: ChildRequest) -> Result<(), ChildError>;
}
