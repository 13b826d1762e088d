//! Admission control at ingress: refuses calls that a service further down the chain would refuse.

mod service_admission;
mod settings;

use fulmartrestle_core::{Class, Reason, Refusal, Service, Tenant, TimeUs, VmId};
use rustc_hash::FxHashMap;

use crate::{AdmissionLevel, AdmissionLevelReport, BasisPoints, TenantHash};

use service_admission::ServiceAdmission;
pub use settings::IngressAdmissionSettings;

/// A call that is offered at ingress.
#[derive(Clone, Copy, Debug)]
pub struct IngressRequest<'a> {
    /// Services that the call's route reaches.
    pub chain: &'a [Service],
    /// Importance of the route.
    pub class: Class,
    /// Tenant that the call is accounted to.
    pub tenant: &'a Tenant,
    /// Weight of the tenant in the fair share.
    pub weight: u32,
}

/// Keeps the admission levels of each service, as received with responses, and refuses calls before any work
/// is done for them. See `docs/ADMISSION.md`.
#[derive(Debug, Default)]
pub struct IngressAdmission {
    settings: IngressAdmissionSettings,
    services: FxHashMap<Service, ServiceAdmission>,
}

impl IngressAdmission {
    /// Returns an admission control without levels, which admits all calls.
    pub fn new(settings: IngressAdmissionSettings) -> Self {
        Self { settings, services: FxHashMap::default() }
    }

    /// Records the level that a target attached to a response or refusal.
    pub fn record_level(&mut self, service: &Service, target: VmId, level: AdmissionLevel, now: TimeUs) {
        self.service_admission(service).record_target_level(target, level, now);
    }

    /// Returns the levels of the services further down a call's chain; they are attached to the response
    /// beside the gate's own level.
    pub fn level_reports(&mut self, chain: &[Service], now: TimeUs) -> Vec<AdmissionLevelReport> {
        let mut reports = Vec::new();
        for service in chain {
            let merged = self.services.get_mut(service).and_then(|service_admission| service_admission.report(now));
            reports.extend(merged.map(|(level, age_ms)| AdmissionLevelReport {
                service: service.clone(),
                level,
                age_ms,
            }));
        }
        reports
    }

    /// Records a report that another node attached to a response.
    pub fn record_level_report(&mut self, reporter: VmId, report: &AdmissionLevelReport, now: TimeUs) {
        let received_at = TimeUs(now.0.saturating_sub(report.age_ms.saturating_mul(1_000)));
        self.service_admission(&report.service).record_report(reporter, report.level, received_at);
    }

    /// Admits or refuses a call; `draw` is a uniformly distributed random number. Returns the admitted
    /// share of such calls, which travels with the call to each gate of its chain.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the call exceeds the lowest share that any service of its chain admits.
    pub fn admit(&mut self, request: IngressRequest<'_>, now: TimeUs, draw: u32) -> Result<BasisPoints, Refusal> {
        let share = self.admitted_share(&request, now);
        let drawn_share = (u64::from(draw) * u64::from(BasisPoints::FULL.0)) >> u32::BITS;
        if drawn_share < u64::from(share.0) {
            return Ok(share);
        }
        Err(Refusal::not_run(Reason::Shed, Some(self.settings.retry_after_ms(share))))
    }

    /// Returns the present admitted share of such calls, the lowest of all services of the chain.
    pub fn admitted_share(&mut self, request: &IngressRequest<'_>, now: TimeUs) -> BasisPoints {
        let tenant = TenantHash::from_tenant(request.tenant);
        let mut lowest = BasisPoints::FULL;
        for service in request.chain {
            if let Some(service_admission) = self.services.get_mut(service) {
                lowest = lowest.min(service_admission.admitted_share(request.class, tenant, now, &self.settings));
            }
        }
        lowest
    }

    fn service_admission(&mut self, service: &Service) -> &mut ServiceAdmission {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), ServiceAdmission::default());
        }
        self.services.entry(service.clone()).or_default()
    }
}
