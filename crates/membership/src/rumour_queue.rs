//! Queue of rumours to disseminate.

use std::collections::BTreeMap;

use crate::Rumour;
use crate::rumour::RumourSubject;

/// Number of duplicates received from peers after which a rumour is dropped from a long queue, because most members
/// have it.
const MAX_DUPLICATES: u8 = 3;
/// Length from which a queue counts as long. In a shorter queue, every rumour is sent up to its transmission limit,
/// because dropping it early leaves one member in fifty without it.
const LONG_QUEUE_LEN: usize = 64;

/// Transmission limit of a rumour in a long queue. One member in fifty misses the rumour and receives it through the
/// exchange of digests, which costs less than sending every rumour often.
const LONG_QUEUE_TRANSMISSION_LIMIT: u16 = 4;

/// Position of a rumour in the queue: by the number of transmissions, then by age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SendOrder {
    transmissions: u16,
    insertion: u64,
}

#[derive(Clone, Debug)]
struct QueuedRumour {
    rumour: Rumour,
    duplicates: u8,
}

/// Rumours in the order of dissemination: those with the fewest transmissions first, then the oldest. Each rumour is
/// sent a limited number of times.
#[derive(Clone, Debug)]
pub struct RumourQueue {
    entries: BTreeMap<SendOrder, QueuedRumour>,
    send_orders: BTreeMap<RumourSubject, SendOrder>,
    next_insertion: u64,
    drop_superseded: bool,
}

impl RumourQueue {
    /// Creates an empty queue. With `drop_superseded`, a newer rumour replaces an older one about the same subject;
    /// otherwise both are sent.
    pub fn new(drop_superseded: bool) -> Self {
        Self { entries: BTreeMap::new(), send_orders: BTreeMap::new(), next_insertion: 0, drop_superseded }
    }

    /// Returns the number of queued rumours.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether a rumour about `subject` is queued.
    pub fn contains(&self, subject: RumourSubject) -> bool {
        self.send_orders.contains_key(&subject)
    }

    /// Queues a rumour that has not been sent yet.
    pub fn push(&mut self, rumour: Rumour) {
        let subject = rumour.subject();
        if self.drop_superseded {
            self.remove(subject);
        }
        let order = SendOrder { transmissions: 0, insertion: self.next_insertion };
        self.next_insertion += 1;
        self.entries.insert(order, QueuedRumour { rumour, duplicates: 0 });
        self.send_orders.insert(subject, order);
    }

    /// Removes the latest rumour about `subject`.
    pub fn remove(&mut self, subject: RumourSubject) {
        if let Some(order) = self.send_orders.remove(&subject) {
            self.entries.remove(&order);
        }
    }

    /// Counts a rumour received from a peer that carries no new update, if the queue is long. Drops the queued rumour
    /// after [`MAX_DUPLICATES`] of them.
    pub fn record_duplicate(&mut self, rumour: &Rumour) {
        if self.len() < LONG_QUEUE_LEN {
            return;
        }
        let subject = rumour.subject();
        let Some(order) = self.send_orders.get(&subject) else { return };
        let Some(entry) = self.entries.get_mut(order) else { return };
        entry.duplicates += u8::from(entry.rumour.is_equivalent(rumour));
        if entry.duplicates >= MAX_DUPLICATES {
            self.remove(subject);
        }
    }

    /// Returns rumours of at most `available_bytes` for one message, and removes those that have been sent
    /// `transmission_limit` times.
    pub fn take_for_message(&mut self, available_bytes: usize, transmission_limit: u16) -> Vec<Rumour> {
        let transmission_limit = if self.len() < LONG_QUEUE_LEN {
            transmission_limit
        } else {
            transmission_limit.min(LONG_QUEUE_TRANSMISSION_LIMIT)
        };
        let mut available_bytes = available_bytes;
        let mut selected = Vec::new();
        for (order, entry) in &self.entries {
            let size_bytes = entry.rumour.size_bytes();
            if size_bytes > available_bytes {
                break;
            }
            available_bytes -= size_bytes;
            selected.push(*order);
        }
        selected.into_iter().filter_map(|order| self.record_transmission(order, transmission_limit)).collect()
    }

    /// Counts a transmission of a rumour and moves it back in the queue, or removes it at the limit.
    fn record_transmission(&mut self, order: SendOrder, transmission_limit: u16) -> Option<Rumour> {
        let entry = self.entries.remove(&order)?;
        let rumour = entry.rumour.clone();
        let subject = rumour.subject();
        let next_order = SendOrder { transmissions: order.transmissions + 1, insertion: order.insertion };
        let is_latest = self.send_orders.get(&subject) == Some(&order);
        if next_order.transmissions < transmission_limit {
            self.entries.insert(next_order, entry);
            if is_latest {
                self.send_orders.insert(subject, next_order);
            }
        } else if is_latest {
            self.send_orders.remove(&subject);
        }
        Some(rumour)
    }
}
