//! A builder of settings for programs and tests.

use std::net::{Ipv4Addr, SocketAddr};

use fulmartrestle_core::{AvailabilityZone, Region};

use super::{IsolationSettings, Limits, LogLevel, Settings};

/// Builds settings. Defaults: all listeners on the loopback address with a port that the system
/// picks, the log at `http://127.0.0.1:7070`, no metrics, log level `info`, no explanations,
/// default limits and isolation.
#[derive(Clone, Debug)]
pub struct SettingsBuilder {
    settings: Settings,
}

impl SettingsBuilder {
    /// Starts from the defaults for a node in `availability_zone` of `region`.
    pub fn new(availability_zone: AvailabilityZone, region: Region) -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let settings = Settings {
            availability_zone,
            region,
            caller_address: any_port,
            peer_address: any_port,
            admin_address: any_port,
            log_url: "http://127.0.0.1:7070".to_owned(),
            metrics_address: None,
            log_level: LogLevel::Info,
            explain: false,
            isolation: IsolationSettings::default(),
            limits: Limits::default(),
        };
        Self { settings }
    }

    /// Sets where callers connect.
    pub fn caller_address(mut self, address: SocketAddr) -> Self {
        self.settings.caller_address = address;
        self
    }

    /// Sets where other nodes connect.
    pub fn peer_address(mut self, address: SocketAddr) -> Self {
        self.settings.peer_address = address;
        self
    }

    /// Sets where operators connect.
    pub fn admin_address(mut self, address: SocketAddr) -> Self {
        self.settings.admin_address = address;
        self
    }

    /// Sets the platform's log.
    pub fn log_url(mut self, url: &str) -> Self {
        self.settings.log_url = url.to_owned();
        self
    }

    /// Sets where metrics are sent.
    pub fn metrics_address(mut self, address: SocketAddr) -> Self {
        self.settings.metrics_address = Some(address);
        self
    }

    /// Sets the least important log lines that are written.
    pub fn log_level(mut self, level: LogLevel) -> Self {
        self.settings.log_level = level;
        self
    }

    /// Sets whether decisions on single requests are kept.
    pub fn explain(mut self, explain: bool) -> Self {
        self.settings.explain = explain;
        self
    }

    /// Sets what goes on while the zone is isolated.
    pub fn isolation(mut self, isolation: IsolationSettings) -> Self {
        self.settings.isolation = isolation;
        self
    }

    /// Sets the bounds on connections, heads and bodies.
    pub fn limits(mut self, limits: Limits) -> Self {
        self.settings.limits = limits;
        self
    }

    /// Returns the settings. They are not checked: a port of zero is fine for tests.
    pub fn build(self) -> Settings {
        self.settings
    }
}
