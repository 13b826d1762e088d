//! Applies the triggers of a scenario to a running fleet.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;

use crate::DemoError;
use crate::deployment::Deployment;
use crate::events::Events;
use crate::fleet::{Fleet, Surroundings};
use crate::phase::{Phase, Trigger};

/// Everything that triggers act on.
pub(crate) struct Stage {
    pub(crate) deployment: Arc<Deployment>,
    pub(crate) fleet: Arc<dyn Fleet>,
    pub(crate) surroundings: Surroundings,
    pub(crate) started: Instant,
    pub(crate) run_us: u64,
}

impl Stage {
    /// Begins and ends each trigger at its time.
    pub(crate) async fn play(&self, phases: &[Phase]) -> Result<Events, DemoError> {
        let all = join_all(phases.iter().map(|phase| self.play_one(phase))).await;
        let mut events = Events::default();
        for one in all {
            let one = one?;
            events.key_withdrawn_us = events.key_withdrawn_us.or(one.key_withdrawn_us);
            events.cut_off_by_stop += one.cut_off_by_stop;
        }
        Ok(events)
    }

    async fn play_one(&self, phase: &Phase) -> Result<Events, DemoError> {
        let mut events = Events::default();
        self.sleep_until(phase.begin_us(self.run_us)).await;
        self.begin(phase.trigger, &mut events).await?;
        self.sleep_until(phase.end_us(self.run_us)).await;
        self.end(phase.trigger, &mut events).await;
        Ok(events)
    }

    async fn sleep_until(&self, at_us: u64) {
        let at = self.started + Duration::from_micros(at_us);
        tokio::time::sleep_until(at.into()).await;
    }

    async fn begin(&self, trigger: Trigger, events: &mut Events) -> Result<(), DemoError> {
        match trigger {
            Trigger::SlowService { factor } => self.set_slow_factor(factor),
            Trigger::LogDown => self.surroundings.log.change_faults(|faults| faults.down = true),
            Trigger::ZoneCut => self.surroundings.cuts.cut(&self.cut_zone().zone),
            Trigger::KeyWithdrawn => {
                self.fleet.withdraw_key(self.deployment.withdrawn_tenant).await?;
                events.key_withdrawn_us = Some(self.started.elapsed().as_micros() as u64);
            }
            Trigger::TargetLeaves => {
                let target = &self.fleet.targets()[self.leaving_place()];
                target.change_behaviour(|behaviour| behaviour.draining = true);
            }
            // These change the load alone.
            Trigger::Surge { .. } | Trigger::NoisyTenant { .. } | Trigger::PeakShift => {}
        }
        Ok(())
    }

    async fn end(&self, trigger: Trigger, events: &mut Events) {
        match trigger {
            Trigger::SlowService { .. } => self.set_slow_factor(1.0),
            Trigger::LogDown => self.surroundings.log.change_faults(|faults| faults.down = false),
            Trigger::ZoneCut => self.surroundings.cuts.heal(&self.cut_zone().zone),
            Trigger::TargetLeaves => {
                let place = self.leaving_place();
                self.fleet.stop_node(place).await;
                let target = &self.fleet.targets()[place];
                let stats = target.stats();
                events.cut_off_by_stop = stats.running + stats.queued;
                target.stop();
            }
            Trigger::KeyWithdrawn | Trigger::Surge { .. } | Trigger::NoisyTenant { .. } | Trigger::PeakShift => {}
        }
    }

    fn set_slow_factor(&self, factor: f64) {
        for target in self.fleet.targets().iter().filter(|target| target.settings().service == self.deployment.deepest)
        {
            target.change_behaviour(|behaviour| behaviour.slow_factor = factor);
        }
    }

    /// The last zone is cut off: a smaller one, with targets of all services.
    fn cut_zone(&self) -> &crate::deployment::ZoneSpec {
        &self.deployment.zones[self.deployment.zones.len() - 1]
    }

    /// The last target of the service above the deepest leaves.
    fn leaving_place(&self) -> usize {
        let targets = self.fleet.targets();
        let leaving = &self.deployment.services[1].service;
        targets.iter().rposition(|target| target.settings().service == *leaving).unwrap_or(0)
    }
}
