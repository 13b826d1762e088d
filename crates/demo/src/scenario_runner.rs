//! Applies the phases of a scenario to a running fleet.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;

use crate::DemoError;
use crate::deployment::Deployment;
use crate::fleet::{Fleet, Infrastructure};
use crate::phase::{Phase, Trigger};
use crate::scenario_events::ScenarioEvents;

/// Applies triggers to a fleet and its infrastructure.
pub(crate) struct ScenarioRunner {
    pub(crate) deployment: Arc<Deployment>,
    pub(crate) fleet: Arc<dyn Fleet>,
    pub(crate) infrastructure: Infrastructure,
    pub(crate) started: Instant,
    pub(crate) run_us: u64,
}

impl ScenarioRunner {
    /// Begins and ends the trigger of each phase at its time and returns the recorded events.
    pub(crate) async fn run(&self, phases: &[Phase]) -> Result<ScenarioEvents, DemoError> {
        let results = join_all(phases.iter().map(|phase| self.run_phase(phase))).await;
        let mut events = ScenarioEvents::default();
        for phase_events in results {
            let phase_events = phase_events?;
            events.key_withdrawn_us = events.key_withdrawn_us.or(phase_events.key_withdrawn_us);
            events.interrupted_by_stop += phase_events.interrupted_by_stop;
        }
        Ok(events)
    }

    async fn run_phase(&self, phase: &Phase) -> Result<ScenarioEvents, DemoError> {
        let mut events = ScenarioEvents::default();
        self.sleep_until(phase.begin_us(self.run_us)).await;
        self.begin_trigger(phase.trigger, &mut events).await?;
        self.sleep_until(phase.end_us(self.run_us)).await;
        self.end_trigger(phase.trigger, &mut events).await;
        Ok(events)
    }

    async fn sleep_until(&self, at_us: u64) {
        let deadline = self.started + Duration::from_micros(at_us);
        tokio::time::sleep_until(deadline.into()).await;
    }

    async fn begin_trigger(&self, trigger: Trigger, events: &mut ScenarioEvents) -> Result<(), DemoError> {
        match trigger {
            Trigger::SlowService { factor } => self.set_slow_factor(factor),
            Trigger::LogOutage => self.infrastructure.log.change_faults(|faults| faults.down = true),
            Trigger::ZoneCut => self.infrastructure.partitions.isolate(&self.isolated_zone().zone),
            Trigger::KeyWithdrawn => {
                self.fleet.withdraw_key(self.deployment.withdrawn_tenant).await?;
                events.key_withdrawn_us = Some(self.started.elapsed().as_micros() as u64);
            }
            Trigger::TargetLeaves => {
                let target = &self.fleet.targets()[self.leaving_target_index()];
                target.change_behaviour(|behaviour| behaviour.draining = true);
            }
            // These triggers only change the load.
            Trigger::Surge { .. } | Trigger::NoisyTenant { .. } | Trigger::PeakShift => {}
        }
        Ok(())
    }

    async fn end_trigger(&self, trigger: Trigger, events: &mut ScenarioEvents) {
        match trigger {
            Trigger::SlowService { .. } => self.set_slow_factor(1.0),
            Trigger::LogOutage => self.infrastructure.log.change_faults(|faults| faults.down = false),
            Trigger::ZoneCut => self.infrastructure.partitions.heal(&self.isolated_zone().zone),
            Trigger::TargetLeaves => {
                let index = self.leaving_target_index();
                self.fleet.stop_node(index).await;
                let target = &self.fleet.targets()[index];
                let stats = target.stats();
                events.interrupted_by_stop = stats.running + stats.queued;
                target.stop();
            }
            Trigger::KeyWithdrawn | Trigger::Surge { .. } | Trigger::NoisyTenant { .. } | Trigger::PeakShift => {}
        }
    }

    fn set_slow_factor(&self, factor: f64) {
        for target in
            self.fleet.targets().iter().filter(|target| target.settings().service == self.deployment.leaf_service)
        {
            target.change_behaviour(|behaviour| behaviour.slow_factor = factor);
        }
    }

    /// Returns the zone to isolate. It is the last zone, which has the fewest clients but targets of all
    /// services.
    fn isolated_zone(&self) -> &crate::deployment::ZoneSpec {
        &self.deployment.zones[self.deployment.zones.len() - 1]
    }

    /// Returns the index of the target that leaves, which is the last target of the service that calls the
    /// leaf service.
    fn leaving_target_index(&self) -> usize {
        let targets = self.fleet.targets();
        let leaving = &self.deployment.services[1].service;
        targets.iter().rposition(|target| target.settings().service == *leaving).unwrap_or(0)
    }
}
