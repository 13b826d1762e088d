//! Signs of life of the other nodes and zones. See `docs/design/silent-nodes.md`.
//!
//! Load pattern: a zone is cut off and its nodes drop everything, while processes on small machines pause for 100 ms
//! and more all the time. A whole zone gives signs so often that its silence shows after a few hundred milliseconds. A
//! single node is asked by a ping, and only while a request waits for it.

use fulmartrestle_core::{AvailabilityZone, TimeUs, VmId};
use fulmartrestle_derive::local;
use rustc_hash::FxHashMap;

/// Bounds of the time without a sign after which a zone counts as silent, in milliseconds. The lower one allows for
/// pauses of 100 ms on both sides; the upper one is the time of two lost status messages.
const MIN_ZONE_SILENCE_MS: u64 = 300;
const MAX_ZONE_SILENCE_MS: u64 = 2_600;

/// Factor of the longest recent gap between two signs of a zone after which it counts as silent, in percent.
const ZONE_GAP_PERCENT: u64 = 150;

/// Assumed longest gap between two signs of a new zone, in milliseconds: the interval of status messages.
const INITIAL_GAP_MS: u64 = 1_000;

/// Longest gap that counts as regular, in milliseconds. Longer ones are real silences, which must not delay the
/// detection of the next one.
const MAX_REGULAR_GAP_MS: u64 = 1_200;

/// Time constant with which the longest gap is forgotten, in milliseconds.
const GAP_MEMORY_MS: u64 = 4_000;

/// Time without a sign of a node for which a request has waited after which the node is pinged, in milliseconds.
const PROBE_AFTER_MS: u64 = 150;

/// Time without an answer to such a ping after which the node counts as silent, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 150;

/// Time without an answer to such a ping after which requests leave the node, in milliseconds. It exceeds the
/// shortest retransmission timeout of TCP, 200 ms, so that one lost packet costs no request.
const PROBE_LOST_MS: u64 = 250;

/// Time after which requests leave a zone that counts as silent, in milliseconds. It is also the shortest time that a
/// request waits for a silent node.
const LEAVE_DELAY_MS: u64 = 100;

/// Longest time between two observations, in milliseconds. They come at least every 200 ms; after a longer time this
/// process itself was paused, and signs may be waiting in its sockets.
const MAX_OBSERVATION_GAP_MS: u64 = 350;

/// Delay of a timer after which this process counts as paused, in milliseconds. The limits above allow for shorter pauses,
/// which are so frequent on a busy machine that each would delay the detection.
const MAX_TIMER_DELAY_MS: u64 = 100;

/// Shortest pause of this process that is reported as a change, in milliseconds. Shorter ones are frequent.
const MIN_REPORTED_PAUSE_MS: u64 = 200;

/// Time for which a node or zone is past its limit before it counts as silent, in milliseconds. After a short pause of
/// this process, the signs that wait in its sockets are read first.
const CONFIRM_MS: u64 = 20;

/// What a request that waits for a node has to do next.
#[local]
#[derive(Copy, Eq)]
pub enum ContactCheck {
    /// Check again at this time.
    Wait(TimeUs),
    /// Ping the node now, then check again.
    Probe,
    /// The node is silent for so long that the request should leave it.
    Lost,
}

/// Whom a change of contact concerns.
#[local]
#[derive(Eq)]
pub enum ContactSubject {
    /// All nodes of a zone.
    Zone(AvailabilityZone),
    /// A node that was pinged.
    Node(VmId),
    /// This process, which was paused.
    ThisProcess,
}

/// A change of the contact to others, with what led to it.
#[local]
#[derive(Eq)]
pub struct ContactChange {
    /// Whom it concerns.
    pub subject: ContactSubject,
    /// Whether the subject counts as silent from now on.
    pub silent: bool,
    /// Time since the last sign or, for this process, the length of the pause, in milliseconds.
    pub quiet_ms: u64,
    /// Time without a sign after which the subject counts as silent, in milliseconds.
    pub limit_ms: u64,
}

/// Whether something is silent. It ends with a sign of life only.
#[derive(Debug, Default)]
struct Silence {
    past_limit_at: Option<TimeUs>,
    silent: bool,
}

impl Silence {
    /// Notes whether the limit has passed. Returns whether the silence has begun.
    fn update(&mut self, is_past_limit: bool, now: TimeUs) -> bool {
        if self.silent || !is_past_limit {
            return false;
        }
        let past_limit_at = *self.past_limit_at.get_or_insert(now);
        self.silent = now >= past_limit_at.plus_ms(CONFIRM_MS);
        self.silent
    }
}

