//! What the operator knows of a deployment: the capacity of its services and the work of its routes.

use std::collections::BTreeMap;
use std::fmt::Display;

use fulmartrestle_config::jsonc::parse_document;
use fulmartrestle_derive::record;

use super::BoundError;

const FULL_SHARE: f64 = 1.0;

/// Capacity of the services and work of the routes, under the names of the logs. Read from JSON with comments.
#[record]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Capacity by service.
    pub services: BTreeMap<String, ServiceCapacity>,
    /// Work by route.
    pub routes: BTreeMap<String, RouteWork>,
    /// Times at which a service had less capacity.
    #[serde(default)]
    pub outages: Vec<Outage>,
}

/// Capacity of a service.
#[record]
#[serde(deny_unknown_fields)]
pub struct ServiceCapacity {
    /// Number of targets.
    pub targets: u32,
    /// Slots of each target.
    pub slots: u32,
    /// Work that a slot does in a second, in seconds of `work_ms`: the mean over the targets.
    #[serde(default = "full_share")]
    pub speed: f64,
}

/// What one request of a route needs and earns.
#[record]
#[serde(deny_unknown_fields)]
pub struct RouteWork {
    /// Urgency; 0 is served first.
    pub priority: u8,
    /// Credit of a request that is answered within its latency objective.
    pub credit: f64,
    /// Credit of a request that is answered later.
    #[serde(default)]
    pub late_credit: f64,
    /// Slot time by service of one request with all its calls, in milliseconds.
    pub work_ms: BTreeMap<String, f64>,
}

/// A time at which a service had less capacity.
#[record]
#[serde(deny_unknown_fields)]
pub struct Outage {
    /// The service.
    pub service: String,
    /// Start, in seconds after the first step of the timeline.
    pub from_s: u64,
    /// End, in seconds after the first step of the timeline.
    pub to_s: u64,
    /// Share of the capacity that was left, from 0 to 1.
    pub capacity_share: f64,
}

impl Deployment {
    /// Reads a deployment file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, the field and the value if the text is not JSON with comments, if a field is
    /// unknown or missing, or if a value is out of range.
    pub fn parse(file: &str, text: &str) -> Result<Self, BoundError> {
        let deployment: Self = parse_document(file, text).map_err(|error| BoundError::Document(error.to_string()))?;
        deployment.check(file)?;
        Ok(deployment)
    }

    fn check(&self, file: &str) -> Result<(), BoundError> {
        let check = |field: String, value: &dyn Display, is_valid: bool, expected: &'static str| match is_valid {
            true => Ok(()),
            false => Err(BoundError::Value(file.to_owned(), field, value.to_string(), expected)),
        };
        for (name, service) in &self.services {
            check(format!("services.{name}.speed"), &service.speed, service.speed > 0.0, "a number above 0")?;
        }
        for (name, route) in &self.routes {
            for (field, credit) in [("credit", route.credit), ("late_credit", route.late_credit)] {
                check(format!("routes.{name}.{field}"), &credit, credit >= 0.0, "0 or more")?;
            }
            for (service, work_ms) in &route.work_ms {
                let field = format!("routes.{name}.work_ms.{service}");
                check(field.clone(), work_ms, *work_ms >= 0.0, "0 or more")?;
                check(field, work_ms, self.services.contains_key(service), "a service of this file")?;
            }
        }
        for (index, outage) in self.outages.iter().enumerate() {
            let field = |name: &str| format!("outages[{index}].{name}");
            let share = outage.capacity_share;
            check(field("capacity_share"), &share, (0.0..=FULL_SHARE).contains(&share), "0 to 1")?;
            let is_known = self.services.contains_key(&outage.service);
            check(field("service"), &outage.service, is_known, "a service of this file")?;
            check(field("to_s"), &outage.to_s, outage.to_s > outage.from_s, "a time after from_s")?;
        }
        Ok(())
    }

    /// Returns the work that a service can do in one second that begins `at_s` after the first step, in seconds.
    pub fn capacity_s(&self, service: &str, at_s: u64) -> f64 {
        let Some(capacity) = self.services.get(service) else { return 0.0 };
        let outages = self.outages.iter().filter(|outage| outage.service == service);
        let lowest = outages
            .filter(|outage| (outage.from_s..outage.to_s).contains(&at_s))
            .map(|outage| outage.capacity_share)
            .fold(FULL_SHARE, f64::min);
        f64::from(capacity.targets) * f64::from(capacity.slots) * capacity.speed * lowest
    }
}

const fn full_share() -> f64 {
    FULL_SHARE
}
