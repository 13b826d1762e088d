//! Identifiers of rows across all tables.

use fulmartrestle_core::{AvailabilityZone, RouteId, Tenant};
use fulmartrestle_derive::record;

use crate::fleet::{DrainSelector, KeyId, OperatorName, StopId};

/// Identifies an item that plans read or write. Two plans conflict if one writes an item that the other reads or
/// writes.
#[record]
#[derive(Eq, PartialOrd, Ord, Hash)]
#[serde(rename_all = "snake_case")]
pub enum RowKey {
    /// A tenant's row.
    Tenant(Tenant),
    /// A route's row.
    Route(RouteId),
    /// The use of a path prefix. It makes plans conflict that give the same prefix to two routes.
    PathPrefix(String),
    /// A key's row.
    Key(KeyId),
    /// An operator's row.
    Operator(OperatorName),
    /// The condition that at least one operator remains. Each removal writes it, so that two concurrent removals can't
    /// remove the last two operators.
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
