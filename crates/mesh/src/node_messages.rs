//! Messages that nodes exchange apart from calls: their status, rate tokens and the configuration.

use std::net::SocketAddr;

use fulmartrestle_core::{AvailabilityZone, Tenant, Version, VmId};
use fulmartrestle_derive::record;
use fulmartrestle_policy::{DemandReport, RouteArrivals};
use fulmartrestle_quota::IssuerTable;

use crate::call_messages::GateReport;

/// Status of a node, sent to every other node once a second and on significant changes.
#[record]
pub struct NodeStatus {
    /// ID of the sender's run.
    pub node: VmId,
    /// Peer address of the sender.
    pub address: SocketAddr,
    /// Availability zone of the sender.
    pub zone: AvailabilityZone,
    /// State of the sender's target.
    pub target: GateReport,
    /// Demand for the sender's target.
    pub demand: Option<DemandReport>,
    /// Requests that arrived at the sender.
    pub arrivals: Vec<RouteArrivals>,
    /// The sender's version of the configuration.
    pub version: Version,
    /// Time since the sender's version was confirmed to be the newest, in milliseconds.
    pub config_age_ms: Option<u64>,
    /// Whether the sender's last call to the store succeeded.
    pub reaches_store: bool,
    /// The sender's clock in microseconds, which the receiver returns in `echo_us`.
    pub stamp_us: u64,
    /// The latest stamp that the sender has received from the receiver.
    pub echo_us: Option<u64>,
    /// The nodes to which the sender leases its right to issue tokens, itself included.
    pub issuers: IssuerTable,
    /// Whether the sender stops, so that nothing should be leased to it.
    pub leaving: bool,
}

/// Request for tokens of a tenant's rate.
#[record]
pub enum TokenRequest {
    /// A node needs a token for a request.
    Issue {
        /// The tenant whose token is requested.
        tenant: Tenant,
        /// Tokens requested beyond the one that is needed.
        ahead: u32,
    },
    /// An issuer needs a part of a token, or has room for more.
    Yield {
        /// The tenant whose tokens are requested.
        tenant: Tenant,
        /// Millionths of tokens that are needed.
        missing_micro: u64,
        /// Millionths of tokens for which the sender has room.
        room_micro: u64,
    },
}

/// Tokens that the sender has taken out of its own stock.
#[record]
pub struct TokenGrant {
    /// Millionths of tokens granted.
    pub granted_micro: u64,
    /// Time until the caller should return if the tokens do not suffice, in milliseconds.
    pub retry_after_ms: u64,
}

/// Response to a request for the configuration.
#[record]
pub struct ConfigResponse {
    /// The bytes as the operator wrote them; empty if the sender has no configuration.
    pub bytes: Vec<u8>,
}
