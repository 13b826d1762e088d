//! The state that a target's tasks share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use fulmartrestle_core::lock;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::{Notify, Semaphore, watch};

use crate::recorder::Recorder;
use crate::silence::Silence;
use crate::{ChildCaller, StandinSettings, TargetBehaviour, TargetStats};

/// Whether the target's process is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Life {
    /// It serves; the number grows with each restart.
    Up(u64),
    /// It crashed.
    Crashed,
    /// It was stopped for good.
    Stopped,
}

/// State shared by the accept loop, the connections and the announcer of one target.
pub(crate) struct Shared {
    pub(crate) settings: StandinSettings,
    pub(crate) children: Option<Arc<dyn ChildCaller>>,
    pub(crate) slots: Semaphore,
    pub(crate) silence: Arc<Silence>,
    pub(crate) running: AtomicU64,
    pub(crate) queued: AtomicU64,
    pub(crate) life: watch::Sender<Life>,
    pub(crate) announce_now: Notify,
    behaviour: Mutex<TargetBehaviour>,
    recorder: Mutex<Recorder>,
    random: Mutex<ChaCha8Rng>,
    up_since: Mutex<Instant>,
}

impl Shared {
    pub(crate) fn new(settings: StandinSettings, children: Option<Arc<dyn ChildCaller>>) -> Self {
        Self {
            slots: Semaphore::new(settings.slots as usize),
            silence: Arc::default(),
            running: AtomicU64::new(0),
            queued: AtomicU64::new(0),
            life: watch::Sender::new(Life::Up(0)),
            announce_now: Notify::new(),
            behaviour: Mutex::new(settings.behaviour.clone()),
            recorder: Mutex::default(),
            random: Mutex::new(ChaCha8Rng::seed_from_u64(settings.seed)),
            up_since: Mutex::new(Instant::now()),
            children,
            settings,
        }
    }

    pub(crate) fn behaviour(&self) -> TargetBehaviour {
        lock(&self.behaviour).clone()
    }

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

    pub(crate) fn summary(&self) -> TargetStats {
        let running = self.running.load(Ordering::Relaxed);
        let queued = self.queued.load(Ordering::Relaxed);
        TargetStats { running, queued, ..self.recorder().summary() }
    }

    /// Draws the time that the work of one request takes at present.
    pub(crate) fn draw_service_time(&self) -> Duration {
        let factor = self.behaviour().slow_factor * self.cold_factor();
        self.settings.service_time.draw(factor, &mut *lock(&self.random))
    }

    /// Returns the stretch of the service time after a start; it falls to 1 over the warm-up.
    fn cold_factor(&self) -> f64 {
        let up_ms = lock(&self.up_since).elapsed().as_millis() as f64;
        let warm_up_ms = self.settings.warm_up_ms as f64;
        if up_ms >= warm_up_ms {
            return 1.0;
        }
        let remaining = 1.0 - up_ms / warm_up_ms;
        1.0 + (self.settings.cold_factor - 1.0) * remaining
    }

    pub(crate) fn mark_up(&self) {
        *lock(&self.up_since) = Instant::now();
    }

    /// Returns the share of the slots in use, with those that wait counted in.
    pub(crate) fn load(&self) -> f64 {
        let busy = self.running.load(Ordering::Relaxed) + self.queued.load(Ordering::Relaxed);
        busy as f64 / f64::from(self.settings.slots.max(1))
    }
}
