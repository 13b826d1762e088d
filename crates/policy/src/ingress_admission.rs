//! Refusals at the entry of what a service further down the chain would refuse.

mod service_level;
mod settings;

use std::collections::HashMap;

use fulmartrestle_core::{Class, Reason, Refusal, Service, Tenant, TimeUs, VmId};

use crate::{AdmissionLevel, AdmissionLevelReport, BasisPoints, TenantHash};

use service_level::ServiceLevel;
pub use settings::IngressAdmissionSettings;

/// A call that asks to be let in.
#[derive(Clone, Copy, Debug)]
pub struct IngressRequest<'a> {
    /// The services that the call's route reaches.
    pub chain: &'a [Service],
    /// How important the route is.
    pub class: Class,
    /// Whose call it is.
    pub tenant: &'a Tenant,
    /// The tenant's weight in the fair share.
    pub weight: u32,
}

/// Holds what the gates of each service admit, as heard on answers, and refuses calls before any
/// work is done for them. See `docs/ADMISSION.md`.
#[derive(Debug, Default)]
pub struct IngressAdmission {
    settings: IngressAdmissionSettings,
    services: HashMap<Service, ServiceLevel>,
}

impl IngressAdmission {
    /// Returns a door that has heard of no overload.
    pub fn new(settings: IngressAdmissionSettings) -> Self {
        Self { settings, services: HashMap::new() }
    }

    /// Takes the level that rode on an answer or refusal of a target.
    pub fn record_level(&mut self, service: &Service, target: VmId, level: AdmissionLevel, now: TimeUs) {
        self.row(service).observe(target, level, now);
    }

    /// Returns what callers should hear of the services further down a call's chain; it rides on the
    /// answer beside the gate's own level.
    pub fn level_reports(&mut self, chain: &[Service], now: TimeUs) -> Vec<AdmissionLevelReport> {
        let mut reports = Vec::new();
        for service in chain {
            let known = self.services.get_mut(service).and_then(|row| row.report(now));
            reports.extend(known.map(|(level, age_ms)| AdmissionLevelReport {
                service: service.clone(),
                level,
                age_ms,
            }));
        }
        reports
    }

    /// Takes a report that rode on an answer of another node.
    pub fn record_level_report(&mut self, reporter: VmId, report: &AdmissionLevelReport, now: TimeUs) {
        let heard = TimeUs(now.0.saturating_sub(report.age_ms.saturating_mul(1_000)));
        self.row(&report.service).observe_report(reporter, report.level, heard);
    }

    /// Decides about a call; `draw` is a uniformly random number. Returns the share of such calls that
    /// is let in, which travels with the call to each gate of its chain.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the service of the chain that admits least would refuse the call.
    pub fn admit(&mut self, check: IngressRequest<'_>, now: TimeUs, draw: u32) -> Result<BasisPoints, Refusal> {
        let share = self.admitted_share(&check, now);
        let drawn = (u64::from(draw) * u64::from(BasisPoints::FULL.0)) >> u32::BITS;
        if drawn < u64::from(share.0) {
            return Ok(share);
        }
        Err(Refusal::not_run(Reason::Shed, Some(self.settings.retry_after_ms(share))))
    }

    /// Returns the share of such calls that is let in at present.
    pub fn admitted_share(&mut self, check: &IngressRequest<'_>, now: TimeUs) -> BasisPoints {
        let tenant = TenantHash::from_tenant(check.tenant);
        let mut least = BasisPoints::FULL;
        for service in check.chain {
            if let Some(row) = self.services.get_mut(service) {
                least = least.min(row.share(check.class, tenant, now, &self.settings));
            }
        }
        least
    }

    fn row(&mut self, service: &Service) -> &mut ServiceLevel {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), ServiceLevel::default());
        }
        self.services.entry(service.clone()).or_default()
    }
}
