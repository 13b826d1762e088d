//! Builder of settings for programs and tests.

use std::net::{Ipv4Addr, SocketAddr};

use fulmartrestle_core::{AvailabilityZone, Region};

use super::{IsolationSettings, Limits, LogLevel, Settings};

/// Builds settings. By default all listeners use the loopback address and a port assigned by the system, the log is
/// at `http://127.0.0.1:7070`, metrics and explanations are off, the log level is `info`, and limits and isolation
/// have their default values.
#[derive(Clone, Debug)]
pub struct SettingsBuilder {
    settings: Settings,
}

impl SettingsBuilder {
    /// Returns a builder with default settings for a node in `availability_zone` of `region`.
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

    /// Sets the address that callers connect to.
    pub fn caller_address(mut self, address: SocketAddr) -> Self {
        self.settings.caller_address = address;
        self
    }

    /// Sets the address that other nodes connect to.
    pub fn peer_address(mut self, address: SocketAddr) -> Self {
        self.settings.peer_address = address;
        self
    }

    /// Sets the address that operators connect to.
    pub fn admin_address(mut self, address: SocketAddr) -> Self {
        self.settings.admin_address = address;
        self
    }

    /// Sets the URL of the platform log.
    pub fn log_url(mut self, url: &str) -> Self {
        self.settings.log_url = url.to_owned();
        self
    }

    /// Sets the address that metrics are sent to, which turns them on.
    pub fn metrics_address(mut self, address: SocketAddr) -> Self {
        self.settings.metrics_address = Some(address);
        self
    }

    /// Sets the lowest severity of log lines that are written.
    pub fn log_level(mut self, level: LogLevel) -> Self {
        self.settings.log_level = level;
        self
    }

    /// Sets whether decisions on individual requests are kept, so that operators can query them.
    pub fn explain(mut self, explain: bool) -> Self {
        self.settings.explain = explain;
        self
    }

    /// Sets how long calls are served while the zone is isolated.
    pub fn isolation(mut self, isolation: IsolationSettings) -> Self {
        self.settings.isolation = isolation;
        self
    }

    /// Sets the limits on connections, request heads and bodies.
    pub fn limits(mut self, limits: Limits) -> Self {
        self.settings.limits = limits;
        self
    }

    /// Returns the settings without validating them. Tests use port zero, for which the system assigns a free port.
    pub fn build(self) -> Settings {
        self.settings
    }
}
