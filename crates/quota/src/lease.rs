//! The lease under which a node owns a shard of its zone.

use std::collections::{BTreeMap, VecDeque};

use fulmartrestle_core::{TimeUs, Version, VmId};

/// Requests whose acknowledgements still count. Older ones would extend the lease by nothing.
const REMEMBERED_REQUESTS: usize = 8;

/// How long a newly seen member may take to acknowledge an owner whose lease is valid, in
/// microseconds. Without it every join would stop the owner for a round trip.
const JOIN_GRACE_US: u64 = 1_500_000;

/// How soon after a join the next round of requests goes out, in microseconds. Renewals alone come
/// too late in large zones; at once would cost a round for each of several joins.
const JOIN_REQUEST_US: u64 = 200_000;

/// How long a lapsed acknowledgement is kept, in microseconds, so that a member that drops out of
/// view and comes back is not taken for one that has just joined.
const ACK_RETENTION_US: u64 = 60_000_000;

/// How far a node has got in becoming owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeasePhase {
    /// Some member has not acknowledged.
    Candidate,
    /// All acknowledged; loans of an earlier owner may last until the given time.
    WaitingOutLoans(TimeUs),
    /// The node lends.
    Lending,
}

/// One round of lease requests to all members.
#[derive(Clone, Copy, Debug)]
struct LeaseRound {
    seq: u64,
    lease_ends_at: TimeUs,
}

/// A member's latest acknowledgement.
#[derive(Clone, Copy, Debug)]
struct Ack {
    until: TimeUs,
    fresh: bool,
    applied: Version,
}

/// A node's lease on one shard: valid while every member that it sees has acknowledged it.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    pub(crate) phase: LeasePhase,
    requests: VecDeque<LeaseRound>,
    acks: BTreeMap<VmId, Ack>,
    valid_until: TimeUs,
    /// Whether acknowledgements came in since the last review.
    acked: bool,
    next_request_at: TimeUs,
}

impl Lease {
    pub(crate) fn candidate() -> Self {
        Self {
            phase: LeasePhase::Candidate,
            requests: VecDeque::new(),
            acks: BTreeMap::new(),
            valid_until: TimeUs(0),
            acked: false,
            next_request_at: TimeUs(0),
        }
    }

    pub(crate) fn is_valid(&self, now: TimeUs) -> bool {
        now < self.valid_until
    }

    pub(crate) fn is_lending(&self, now: TimeUs) -> bool {
        self.phase == LeasePhase::Lending && self.is_valid(now)
    }

    /// Returns whether a review may prolong the lease. Without new acknowledgements it can't, and
    /// in a large zone each review costs a walk over all members.
    pub(crate) fn needs_review(&self) -> bool {
        self.acked
    }

    pub(crate) fn request_due(&self, now: TimeUs) -> bool {
        now >= self.next_request_at
    }

    /// Notes that a round of requests goes out. The lease is counted from here, before any member
    /// starts to count its promise.
    pub(crate) fn on_requested(&mut self, seq: u64, lease_ends_at: TimeUs, again_at: TimeUs) {
        self.requests.push_back(LeaseRound { seq, lease_ends_at });
        if self.requests.len() > REMEMBERED_REQUESTS {
            self.requests.pop_front();
        }
        self.next_request_at = again_at;
    }

    pub(crate) fn on_ack(&mut self, from: VmId, seq: u64, fresh: bool, applied: Version) {
        let Some(round) = self.requests.iter().find(|round| round.seq == seq) else { return };
        let ack = Ack { until: round.lease_ends_at, fresh, applied };
        let known = self.acks.entry(from).or_insert(ack);
        self.acked = true;
        if known.until <= ack.until {
            *known = ack;
        }
    }

    /// Recomputes until when all members of the present view have acknowledged.
    pub(crate) fn review(&mut self, members: impl Iterator<Item = VmId>, now: TimeUs) {
        let established = self.phase != LeasePhase::Candidate && self.is_valid(now);
        self.acked = false;
        let mut joined = false;
        let mut valid_until = None;
        for member in members {
            let missing = if established { now.plus_us(JOIN_GRACE_US) } else { TimeUs(0) };
            let ack = self.acks.entry(member).or_insert_with(|| {
                joined = true;
                Ack { until: missing, fresh: true, applied: Version(0) }
            });
            valid_until = Some(valid_until.map_or(ack.until, |known: TimeUs| known.min(ack.until)));
        }
        self.valid_until = valid_until.unwrap_or_default();
        if joined {
            self.next_request_at = self.next_request_at.min(now.plus_us(JOIN_REQUEST_US));
        }
        self.acks.retain(|_, ack| ack.until.plus_us(ACK_RETENTION_US) > now);
    }

    /// Returns the lowest version that any of the members is known to apply.
    pub(crate) fn applied_by_all(&self, mut members: impl Iterator<Item = VmId>) -> Version {
        let mut lowest = Version(u64::MAX);
        let known = members.all(|member| {
            let ack = self.acks.get(&member);
            lowest = ack.map_or(lowest, |ack| lowest.min(ack.applied));
            ack.is_some()
        });
        if known { lowest } else { Version(0) }
    }

    /// Returns whether some member has run for long enough to know of any other owner.
    fn has_informed_ack(&self, now: TimeUs) -> bool {
        self.acks.values().any(|ack| !ack.fresh && now < ack.until)
    }

    /// Moves on through the phases. Returns whether lending starts now.
    pub(crate) fn advance(&mut self, loans_gone_us: u64, now: TimeUs) -> bool {
        if !self.is_valid(now) {
            if self.phase != LeasePhase::Candidate {
                self.phase = LeasePhase::Candidate;
                self.next_request_at = now;
            }
            return false;
        }
        match self.phase {
            LeasePhase::Candidate if !self.has_informed_ack(now) => false,
            LeasePhase::Candidate => {
                self.phase = LeasePhase::WaitingOutLoans(now.plus_us(loans_gone_us));
                self.next_request_at = now;
                false
            }
            LeasePhase::WaitingOutLoans(until) if now >= until => {
                self.phase = LeasePhase::Lending;
                true
            }
            LeasePhase::WaitingOutLoans(_) | LeasePhase::Lending => false,
        }
    }
}
