//! What the platform must tell the node, and how the node answers in the platform's words.

use fulmartrestle_core::{Refusal, Service, Tenant};
use fulmartrestle_platform_log::StreamName;
use fulmartrestle_transport::ByteBody;
use http::{HeaderMap, HeaderName, Response, StatusCode};
use quick_error::quick_error;

use crate::{ApiKey, MeshConfig};

quick_error! {
    /// A configuration that can't be used.
    #[derive(Debug)]
    pub enum ConfigError {
        /// The text, with the place and the value at fault.
        Invalid(detail: String) {
            display("invalid configuration: {}", detail)
        }
    }
}

/// Where things are on the platform's store.
#[derive(Clone, Debug)]
pub struct StoreLayout {
    /// Stream of what the operator writes.
    pub operator_stream: StreamName,
    /// Key of the configuration among it.
    pub config_key: String,
    /// Stream of the nodes' addresses.
    pub nodes_stream: StreamName,
}

/// What a caller says in the headers of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerMetadata {
    /// The request's id; each attempt of a caller has its own.
    pub request_id: Option<String>,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The caller's key.
    pub key: Option<ApiKey>,
}

/// What a target is told with a request.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetMetadata<'a> {
    /// How long the target may work, in milliseconds.
    pub deadline_ms: u64,
    /// The run of the target that is meant; any other must refuse.
    pub instance: &'a str,
    /// The tenant whose key came with the request.
    pub tenant: Option<&'a Tenant>,
    /// The service beside which the request began.
    pub caller: &'a Service,
}

/// What a target's answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// The target's own answer, good or bad, which the caller gets unchanged.
    Valid,
    /// The target says that it did not run the request.
    NotRun,
    /// Another run of a target has the address; it did not run the request.
    WrongInstance,
    /// An answer that must not be passed on; the request may have run.
    Invalid,
}

/// Headers and answers in the platform's words.
pub trait WireProtocol: Send + Sync {
    /// Reads what a caller says.
    fn parse_caller_metadata(&self, headers: &HeaderMap) -> CallerMetadata;

    /// Tells whether a caller's header must not reach a target as it is.
    fn is_reserved(&self, name: &HeaderName) -> bool;

    /// Adds what a target must be told.
    fn insert_target_metadata(&self, headers: &mut HeaderMap, handover: &TargetMetadata<'_>);

    /// Judges a target's answer to the request with the given id.
    fn classify_response(
        &self,
        request_id: Option<&str>,
        repeatable: bool,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ResponseClass;

    /// Returns the answer that tells a caller of a refusal.
    fn refusal_response(&self, refusal: &Refusal, request_id: Option<&str>) -> Response<ByteBody>;
}

/// Reads the operator's configuration.
pub trait ConfigDecoder: Send + Sync {
    /// Decodes one version.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the bytes.
    fn decode(&self, bytes: &[u8]) -> Result<MeshConfig, ConfigError>;
}
