//! The queued calls of one tenant.

use std::collections::VecDeque;

use fulmartrestle_core::{CallId, Class};

/// One lane for each class. The most important class is served first and dropped last.
#[derive(Debug, Default)]
pub(super) struct Lanes {
    calls: [VecDeque<CallId>; Class::ALL.len()],
}

impl Lanes {
    pub fn len(&self) -> usize {
        self.calls.iter().map(VecDeque::len).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.calls.iter().all(VecDeque::is_empty)
    }

    pub fn iter(&self) -> impl Iterator<Item = CallId> {
        self.calls.iter().flatten().copied()
    }

    pub fn push(&mut self, class: Class, call: CallId) {
        self.calls[class.index()].push_back(call);
    }

    /// Takes the oldest call of the most important class.
    pub fn pop_first(&mut self) -> Option<CallId> {
        self.calls.iter_mut().rev().find_map(VecDeque::pop_front)
    }

    /// Takes the newest call of the least important class.
    pub fn pop_last(&mut self) -> Option<CallId> {
        self.calls.iter_mut().find_map(VecDeque::pop_back)
    }

    /// Takes the newest call of the least important class, if that is below `class`.
    pub fn pop_below(&mut self, class: Class) -> Option<CallId> {
        self.calls[..class.index()].iter_mut().find_map(VecDeque::pop_back)
    }

    /// Returns whether the call was queued; it no longer is.
    pub fn remove(&mut self, call: CallId) -> bool {
        for lane in &mut self.calls {
            if let Some(position) = lane.iter().position(|queued| *queued == call) {
                lane.remove(position);
                return true;
            }
        }
        false
    }

    pub fn drain(&mut self) -> impl Iterator<Item = CallId> {
        self.calls.iter_mut().flat_map(|lane| lane.drain(..))
    }
}
