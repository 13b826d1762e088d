//! Errors of creating and validating plans.

use fulmartrestle_core::{AvailabilityZone, RouteId, Tenant};
use quick_error::quick_error;

use crate::fleet::{DrainSelector, KeyId, OperatorName, StopId};

quick_error! {
    /// The reason why a plan can't be created or is not valid.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PlanErrorKind {
        /// The tenant does not exist.
        UnknownTenant(tenant: Tenant) { display("no tenant {tenant}") }
        /// The route does not exist.
        UnknownRoute(route: RouteId) { display("no route {route}") }
        /// The key does not exist.
        UnknownKey(key: KeyId) { display("no key {key}") }
        /// The key has already been withdrawn.
        KeyWithdrawn(key: KeyId) { display("key {key} is already withdrawn") }
        /// The operator does not exist.
        UnknownOperator(name: OperatorName) { display("no operator {name}") }
        /// The last operator can't be removed, since nobody could create plans afterwards.
        LastOperator(name: OperatorName) { display("{name} is the last operator") }
        /// There is no drain with this selector.
        UnknownDrain(targets: DrainSelector) { display("no drain of {targets}") }
        /// The planned stop does not exist.
        UnknownStop(stop: StopId) { display("no stop {stop}") }
        /// The route has no objective.
        UnknownObjective(route: RouteId) { display("no objective of route {route}") }
        /// The zone does not exist.
        UnknownZone(zone: AvailabilityZone) { display("no availability zone {zone}") }
        /// Another route already has this path prefix.
        PathTaken(prefix: String, route: RouteId) { display("path prefix {prefix} is taken by route {route}") }
        /// A value is invalid: field, value and reason.
        Invalid(field: String, value: String, reason: String) {
            display("field `{field}`: {reason}, found `{value}`")
        }
        /// The local time is skipped by a change of the UTC offset: time, time zone, and the times that result from the
        /// offsets before and after the change.
        LocalTimeSkipped(time: String, zone: String, before: String, after: String) {
            display("local time {time} does not exist in {zone}: clocks are set forward past it; with the offset before the change it is {before}, with the offset after the change it is {after}")
        }
        /// The local time occurs twice because of a change of the UTC offset: time, time zone, and both occurrences.
        LocalTimeRepeated(time: String, zone: String, first: String, second: String) {
            display("local time {time} exists twice in {zone}: first {first}, then {second}")
        }
    }
}

impl PlanErrorKind {
    /// Returns an error for an invalid value of a field.
    pub fn invalid(field: &str, value: impl ToString, reason: &str) -> Self {
        Self::Invalid(field.to_owned(), value.to_string(), reason.to_owned())
    }
}

quick_error! {
    /// An error of creating a plan.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PlanError {
        /// An error in one change, with its index in the intent.
        Change(index: usize, kind: PlanErrorKind) {
            display("changes.{index}: {kind}")
            source(kind)
        }
        /// An error that concerns the whole intent or plan.
        Intent(kind: PlanErrorKind) {
            display("{kind}")
            source(kind)
            from()
        }
    }
}
