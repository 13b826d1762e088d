//! What the own target announced about itself.

use std::net::SocketAddr;

use fulmartrestle_core::{Service, TimeUs};
use fulmartrestle_derive::{record, value};

/// An announcement that is not renewed within this time takes the target out of use. Three renewals
/// may be lost.
pub const ANNOUNCEMENT_LEASE_MS: u64 = 3_000;

/// The protocol that a target speaks.
#[value]
#[derive(Default)]
#[serde(rename_all = "snake_case")]
pub enum TargetProtocol {
    /// HTTP/1.1.
    #[default]
    Http1,
    /// HTTP/2 without TLS, with prior knowledge.
    H2c,
}

/// What a target tells its own node, once a second.
#[record]
#[serde(deny_unknown_fields)]
pub struct TargetAnnouncement {
    /// Service that the target offers.
    pub service: Service,
    /// Where the target listens.
    pub address: SocketAddr,
    /// Calls that the target runs at one time.
    pub slots: u32,
    /// Connections that the target accepts.
    pub connections: u32,
    /// Time from the target's start until it is at full speed, in milliseconds.
    #[serde(default)]
    pub warm_up_ms: u32,
    /// Whether the target wants no new calls.
    #[serde(default)]
    pub leaving: bool,
    /// Protocol that the target speaks.
    #[serde(default)]
    pub protocol: TargetProtocol,
    /// Load that the target reports, as the share of its slots in use; a hint only.
    #[serde(default)]
    pub load: Option<f32>,
}

/// The own target's row.
#[derive(Clone, Debug)]
pub struct LocalTarget {
    /// The latest announcement.
    pub announcement: TargetAnnouncement,
    /// When the first announcement came.
    pub since: TimeUs,
    /// When the announcement lapses.
    pub lease_expires_at: TimeUs,
    /// Whether the latest connection attempt succeeded.
    pub reachable: bool,
}

impl LocalTarget {
    /// Returns the row for a first announcement.
    pub fn new(announcement: TargetAnnouncement, now: TimeUs) -> Self {
        Self { announcement, since: now, lease_expires_at: now.plus_ms(ANNOUNCEMENT_LEASE_MS), reachable: true }
    }

    /// Takes a renewed announcement. Another address is another target, which starts cold.
    pub fn renew(&mut self, announcement: TargetAnnouncement, now: TimeUs) {
        if announcement.address != self.announcement.address {
            *self = Self::new(announcement, now);
            return;
        }
        self.announcement = announcement;
        self.lease_expires_at = now.plus_ms(ANNOUNCEMENT_LEASE_MS);
    }

    /// Tells whether the target may be handed calls.
    pub fn is_usable(&self, now: TimeUs) -> bool {
        now < self.lease_expires_at && self.reachable
    }
}
