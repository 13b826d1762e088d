//! Settings of a stand-in target.

use std::net::SocketAddr;

use fulmartrestle_core::Service;
use fulmartrestle_derive::{record, value};

use crate::{ChildCall, ServiceTime, TargetBehaviour};

/// The protocol that a target announces. It serves both protocols on one port.
#[value]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// HTTP/1.1.
    Http1,
    /// HTTP/2 without TLS, with prior knowledge.
    H2c,
}

/// Settings of one stand-in target.
#[record]
#[serde(deny_unknown_fields)]
pub struct StandinSettings {
    /// The service that the target offers.
    pub service: Service,
    /// The protocol that the target announces; HTTP/1.1 by default.
    #[serde(default = "default_protocol")]
    pub protocol: Protocol,
    /// Requests that run at the same time; 4 by default. Further requests wait in the target.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Maximum number of open connections; 300 by default. Further ones are closed at once.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Time after a start during which the target is slower, in milliseconds; 0 by default.
    #[serde(default)]
    pub warm_up_ms: u64,
    /// Factor on the service time right after a start; it falls linearly to 1 over the warm-up. 4 by default.
    #[serde(default = "default_cold_factor")]
    pub cold_factor: f64,
    /// Service time of a request, without its calls to other services.
    #[serde(default)]
    pub service_time: ServiceTime,
    /// Padding of each response, in bytes; 64 by default.
    #[serde(default = "default_answer_bytes")]
    pub answer_bytes: usize,
    /// Calls to other services that each request makes, one after the other.
    #[serde(default)]
    pub children: Vec<ChildCall>,
    /// Timeout of each of these calls, in milliseconds; 10,000 by default.
    #[serde(default = "default_child_timeout_ms")]
    pub child_timeout_ms: u64,
    /// Address at which the target's own node accepts calls. Without it, calls to other services fail.
    #[serde(default)]
    pub node_caller: Option<SocketAddr>,
    /// Address at which the target's own node accepts announcements. Without it, none are sent.
    #[serde(default)]
    pub node_admin: Option<SocketAddr>,
    /// Substrings that occur only in callers' API keys. A header or URL with one of them counts as a key seen.
    #[serde(default)]
    pub key_markers: Vec<String>,
    /// Seed of the random service times; 0 by default.
    #[serde(default)]
    pub seed: u64,
    /// Initial behaviour; without faults by default.
    #[serde(default)]
    pub behaviour: TargetBehaviour,
}

impl StandinSettings {
    /// Returns the default settings of a target that offers `service`.
    pub fn new(service: Service) -> Self {
        Self {
            service,
            protocol: default_protocol(),
            slots: default_slots(),
            connections: default_connections(),
            warm_up_ms: 0,
            cold_factor: default_cold_factor(),
            service_time: ServiceTime::default(),
            answer_bytes: default_answer_bytes(),
            children: Vec::new(),
            child_timeout_ms: default_child_timeout_ms(),
            node_caller: None,
            node_admin: None,
            key_markers: Vec::new(),
            seed: 0,
            behaviour: TargetBehaviour::default(),
        }
    }
}

const fn default_protocol() -> Protocol {
    Protocol::Http1
}

const fn default_slots() -> u32 {
    4
}

const fn default_connections() -> u32 {
    300
}

const fn default_cold_factor() -> f64 {
    4.0
}

const fn default_answer_bytes() -> usize {
    64
}

const fn default_child_timeout_ms() -> u64 {
    10_000
}
