//! What happened in one step of time.

use std::collections::BTreeMap;

use fulmartrestle_derive::record;

use crate::Losses;

/// Mean use of the targets of a service.
#[record]
#[derive(Default, Eq)]
pub struct ServiceUse {
    /// Running calls, in thousandths.
    pub running_milli: u64,
    /// Waiting calls, in thousandths.
    pub waiting_milli: u64,
    /// Calls that may run concurrently, in thousandths.
    pub limit_milli: u64,
}

impl ServiceUse {
    /// Returns the calls that run or wait as a share of the slots.
    pub fn load(&self) -> f64 {
        (self.running_milli + self.waiting_milli) as f64 / self.limit_milli.max(1) as f64
    }
}

/// Outcomes and use of the services in one step of time.
#[record]
#[derive(Default, Eq)]
pub struct TimeStep {
    /// Start of the step, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Requests of callers by route.
    pub routes: BTreeMap<String, Losses>,
    /// Requests of callers by zone.
    pub zones: BTreeMap<String, Losses>,
    /// Calls that targets made, by route.
    pub calls: BTreeMap<String, Losses>,
    /// Use of the targets by service.
    pub services: BTreeMap<String, ServiceUse>,
}

impl TimeStep {
    /// Returns the outcomes of all requests of callers.
    pub fn total(&self) -> Losses {
        let mut total = Losses::default();
        self.zones.values().for_each(|losses| total.add(losses));
        total
    }

    /// Returns the service with the highest load.
    pub fn busiest_service(&self) -> Option<(&str, &ServiceUse)> {
        let services = self.services.iter().map(|(service, service_use)| (service.as_str(), service_use));
        services.max_by(|(_, left), (_, right)| left.load().total_cmp(&right.load()))
    }
}
