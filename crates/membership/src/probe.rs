//! Table of probes that wait for an acknowledgement.

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
    pub indirect_probe_started: bool,
    /// Whether an indirect probe by a member of the subject's zone failed too.
    pub confirmed_by_zone_member: bool,
}

/// An indirect probe that this node sent on behalf of another member.
#[derive(Clone, Debug)]
pub struct RelayedProbe {
    pub origin: SocketAddr,
    pub origin_sequence: u32,
    sent_at: TimeUs,
}

/// Pending probes and relayed probes, by sequence number.
#[derive(Clone, Debug, Default)]
pub struct ProbeTable {
    probes: BTreeMap<u32, Probe>,
    relayed: BTreeMap<u32, RelayedProbe>,
    next_sequence: u32,
}

impl ProbeTable {
    /// Adds a probe and returns its sequence number.
    pub fn add(&mut self, probe: Probe) -> u32 {
        let sequence = self.allocate_sequence();
        self.probes.insert(sequence, probe);
        sequence
    }

    /// Adds a relayed probe and returns its sequence number.
    pub fn add_relay(&mut self, origin: SocketAddr, origin_sequence: u32, now: TimeUs) -> u32 {
        let sequence = self.allocate_sequence();
        self.relayed.insert(sequence, RelayedProbe { origin, origin_sequence, sent_at: now });
        sequence
    }

    /// Removes and returns the probe with this sequence number.
    pub fn take(&mut self, sequence: u32) -> Option<Probe> {
        self.probes.remove(&sequence)
    }

    /// Returns the probe with this sequence number for modification.
    pub fn get_mut(&mut self, sequence: u32) -> Option<&mut Probe> {
        self.probes.get_mut(&sequence)
    }

    /// Removes and returns the relayed probe with this sequence number.
    pub fn take_relay(&mut self, sequence: u32) -> Option<RelayedProbe> {
        self.relayed.remove(&sequence)
    }

    /// Returns whether a probe of `subject` is pending.
    pub fn is_probing(&self, subject: VmId) -> bool {
        self.probes.values().any(|probe| probe.subject == subject)
    }

    /// Removes the probes of `subject`, because a message from it arrived.
    pub fn remove_subject(&mut self, subject: VmId) {
        self.probes.retain(|_, probe| probe.subject != subject);
    }

    /// Removes all probes and relayed probes.
    pub fn clear(&mut self) {
        self.probes.clear();
        self.relayed.clear();
    }

    /// Removes and returns the relayed probes that have been pending for `timeout_ms`.
    pub fn take_timed_out_relays(&mut self, timeout_ms: u64, now: TimeUs) -> Vec<RelayedProbe> {
        let has_timed_out = |relay: &RelayedProbe| now.ms_since(relay.sent_at) >= timeout_ms;
        let (timed_out, pending) =
            std::mem::take(&mut self.relayed).into_iter().partition(|(_, relay)| has_timed_out(relay));
        self.relayed = pending;
        let timed_out: BTreeMap<u32, RelayedProbe> = timed_out;
        timed_out.into_values().collect()
    }

    /// Returns the probes that have been pending for `timeout_ms` without an indirect probe, and marks them, so that
    /// each is returned once.
    pub fn mark_for_indirect_probe(&mut self, timeout_ms: u64, now: TimeUs) -> Vec<(u32, Probe)> {
        let mut newly_indirect = Vec::new();
        for (sequence, probe) in &mut self.probes {
            if !probe.indirect_probe_started && now.ms_since(probe.sent_at) >= timeout_ms {
                probe.indirect_probe_started = true;
                newly_indirect.push((*sequence, probe.clone()));
            }
        }
        newly_indirect
    }

    /// Removes and returns the probes for which `has_failed` is true.
    pub fn take_failed(&mut self, has_failed: impl Fn(&Probe) -> bool) -> Vec<Probe> {
        let (failed, pending) = std::mem::take(&mut self.probes).into_iter().partition(|(_, probe)| has_failed(probe));
        self.probes = pending;
        let failed: BTreeMap<u32, Probe> = failed;
        failed.into_values().collect()
    }

    fn allocate_sequence(&mut self) -> u32 {
        self.next_sequence = self.next_sequence.wrapping_add(1);
        self.next_sequence
    }
}
