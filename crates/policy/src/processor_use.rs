//! How much of a node's processor is in use, and how long a ready task waits for it.
//!
//! Load pattern: a node beside a target that many calls pass gets more of them than its fraction of a core can handle.
//! Its target has free slots meanwhile, so that slots and queues show nothing: calls wait inside the node, until their
//! deadlines pass somewhere in the chain.

use fulmartrestle_core::TimeUs;

/// Length of the windows over which the use is averaged, in microseconds.
const WINDOW_US: u64 = 1_000_000;

/// Use of the processor in one window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessorWindow {
    /// Length of the window, in microseconds.
    pub length_us: u64,
    /// Time in which the node's thread ran or was ready to run, in microseconds.
    pub busy_us: u64,
    /// Mean time that a ready task waited, in microseconds.
    pub mean_wait_us: u64,
    /// Longest time that a ready task waited, in microseconds.
    pub max_wait_us: u64,
}

impl ProcessorWindow {
    /// Returns the share of the window in which the node was busy, in thousandths.
    pub fn busy_milli(&self) -> u64 {
        (self.busy_us * 1_000 / self.length_us.max(1)).min(1_000)
    }
}

/// Adds samples of the time that a ready task waits.
#[derive(Debug, Default)]
pub struct ProcessorUse {
    started: TimeUs,
    busy_at_start_us: u64,
    samples: u64,
    wait_us: u64,
    max_wait_us: u64,
}

impl ProcessorUse {
    /// Adds a task that was ready at `due` and runs at `now`. `busy_us` is the time in which the node was busy since its
    /// start. Returns the window if it has elapsed.
    pub fn record(&mut self, due: TimeUs, busy_us: u64, now: TimeUs) -> Option<ProcessorWindow> {
        let wait_us = now.us_since(due);
        self.samples += 1;
        self.wait_us += wait_us;
        self.max_wait_us = self.max_wait_us.max(wait_us);
        let length_us = now.us_since(self.started);
        if length_us < WINDOW_US {
            return None;
        }
        let window = ProcessorWindow {
            length_us,
            busy_us: busy_us.saturating_sub(self.busy_at_start_us),
            mean_wait_us: self.wait_us / self.samples,
            max_wait_us: self.max_wait_us,
        };
        let is_first = self.started == TimeUs::default();
        *self = Self { started: now, busy_at_start_us: busy_us, ..Self::default() };
        (!is_first).then_some(window)
    }
}
