//! State shared by the tasks of a target.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fulmartrestle_core::lock;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::{Notify, Semaphore, watch};

use crate::recorder::Recorder;
use crate::silenced_connections::SilencedConnections;
use crate::{ChildCaller, StandinSettings, TargetBehaviour, TargetStats};

/// State of the simulated process of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessState {
    /// The target serves requests. The number grows with each restart, so that a restart is a change of state.
    Up(u64),
    /// The target crashed and may be restarted.
    Crashed,
    /// The target was stopped for good.
    Stopped,
}

/// State shared by the accept loop, the connections and the announcer of a target.
pub(crate) struct SharedState {
    pub(crate) settings: StandinSettings,
    pub(crate) child_caller: Option<Arc<dyn ChildCaller>>,
    pub(crate) slots: Semaphore,
    pub(crate) silenced: Arc<SilencedConnections>,
    pub(crate) running: AtomicU64,
    pub(crate) queued: AtomicU64,
    pub(crate) process_state: watch::Sender<ProcessState>,
    pub(crate) announce_now: Notify,
    behaviour: Mutex<TargetBehaviour>,
    recorder: Mutex<Recorder>,
    random: Mutex<ChaCha8Rng>,
    /// When the current run started, and the same in milliseconds since the Unix epoch.
    started_at: Mutex<(Instant, i64)>,
}

impl SharedState {
    pub(crate) fn new(settings: StandinSettings, child_caller: Option<Arc<dyn ChildCaller>>) -> Self {
        Self {
            slots: Semaphore::new(settings.slots as usize),
            silenced: Arc::default(),
            running: AtomicU64::new(0),
            queued: AtomicU64::new(0),
            process_state: watch::Sender::new(ProcessState::Up(0)),
            announce_now: Notify::new(),
            behaviour: Mutex::new(settings.behaviour.clone()),
            recorder: Mutex::default(),
            random: Mutex::new(ChaCha8Rng::seed_from_u64(settings.seed)),
            started_at: Mutex::new((Instant::now(), unix_now_ms())),
            child_caller,
            settings,
        }
    }

    pub(crate) fn behaviour(&self) -> TargetBehaviour {
        lock(&self.behaviour).clone()
    }

    /// Changes the behaviour and announces the change at once.
    pub(crate) fn change_behaviour(&self, change: impl FnOnce(&mut TargetBehaviour)) {
        let mut behaviour = lock(&self.behaviour);
        change(&mut behaviour);
        let draining = behaviour.draining;
        drop(behaviour);
        self.recorder().set_leaving(draining, Instant::now());
        self.announce_now.notify_one();
    }

    pub(crate) fn recorder(&self) -> MutexGuard<'_, Recorder> {
        lock(&self.recorder)
    }

    /// Returns the counters, including the requests that run and wait at present.
    pub(crate) fn stats(&self) -> TargetStats {
        let running = self.running.load(Ordering::Relaxed);
        let queued = self.queued.load(Ordering::Relaxed);
        TargetStats { running, queued, ..self.recorder().stats() }
    }

    /// Samples the service time of a request under the current behaviour and warm-up.
    pub(crate) fn sample_service_time(&self) -> Duration {
        let factor = self.behaviour().slow_factor * self.cold_factor();
        self.settings.service_time.sample(factor, &mut *lock(&self.random))
    }

    /// Returns the factor on the service time due to the warm-up; it falls linearly to 1.
    fn cold_factor(&self) -> f64 {
        let uptime_ms = lock(&self.started_at).0.elapsed().as_millis() as f64;
        let warm_up_ms = self.settings.warm_up_ms as f64;
        if uptime_ms >= warm_up_ms {
            return 1.0;
        }
        let remaining_share = 1.0 - uptime_ms / warm_up_ms;
        1.0 + (self.settings.cold_factor - 1.0) * remaining_share
    }

    /// Returns the start of the current run, in milliseconds since the Unix epoch.
    pub(crate) fn started_unix_ms(&self) -> i64 {
        lock(&self.started_at).1
    }

    /// Resets the uptime, which begins a warm-up.
    pub(crate) fn reset_uptime(&self) {
        *lock(&self.started_at) = (Instant::now(), unix_now_ms());
    }

    /// Returns the number of running and waiting requests per slot; above 1 if requests wait.
    pub(crate) fn load(&self) -> f64 {
        let busy = self.running.load(Ordering::Relaxed) + self.queued.load(Ordering::Relaxed);
        busy as f64 / f64::from(self.settings.slots.max(1))
    }
}

fn unix_now_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since_epoch| since_epoch.as_millis() as i64)
}
