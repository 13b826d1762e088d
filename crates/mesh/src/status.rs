//! What nodes tell each other about themselves.

use std::net::SocketAddr;

use fulmartrestle_core::{AvailabilityZone, Tenant, Version, VmId};
use fulmartrestle_derive::record;
use fulmartrestle_policy::{DemandReport, RouteArrivals};

use crate::call_messages::GateReport;

/// A node's word about itself, sent to every other node once a second and on change.
#[record]
pub struct Status {
    /// The run of the node.
    pub node: VmId,
    /// Where the node is reached.
    pub address: SocketAddr,
    /// The zone that it is in.
    pub zone: AvailabilityZone,
    /// Its target.
    pub target: GateReport,
    /// What is asked of its target.
    pub demand: Option<DemandReport>,
    /// The requests at its entry.
    pub arrivals: Vec<RouteArrivals>,
    /// Its version of the configuration.
    pub version: Version,
    /// Age of its knowledge that no newer version exists, in milliseconds.
    pub config_age_ms: Option<u64>,
    /// The sender's clock, which comes back in `echo_us`.
    pub stamp_us: u64,
    /// The receiver's latest stamp that the sender has got.
    pub echo_us: Option<u64>,
}

/// A request for tokens of a tenant's rate.
#[record]
pub struct TokenRequest {
    /// The tenant.
    pub tenant: Tenant,
    /// Millionths of tokens wanted.
    pub requested_micro: u64,
}

/// Tokens that the sender has taken out of its own slice.
#[record]
pub struct TokenGrant {
    /// Millionths of tokens.
    pub granted_micro: u64,
}

/// A configuration as the operator wrote it.
#[record]
pub struct ConfigResponse {
    /// The operator's bytes; empty when the sender has none.
    pub bytes: Vec<u8>,
}