#[derive(Debug)]
struct ZoneContact {
    zone: AvailabilityZone,
    last_sign: TimeUs,
    longest_gap_us: u64,
    silence: Silence,
}

impl ZoneContact {
    /// Returns the time without a sign after which the zone counts as silent, in microseconds.
    fn limit_us(&self) -> u64 {
        let limit_us = self.longest_gap_us * ZONE_GAP_PERCENT / 100;
        limit_us.clamp(MIN_ZONE_SILENCE_MS * 1_000, MAX_ZONE_SILENCE_MS * 1_000)
    }

    fn record_sign(&mut self, observing_since: TimeUs, now: TimeUs) {
        let gap_us = now.us_since(self.last_sign);
        if gap_us <= MAX_REGULAR_GAP_MS * 1_000 && self.last_sign >= observing_since {
            let forgotten_us = self.longest_gap_us * gap_us / (GAP_MEMORY_MS * 1_000);
            self.longest_gap_us = self.longest_gap_us.saturating_sub(forgotten_us).max(gap_us);
        }
        self.last_sign = self.last_sign.max(now);
    }
}

#[derive(Debug)]
struct NodeContact {
    zone: usize,
    last_sign: TimeUs,
}

/// A ping that a node has not answered and after which it has given no other sign.
#[derive(Debug)]
struct Probe {
    sent_at: TimeUs,
    silence: Silence,
}

/// When the other nodes and zones gave their last sign of life: a status message, a response or a part of one, or the
/// answer to a ping. Nodes that were never heard do not count as silent.
#[derive(Debug, Default)]
pub struct PeerContact {
    zones: Vec<ZoneContact>,
    nodes: FxHashMap<VmId, NodeContact>,
    probes: FxHashMap<VmId, Probe>,
    observed_at: TimeUs,
    /// Silence counts from here; after a pause of this process it starts again.
    observing_since: TimeUs,
    changes: Vec<ContactChange>,
}

impl PeerContact {
    /// Records a sign of life of another node.
    pub fn record_sign(&mut self, node: VmId, zone: &AvailabilityZone, now: TimeUs) {
        self.observe(now);
        let index = self.zones.iter().position(|known| known.zone == *zone).unwrap_or_else(|| {
            let longest_gap_us = INITIAL_GAP_MS * 1_000;
            self.zones.push(ZoneContact {
                zone: zone.clone(),
                last_sign: now,
                longest_gap_us,
                silence: Silence::default(),
            });
            self.zones.len() - 1
        });
        let contact = &mut self.zones[index];
        if std::mem::take(&mut contact.silence).silent {
            let (quiet_ms, limit_ms) = (now.ms_since(contact.last_sign), contact.limit_us() / 1_000);
            let subject = ContactSubject::Zone(zone.clone());
            self.changes.push(ContactChange { subject, silent: false, quiet_ms, limit_ms });
        }
        contact.record_sign(self.observing_since, now);
        let last = self.nodes.insert(node, NodeContact { zone: index, last_sign: now });
        if !self.probes.is_empty() && self.probes.remove(&node).is_some_and(|probe| probe.silence.silent) {
            let quiet_ms = last.map_or(0, |last| now.ms_since(last.last_sign));
            let subject = ContactSubject::Node(node);
            self.changes.push(ContactChange { subject, silent: false, quiet_ms, limit_ms: PROBE_TIMEOUT_MS });
        }
    }

    /// Removes a node whose run has ended.
    pub fn remove(&mut self, node: VmId) {
        self.nodes.remove(&node);
        self.probes.remove(&node);
    }

    /// Notes that this process runs, and which nodes and zones are silent by now. Must be called at least every 200 ms.
    pub fn observe(&mut self, now: TimeUs) {
        if self.observed_at == TimeUs::default() {
            self.observed_at = now;
            self.observing_since = now;
        }
        let gap_ms = now.ms_since(self.observed_at);
        self.observed_at = self.observed_at.max(now);
        if gap_ms > MAX_OBSERVATION_GAP_MS {
            return self.restart(gap_ms, now);
        }
        let since = self.observing_since;
        for zone in &mut self.zones {
            let quiet_us = now.us_since(zone.last_sign.max(since));
            if zone.silence.update(quiet_us >= zone.limit_us(), now) {
                let (quiet_ms, limit_ms) = (quiet_us / 1_000, zone.limit_us() / 1_000);
                let subject = ContactSubject::Zone(zone.zone.clone());
                self.changes.push(ContactChange { subject, silent: true, quiet_ms, limit_ms });
            }
        }
        for (node, probe) in &mut self.probes {
            let is_past_limit = now >= probe.sent_at.max(since).plus_ms(PROBE_TIMEOUT_MS);
            if probe.silence.update(is_past_limit, now) {
                let quiet_ms = self.nodes.get(node).map_or(0, |contact| now.ms_since(contact.last_sign));
                let subject = ContactSubject::Node(*node);
                self.changes.push(ContactChange { subject, silent: true, quiet_ms, limit_ms: PROBE_TIMEOUT_MS });
            }
        }
    }

