//! The local target's announcements.

use std::net::SocketAddr;

use fulmartrestle_core::{Service, TimeUs};
use fulmartrestle_derive::{record, value};

/// Lifetime of an announcement, in milliseconds. Targets renew it once a second, so that up to three renewals
/// may be lost before the target is taken out of use.
pub const ANNOUNCEMENT_LEASE_MS: u64 = 3_000;

/// The HTTP version that a target accepts.
#[value]
#[derive(Default)]
#[serde(rename_all = "snake_case")]
pub enum TargetProtocol {
    /// HTTP/1.1.
    #[default]
    Http1,
    /// HTTP/2 without TLS, by prior knowledge.
    H2c,
}

/// Announcement that a target sends to its node once a second.
#[record]
#[serde(deny_unknown_fields)]
pub struct TargetAnnouncement {
    /// Service that the target offers.
    pub service: Service,
    /// Address that the target listens on.
    pub address: SocketAddr,
    /// Number of calls that the target can run concurrently.
    pub slots: u32,
    /// Number of connections that the target accepts.
    pub connections: u32,
    /// Time from the target's start until it reaches full speed, in milliseconds.
    #[serde(default)]
    pub warm_up_ms: u32,
    /// Whether the target is leaving and must receive no new calls.
    #[serde(default)]
    pub leaving: bool,
    /// Protocol that the target accepts.
    #[serde(default)]
    pub protocol: TargetProtocol,
    /// Load that the target reports, as the fraction of its slots in use. It is only a hint.
    #[serde(default)]
    pub load: Option<f32>,
    /// Start of the target's run, in milliseconds since the Unix epoch. Another start at the same address shows that
    /// the run before has ended.
    #[serde(default)]
    pub started_unix_ms: Option<i64>,
}

impl TargetAnnouncement {
    /// Returns whether `next` announces another run than this one.
    pub fn is_other_run(&self, next: &Self) -> bool {
        let starts = self.started_unix_ms.zip(next.started_unix_ms);
        self.address != next.address || starts.is_some_and(|(known, next)| known != next)
    }
}

/// State of the local target.
#[derive(Clone, Debug)]
pub struct LocalTarget {
    /// The latest announcement.
    pub announcement: TargetAnnouncement,
    /// Time of the first announcement from this address.
    pub announced_at: TimeUs,
    /// Time at which the latest announcement expires.
    pub lease_expires_at: TimeUs,
    /// Whether the latest connection attempt succeeded.
    pub reachable: bool,
}

impl LocalTarget {
    /// Returns the state after a first announcement.
    pub fn new(announcement: TargetAnnouncement, now: TimeUs) -> Self {
        Self { announcement, announced_at: now, lease_expires_at: now.plus_ms(ANNOUNCEMENT_LEASE_MS), reachable: true }
    }

    /// Applies a renewed announcement. A changed address means a different target, whose warm-up starts again.
    pub fn renew(&mut self, announcement: TargetAnnouncement, now: TimeUs) {
        if announcement.address != self.announcement.address {
            *self = Self::new(announcement, now);
            return;
        }
        self.announcement = announcement;
        self.lease_expires_at = now.plus_ms(ANNOUNCEMENT_LEASE_MS);
    }

    /// Returns whether calls may be sent to the target.
    pub fn is_usable(&self, now: TimeUs) -> bool {
        now < self.lease_expires_at && self.reachable
    }
}
