//! Interfaces that a platform implements: its wire protocol, its store layout and its configuration format.

use fulmartrestle_core::{Refusal, Service, Tenant};
use fulmartrestle_derive::value;
use fulmartrestle_platform_log::StreamName;
use fulmartrestle_policy::{LoadMetrics, TargetNotices};
use fulmartrestle_transport::ByteBody;
use http::{HeaderMap, HeaderName, Response, StatusCode};
use quick_error::quick_error;

use crate::{ApiKey, MeshConfig};

quick_error! {
    /// Why a document of the platform was rejected.
    #[derive(Debug)]
    pub enum ConfigError {
        /// The document does not parse or holds an invalid value. The text names the position and the value.
        Invalid(detail: String) {
            display("invalid configuration: {}", detail)
        }
    }
}

/// Streams and keys that a node uses on the platform's store.
#[derive(Clone, Debug)]
pub struct StoreLayout {
    /// Stream that the operator writes.
    pub operator_stream: StreamName,
    /// Key of the configuration in the operator's stream.
    pub config_key: String,
    /// Stream that holds the peer addresses of the nodes.
    pub nodes_stream: StreamName,
    /// Prefix of the keys in the operator's stream that evacuate a zone; the zone's name follows.
    pub evacuation_key_prefix: String,
}

/// Metadata that a caller sends in the headers of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerMetadata {
    /// The request's ID. A caller uses a new one for each of its attempts.
    pub request_id: Option<String>,
    /// How long the caller waits for the response, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The API key, if the caller sent one.
    pub key: Option<ApiKey>,
}

/// Metadata that a node sends to a target with a request.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetMetadata<'a> {
    /// Time that the target has for the request, in milliseconds.
    pub deadline_ms: u64,
    /// The target instance that must run the request. Any other instance must refuse it.
    pub instance: &'a str,
    /// The tenant that the request's key belongs to.
    pub tenant: Option<&'a Tenant>,
    /// The service of the node that received the request from its caller.
    pub caller: &'a Service,
}

/// What the response of a target says about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// A response of the target, successful or not, that is forwarded to the caller unchanged.
    Valid,
    /// The target reports that it did not run the request.
    NotRun,
    /// A different target instance listens on the address. It did not run the request.
    WrongInstance,
    /// A response that must not be forwarded. The request may have run.
    Invalid,
}

/// What a target says about itself in a health check.
#[value]
pub enum HealthStatus {
    /// It accepts requests and does not leave.
    Serving,
    /// It leaves, does not consider itself healthy, or another instance has answered.
    NotServing,
    /// The response says nothing about the instance.
    Unknown,
}

impl std::fmt::Display for HealthStatus {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Serving => "serving",
            Self::NotServing => "not serving",
            Self::Unknown => "unknown",
        })
    }
}

/// Headers and status codes of a platform's wire protocol.
pub trait WireProtocol: Send + Sync {
    /// Parses the metadata of a caller's request. A value that does not parse counts as absent.
    fn parse_caller_metadata(&self, headers: &HeaderMap) -> CallerMetadata;

    /// Returns whether a header of the caller must not be forwarded to a target.
    fn is_reserved(&self, name: &HeaderName) -> bool;

    /// Adds the headers that a target needs with a request.
    fn insert_target_metadata(&self, headers: &mut HeaderMap, metadata: &TargetMetadata<'_>);

    /// Classifies a target's response to the request with the ID `request_id`. `repeatable` is whether the
    /// request may run more than once.
    fn classify_response(
        &self,
        request_id: Option<&str>,
        repeatable: bool,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ResponseClass;

    /// Returns whether a target's response names the request that it belongs to.
    fn bears_request_id(&self, headers: &HeaderMap) -> bool;

    /// Parses what the response of a target says about the target itself.
    ///
    /// # Errors
    ///
    /// Returns a text with the name and the value of a header that cannot be read.
    fn parse_target_notices(&self, headers: &HeaderMap) -> Result<TargetNotices, String>;

    /// Parses what the response of a target says about the load of the target; `None` if it says nothing.
    ///
    /// # Errors
    ///
    /// Returns a text with the name and the value of a header that cannot be read.
    fn parse_load_metrics(&self, headers: &HeaderMap) -> Result<Option<LoadMetrics>, String>;

    /// Returns what the response to a health check says about the instance `instance`.
    fn health_status(&self, instance: &str, status: StatusCode, headers: &HeaderMap) -> HealthStatus;

    /// Returns the response that reports a refusal to a caller.
    fn refusal_response(&self, refusal: &Refusal, request_id: Option<&str>) -> Response<ByteBody>;
}

/// One version of the configuration, and what could not be read in it.
#[derive(Debug)]
pub struct DecodedConfig {
    /// The configuration. Items that cannot be used are left out.
    pub config: MeshConfig,
    /// One text for each value that could not be read or is not known, with the name of its item.
    pub warnings: Vec<String>,
}

/// Decodes the operator's configuration.
pub trait ConfigDecoder: Send + Sync {
    /// Decodes one version of the configuration. A value that this version of the program does not know affects
    /// only the item that contains it.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::Invalid`] if `bytes` as a whole cannot be read.
    fn decode(&self, bytes: &[u8]) -> Result<DecodedConfig, ConfigError>;
}
