//! The lease under which a node owns one shard of its zone.

use std::collections::{BTreeMap, VecDeque};

use fulmartrestle_core::{TimeUs, Version, VmId};

/// Number of recent request rounds whose acknowledgements are accepted. Acknowledgements of older
/// rounds would not extend the lease.
const MAX_TRACKED_ROUNDS: usize = 8;

/// Time that a member that has just joined has to acknowledge an owner whose lease is valid, in
/// microseconds. Without it, every join would stop the owner from lending for a round trip.
const JOIN_GRACE_US: u64 = 1_500_000;

/// Delay from a join to the next round of requests, in microseconds. Regular renewals come too late
/// in large zones, and without a delay each of several joins would cost a round of its own.
const JOIN_REQUEST_DELAY_US: u64 = 200_000;

/// Time for which an expired acknowledgement is kept, in microseconds, so that a member that leaves
/// the view and returns does not count as newly joined.
const ACK_RETENTION_US: u64 = 60_000_000;

/// State of ownership acquisition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeasePhase {
    /// At least one member has not acknowledged the node, or none of those that did has run for long
    /// enough to rule out another owner.
    Candidate,
    /// All members have acknowledged the node. Loans of a previous owner may be valid until the given
    /// time.
    AwaitingLoanExpiry(TimeUs),
    /// The node is the owner and lends tokens.
    Lending,
}

/// One round of lease requests sent to all members.
#[derive(Clone, Copy, Debug)]
struct LeaseRound {
    seq: u64,
    lease_expires_at: TimeUs,
}

/// The latest acknowledgement of one member.
#[derive(Clone, Copy, Debug)]
struct Ack {
    valid_until: TimeUs,
    recently_started: bool,
    applied_version: Version,
}

/// A node's lease on one shard. It is valid while the acknowledgements of all members in the node's
/// view are.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    pub(crate) phase: LeasePhase,
    rounds: VecDeque<LeaseRound>,
    acks: BTreeMap<VmId, Ack>,
    valid_until: TimeUs,
    /// Whether acknowledgements arrived since validity was last computed.
    has_new_acks: bool,
    next_request_at: TimeUs,
}

impl Lease {
    pub(crate) fn candidate() -> Self {
        Self {
            phase: LeasePhase::Candidate,
            rounds: VecDeque::new(),
            acks: BTreeMap::new(),
            valid_until: TimeUs(0),
            has_new_acks: false,
            next_request_at: TimeUs(0),
        }
    }

    pub(crate) fn is_valid(&self, now: TimeUs) -> bool {
        now < self.valid_until
    }

    pub(crate) fn is_lending(&self, now: TimeUs) -> bool {
        self.phase == LeasePhase::Lending && self.is_valid(now)
    }

    /// Returns whether [`Lease::update_validity`] may extend the lease. Without new acknowledgements
    /// it cannot, and each call iterates over all members of the zone.
    pub(crate) fn has_unprocessed_acks(&self) -> bool {
        self.has_new_acks
    }

    pub(crate) fn is_request_due(&self, now: TimeUs) -> bool {
        now >= self.next_request_at
    }

    /// Records that a round of requests is being sent. The lease time starts here, before the promise
    /// of any member starts.
    pub(crate) fn record_round(&mut self, seq: u64, lease_expires_at: TimeUs, next_request_at: TimeUs) {
        self.rounds.push_back(LeaseRound { seq, lease_expires_at });
        if self.rounds.len() > MAX_TRACKED_ROUNDS {
            self.rounds.pop_front();
        }
        self.next_request_at = next_request_at;
    }

    pub(crate) fn on_ack(&mut self, from: VmId, seq: u64, recently_started: bool, applied_version: Version) {
        let Some(round) = self.rounds.iter().find(|round| round.seq == seq) else { return };
        let ack = Ack { valid_until: round.lease_expires_at, recently_started, applied_version };
        let known = self.acks.entry(from).or_insert(ack);
        self.has_new_acks = true;
        if known.valid_until <= ack.valid_until {
            *known = ack;
        }
    }

    /// Recomputes the time until which every member of the current view has acknowledged the lease.
    pub(crate) fn update_validity(&mut self, members: impl Iterator<Item = VmId>, now: TimeUs) {
        let established = self.phase != LeasePhase::Candidate && self.is_valid(now);
        self.has_new_acks = false;
        let mut has_joined = false;
        let mut valid_until = None;
        for member in members {
            let assumed_until = if established { now.plus_us(JOIN_GRACE_US) } else { TimeUs(0) };
            let ack = self.acks.entry(member).or_insert_with(|| {
                has_joined = true;
                Ack { valid_until: assumed_until, recently_started: true, applied_version: Version(0) }
            });
            valid_until = Some(valid_until.map_or(ack.valid_until, |known: TimeUs| known.min(ack.valid_until)));
        }
        self.valid_until = valid_until.unwrap_or_default();
        if has_joined {
            self.next_request_at = self.next_request_at.min(now.plus_us(JOIN_REQUEST_DELAY_US));
        }
        self.acks.retain(|_, ack| ack.valid_until.plus_us(ACK_RETENTION_US) > now);
    }

    /// Returns the lowest version that any of the members has reported as applied, or zero when a
    /// member has sent no acknowledgement.
    pub(crate) fn min_applied_version(&self, mut members: impl Iterator<Item = VmId>) -> Version {
        let mut lowest = Version(u64::MAX);
        let all_known = members.all(|member| {
            let ack = self.acks.get(&member);
            lowest = ack.map_or(lowest, |ack| lowest.min(ack.applied_version));
            ack.is_some()
        });
        if all_known { lowest } else { Version(0) }
    }

    /// Returns whether at least one member with a valid acknowledgement has run for long enough to
    /// have learned of any other owner.
    fn has_ack_from_long_running_member(&self, now: TimeUs) -> bool {
        self.acks.values().any(|ack| !ack.recently_started && now < ack.valid_until)
    }

    /// Advances the phase. `loan_expiry_us` is the time after which loans of a previous owner have
    /// expired. Returns whether lending starts now.
    pub(crate) fn advance_phase(&mut self, loan_expiry_us: u64, now: TimeUs) -> bool {
        if !self.is_valid(now) {
            if self.phase != LeasePhase::Candidate {
                self.phase = LeasePhase::Candidate;
                self.next_request_at = now;
            }
            return false;
        }
        match self.phase {
            LeasePhase::Candidate if !self.has_ack_from_long_running_member(now) => false,
            LeasePhase::Candidate => {
                self.phase = LeasePhase::AwaitingLoanExpiry(now.plus_us(loan_expiry_us));
                self.next_request_at = now;
                false
            }
            LeasePhase::AwaitingLoanExpiry(expires_at) if now >= expires_at => {
                self.phase = LeasePhase::Lending;
                true
            }
            LeasePhase::AwaitingLoanExpiry(_) | LeasePhase::Lending => false,
        }
    }
}
