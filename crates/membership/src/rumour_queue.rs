//! Rumours waiting to be passed on.

use std::collections::BTreeMap;

use crate::Rumour;
use crate::rumour::Subject;

/// Copies heard back after which a rumour is dropped from a crowded queue: most members know it.
const MAX_HEARD: u8 = 3;
/// Length from which a queue is crowded. In a shorter one every rumour is sent as often as it may be:
/// dropping early leaves one member in fifty without it.
const CROWDED_LEN: usize = 64;

/// Times that a rumour of a crowded queue is sent. One member in fifty misses it then, and gets it by
/// the exchange of digests, which costs less than sending every rumour often.
const CROWDED_LIMIT: u16 = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    sent: u16,
    sequence: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    rumour: Rumour,
    heard: u8,
}

/// Rumours in the order in which they are sent: those sent least often first, then the oldest. Each
/// is sent a limited number of times.
#[derive(Clone, Debug)]
pub struct RumourQueue {
    entries: BTreeMap<Place, Entry>,
    places: BTreeMap<Subject, Place>,
    next_sequence: u64,
    drop_superseded: bool,
}

impl RumourQueue {
    /// Returns an empty queue. With `drop_superseded`, a newer rumour replaces an older one about the
    /// same subject; without, both are sent.
    pub fn new(drop_superseded: bool) -> Self {
        Self { entries: BTreeMap::new(), places: BTreeMap::new(), next_sequence: 0, drop_superseded }
    }

    /// Returns how many rumours wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no rumour waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether a rumour about `subject` waits.
    pub fn contains(&self, subject: Subject) -> bool {
        self.places.contains_key(&subject)
    }

    /// Adds a rumour.
    pub fn push(&mut self, rumour: Rumour) {
        let subject = rumour.subject();
        if self.drop_superseded {
            self.remove(subject);
        }
        let place = Place { sent: 0, sequence: self.next_sequence };
        self.next_sequence += 1;
        self.entries.insert(place, Entry { rumour, heard: 0 });
        self.places.insert(subject, place);
    }

    /// Drops the latest rumour about `subject`.
    pub fn remove(&mut self, subject: Subject) {
        if let Some(place) = self.places.remove(&subject) {
            self.entries.remove(&place);
        }
    }

    /// Notes that a peer sent a rumour that is no news here.
    pub fn heard(&mut self, rumour: &Rumour) {
        if self.len() < CROWDED_LEN {
            return;
        }
        let subject = rumour.subject();
        let Some(place) = self.places.get(&subject) else { return };
        let Some(entry) = self.entries.get_mut(place) else { return };
        entry.heard += u8::from(entry.rumour.says_the_same(rumour));
        if entry.heard >= MAX_HEARD {
            self.remove(subject);
        }
    }

    /// Takes rumours for one message of at most `room_bytes`, and drops those that have now been sent
    /// `limit` times.
    pub fn take(&mut self, room_bytes: usize, limit: u16) -> Vec<Rumour> {
        let limit = if self.len() < CROWDED_LEN { limit } else { limit.min(CROWDED_LIMIT) };
        let mut room_bytes = room_bytes;
        let mut taken = Vec::new();
        for (place, entry) in &self.entries {
            let size_bytes = entry.rumour.size_bytes();
            if size_bytes > room_bytes {
                break;
            }
            room_bytes -= size_bytes;
            taken.push(*place);
        }
        taken.into_iter().filter_map(|place| self.advance(place, limit)).collect()
    }

    fn advance(&mut self, place: Place, limit: u16) -> Option<Rumour> {
        let entry = self.entries.remove(&place)?;
        let rumour = entry.rumour.clone();
        let subject = rumour.subject();
        let next = Place { sent: place.sent + 1, sequence: place.sequence };
        let is_latest = self.places.get(&subject) == Some(&place);
        if next.sent < limit {
            self.entries.insert(next, entry);
            if is_latest {
                self.places.insert(subject, next);
            }
        } else if is_latest {
            self.places.remove(&subject);
        }
        Some(rumour)
    }
}
