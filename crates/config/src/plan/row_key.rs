//! The identity of a row across all tables.

use fulmartrestle_core::{AvailabilityZone, RouteId, Tenant};
use fulmartrestle_derive::record;

use crate::fleet::{DrainSelector, KeyId, OperatorName, StopId};

/// Names one thing that plans read or write. Two plans conflict when one writes what the other
/// reads or writes.
#[record]
#[derive(Eq, PartialOrd, Ord, Hash)]
#[serde(rename_all = "snake_case")]
pub enum RowKey {
    /// A tenant's row.
    Tenant(Tenant),
    /// A route's row.
    Route(RouteId),
    /// The right to a path prefix, so that two routes never share one.
    PathPrefix(String),
    /// A key's row.
    Key(KeyId),
    /// An operator's row.
    Operator(OperatorName),
    /// The fact that operators remain; each removal writes it, so that two racing removals can't
    /// take the last two.
    OperatorsRemain,
    /// A drain's row.
    Drain(DrainSelector),
    /// A planned stop's row.
    Stop(StopId),
    /// An objective's row.
    Objective(RouteId),
    /// A zone's row.
    Zone(AvailabilityZone),
}

impl std::fmt::Display for RowKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Tenant(tenant) => write!(formatter, "tenant {tenant}"),
            Self::Route(route) => write!(formatter, "route {route}"),
            Self::PathPrefix(prefix) => write!(formatter, "path prefix {prefix}"),
            Self::Key(key) => write!(formatter, "key {key}"),
            Self::Operator(name) => write!(formatter, "operator {name}"),
            Self::OperatorsRemain => formatter.write_str("the last operator"),
            Self::Drain(targets) => write!(formatter, "drain of {targets}"),
            Self::Stop(stop) => write!(formatter, "stop {stop}"),
            Self::Objective(route) => write!(formatter, "objective of route {route}"),
            Self::Zone(zone) => write!(formatter, "availability zone {zone}"),
        }
    }
}
