//! Why no plan can be made of an intent.

use fulmartrestle_core::{AvailabilityZone, RouteId, Tenant};
use quick_error::quick_error;

use crate::fleet::{DrainSelector, KeyId, OperatorName, StopId};

quick_error! {
    /// What is wrong with one wanted change.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PlanFault {
        /// The tenant is not configured.
        UnknownTenant(tenant: Tenant) { display("no tenant {tenant}") }
        /// The route is not configured.
        UnknownRoute(route: RouteId) { display("no route {route}") }
        /// The key is not configured.
        UnknownKey(key: KeyId) { display("no key {key}") }
        /// The key is withdrawn already.
        KeyWithdrawn(key: KeyId) { display("key {key} is withdrawn already") }
        /// The operator is not configured.
        UnknownOperator(name: OperatorName) { display("no operator {name}") }
        /// Without this operator nobody could make plans.
        LastOperator(name: OperatorName) { display("{name} is the last operator") }
        /// These targets are not draining.
        UnknownDrain(targets: DrainSelector) { display("no drain of {targets}") }
        /// The stop is not planned.
        UnknownStop(stop: StopId) { display("no stop {stop}") }
        /// The route has no objective.
        UnknownObjective(route: RouteId) { display("no objective of route {route}") }
        /// The zone is not configured.
        UnknownZone(zone: AvailabilityZone) { display("no availability zone {zone}") }
        /// Another route has this path prefix.
        PathTaken(prefix: String, route: RouteId) { display("path prefix {prefix} is taken by route {route}") }
        /// A value can't work: field, value, reason.
        Invalid(field: String, value: String, reason: String) {
            display("field `{field}`: {reason}, found `{value}`")
        }
        /// A change of the zone's offset skips the local time: time, zone and both readings.
        LocalTimeSkipped(time: String, zone: String, before: String, after: String) {
            display("local time {time} does not exist in {zone}: clocks go forward over it; by the offset before it is {before}, by the offset after it is {after}")
        }
        /// A change of the zone's offset repeats the local time: time, zone and both readings.
        LocalTimeRepeated(time: String, zone: String, first: String, second: String) {
            display("local time {time} exists twice in {zone}: first {first}, then {second}")
        }
    }
}

impl PlanFault {
    /// Reports a value that can't work.
    pub fn invalid(field: &str, value: impl ToString, reason: &str) -> Self {
        Self::Invalid(field.to_owned(), value.to_string(), reason.to_owned())
    }
}

quick_error! {
    /// Why no plan can be made.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PlanError {
        /// One change is at fault: its index in the intent, and what is wrong with it.
        Change(index: usize, fault: PlanFault) {
            display("changes.{index}: {fault}")
            source(fault)
        }
        /// The intent as a whole is at fault.
        Intent(fault: PlanFault) {
            display("{fault}")
            source(fault)
            from()
        }
    }
}