    /// Notes that a timer that was due at `due` has fired. A late one means that this process was paused.
    pub fn observe_timer(&mut self, due: TimeUs, now: TimeUs) {
        if now.ms_since(due) > MAX_TIMER_DELAY_MS {
            self.observed_at = now;
            return self.restart(now.ms_since(due), now);
        }
        self.observe(now);
    }

    /// Starts the observation again. Nodes and zones that are silent stay so until they give a sign.
    fn restart(&mut self, gap_ms: u64, now: TimeUs) {
        self.observing_since = now;
        for silence in self.zones.iter_mut().map(|zone| &mut zone.silence) {
            silence.past_limit_at = None;
        }
        for silence in self.probes.values_mut().map(|probe| &mut probe.silence) {
            silence.past_limit_at = None;
        }
        if gap_ms >= MIN_REPORTED_PAUSE_MS {
            let (subject, limit_ms) = (ContactSubject::ThisProcess, MAX_TIMER_DELAY_MS);
            self.changes.push(ContactChange { subject, silent: false, quiet_ms: gap_ms, limit_ms });
        }
    }

    /// Returns whether any node or zone counts as silent.
    pub fn is_any_silent(&self) -> bool {
        self.zones.iter().any(|zone| zone.silence.silent) || self.probes.values().any(|probe| probe.silence.silent)
    }

    /// Returns whether a node or its zone counted as silent at the last observation.
    pub fn is_silent(&self, node: VmId) -> bool {
        self.probes.get(&node).is_some_and(|probe| probe.silence.silent)
            || self.nodes.get(&node).is_some_and(|contact| self.zones[contact.zone].silence.silent)
    }

    /// Returns what a request has to do that was sent to a node at `sent_at` and has not been answered.
    pub fn check_waiting(&mut self, node: VmId, sent_at: TimeUs, now: TimeUs) -> ContactCheck {
        self.observe(now);
        let since = self.observing_since;
        let contact = self.nodes.get(&node);
        let zone = contact.map(|contact| &self.zones[contact.zone]);
        let earliest = sent_at.plus_ms(LEAVE_DELAY_MS);
        let zone_lost_at = zone.map_or(TimeUs(u64::MAX), |zone| {
            zone.last_sign.max(since).plus_us(zone.limit_us()).plus_ms(LEAVE_DELAY_MS).max(earliest)
        });
        if now >= zone_lost_at {
            let is_silent = zone.is_some_and(|zone| zone.silence.silent);
            return if is_silent { ContactCheck::Lost } else { ContactCheck::Wait(now.plus_ms(CONFIRM_MS)) };
        }
        let Some(probe) = self.probes.get(&node) else {
            let last_sign = contact.map_or(sent_at, |contact| contact.last_sign);
            let probe_at = last_sign.max(sent_at).max(since).plus_ms(PROBE_AFTER_MS);
            if now < probe_at {
                return ContactCheck::Wait(probe_at.min(zone_lost_at));
            }
            self.probes.insert(node, Probe { sent_at: now, silence: Silence::default() });
            return ContactCheck::Probe;
        };
        let probe_sent_at = probe.sent_at.max(since);
        let probe_lost_at = probe_sent_at.plus_ms(PROBE_LOST_MS).max(earliest);
        let silent_at = probe_sent_at.plus_ms(PROBE_TIMEOUT_MS);
        let next = match () {
            () if now < silent_at => silent_at,
            () if !probe.silence.silent => now.plus_ms(CONFIRM_MS),
            () if now < probe_lost_at => probe_lost_at,
            () => return ContactCheck::Lost,
        };
        ContactCheck::Wait(next.min(zone_lost_at))
    }

    /// Returns the number of silent zones, and that of nodes that have not answered a ping.
    pub fn silent_counts(&self) -> (usize, usize) {
        let zones = self.zones.iter().filter(|zone| zone.silence.silent).count();
        (zones, self.probes.values().filter(|probe| probe.silence.silent).count())
    }

    /// Returns the changes since the last call, in their order.
    pub fn take_changes(&mut self) -> Vec<ContactChange> {
        std::mem::take(&mut self.changes)
    }
}
