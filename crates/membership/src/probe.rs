//! Probes that wait for an answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use fulmartrestle_core::{TimeUs, VmId};

use crate::Incarnation;

/// A probe that this node sent.
#[derive(Clone, Debug)]
pub struct Probe {
    pub subject: VmId,
    pub incarnation: Incarnation,
    pub address: SocketAddr,
    pub sent_at: TimeUs,
    pub asked_helpers: bool,
    /// Whether a member of the subject's own zone could not reach it either.
    pub confirmed_in_zone: bool,
}

/// A probe that this node sent on behalf of another.
#[derive(Clone, Debug)]
pub struct Relay {
    pub origin: SocketAddr,
    pub origin_sequence: u32,
    sent_at: TimeUs,
}

/// Probes and relayed probes by sequence number.
#[derive(Clone, Debug, Default)]
pub struct ProbeTable {
    probes: BTreeMap<u32, Probe>,
    relays: BTreeMap<u32, Relay>,
    next_sequence: u32,
}

impl ProbeTable {
    /// Notes a probe and returns its number.
    pub fn add(&mut self, probe: Probe) -> u32 {
        let sequence = self.sequence();
        self.probes.insert(sequence, probe);
        sequence
    }

    /// Notes a relayed probe and returns its number.
    pub fn add_relay(&mut self, origin: SocketAddr, origin_sequence: u32, now: TimeUs) -> u32 {
        let sequence = self.sequence();
        self.relays.insert(sequence, Relay { origin, origin_sequence, sent_at: now });
        sequence
    }

    /// Takes the probe with this number.
    pub fn take(&mut self, sequence: u32) -> Option<Probe> {
        self.probes.remove(&sequence)
    }

    /// Returns the probe with this number.
    pub fn get_mut(&mut self, sequence: u32) -> Option<&mut Probe> {
        self.probes.get_mut(&sequence)
    }

    /// Takes the relayed probe with this number.
    pub fn take_relay(&mut self, sequence: u32) -> Option<Relay> {
        self.relays.remove(&sequence)
    }

    /// Returns whether `subject` is being probed.
    pub fn is_probing(&self, subject: VmId) -> bool {
        self.probes.values().any(|probe| probe.subject == subject)
    }

    /// Drops the probes of `subject`, because it was heard.
    pub fn forget(&mut self, subject: VmId) {
        self.probes.retain(|_, probe| probe.subject != subject);
    }

    /// Drops all probes.
    pub fn clear(&mut self) {
        self.probes.clear();
        self.relays.clear();
    }

    /// Takes the relayed probes that have waited for `timeout_ms`.
    pub fn take_unanswered_relays(&mut self, timeout_ms: u64, now: TimeUs) -> Vec<Relay> {
        let is_over = |relay: &Relay| now.ms_since(relay.sent_at) >= timeout_ms;
        let (over, kept) = std::mem::take(&mut self.relays).into_iter().partition(|(_, relay)| is_over(relay));
        self.relays = kept;
        let over: BTreeMap<u32, Relay> = over;
        over.into_values().collect()
    }

    /// Marks the probes that wait for longer than `timeout_ms` as handed to helpers and returns them.
    pub fn take_unanswered(&mut self, timeout_ms: u64, now: TimeUs) -> Vec<(u32, Probe)> {
        let mut unanswered = Vec::new();
        for (sequence, probe) in &mut self.probes {
            if !probe.asked_helpers && now.ms_since(probe.sent_at) >= timeout_ms {
                probe.asked_helpers = true;
                unanswered.push((*sequence, probe.clone()));
            }
        }
        unanswered
    }

    /// Takes the probes for which `is_over` says that they failed.
    pub fn take_failed(&mut self, is_over: impl Fn(&Probe) -> bool) -> Vec<Probe> {
        let (failed, kept) = std::mem::take(&mut self.probes).into_iter().partition(|(_, probe)| is_over(probe));
        self.probes = kept;
        let failed: BTreeMap<u32, Probe> = failed;
        failed.into_values().collect()
    }

    fn sequence(&mut self) -> u32 {
        self.next_sequence = self.next_sequence.wrapping_add(1);
        self.next_sequence
    }
}
