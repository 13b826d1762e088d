//! Queued calls of one tenant.

use std::collections::VecDeque;

use fulmartrestle_core::{CallId, Class};

/// One FIFO queue per class. The most important class is served first and dropped last.
#[derive(Debug, Default)]
pub(super) struct ClassQueues {
    queues: [VecDeque<CallId>; Class::ALL.len()],
}

impl ClassQueues {
    pub fn len(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.queues.iter().all(VecDeque::is_empty)
    }

    pub fn iter(&self) -> impl Iterator<Item = CallId> {
        self.queues.iter().flatten().copied()
    }

    pub fn push(&mut self, class: Class, call: CallId) {
        self.queues[class.index()].push_back(call);
    }

    /// Removes and returns the oldest call of the most important class.
    pub fn pop_most_important(&mut self) -> Option<CallId> {
        self.queues.iter_mut().rev().find_map(VecDeque::pop_front)
    }

    /// Removes and returns the newest call of the least important class.
    pub fn pop_least_important(&mut self) -> Option<CallId> {
        self.queues.iter_mut().find_map(VecDeque::pop_back)
    }

    /// Removes and returns the newest call of the least important class, if that class is below `class`.
    pub fn pop_least_important_below(&mut self, class: Class) -> Option<CallId> {
        self.queues[..class.index()].iter_mut().find_map(VecDeque::pop_back)
    }

    /// Removes a call and returns whether it was queued.
    pub fn remove(&mut self, call: CallId) -> bool {
        for queue in &mut self.queues {
            if let Some(position) = queue.iter().position(|queued| *queued == call) {
                queue.remove(position);
                return true;
            }
        }
        false
    }

    pub fn drain(&mut self) -> impl Iterator<Item = CallId> {
        self.queues.iter_mut().flat_map(|queue| queue.drain(..))
    }
}
