//! Settings of a node.

use std::net::SocketAddr;
use std::path::Path;

use fulmartrestle_core::{AvailabilityZone, ParseError, Region};
use fulmartrestle_derive::{record, value};

use super::{IsolationSettings, Limits, SettingsError};
use crate::jsonc::parse_document;

const LOG_URL_SCHEME: &str = "http://";

/// The lowest severity of log lines that are written.
#[value]
#[derive(Default)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Errors that need an operator.
    Error,
    /// Errors that the node handles itself.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Decisions on individual requests.
    Debug,
    /// Messages exchanged between nodes.
    Trace,
}

impl LogLevel {
    /// All levels, highest severity first.
    pub const ALL: [Self; 5] = [Self::Error, Self::Warn, Self::Info, Self::Debug, Self::Trace];

    /// Returns the level's name as it is written in settings.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }
}

impl std::fmt::Display for LogLevel {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl std::str::FromStr for LogLevel {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let level = Self::ALL.into_iter().find(|level| level.as_str() == text);
        level.ok_or_else(|| ParseError::not_a("log level", text))
    }
}

/// Settings of a node. `docs/CONFIGURATION.md` shows a file with every field.
#[record]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The availability zone that this VM is in.
    pub availability_zone: AvailabilityZone,
    /// The region that the availability zone is in.
    pub region: Region,
    /// Address that callers and the VM's own target connect to, by HTTP/1.1 or h2c.
    pub caller_address: SocketAddr,
    /// Address that other nodes connect to: TCP for calls, and UDP on the same port for gossip.
    pub peer_address: SocketAddr,
    /// Address that operators connect to, and that the VM's own target announces itself at.
    pub admin_address: SocketAddr,
    /// URL of the platform log, for example `http://10.0.0.5:7070`.
    pub log_url: String,
    /// Address that metrics are sent to by UDP; absent if none are sent.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// The lowest severity of log lines that are written.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Whether decisions on individual requests are kept, so that operators can query their reasons.
    #[serde(default)]
    pub explain: bool,
    /// How long calls are served while the zone is isolated.
    #[serde(default)]
    pub isolation: IsolationSettings,
    /// Limits on connections, request heads and bodies.
    #[serde(default)]
    pub limits: Limits,
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, if its text is not valid, with the position, or if a value is
    /// invalid.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&name, &text),
            Err(cause) => Err(SettingsError::Read(name, cause)),
        }
    }

    /// Parses settings. `file_name` is used in error messages.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not valid, with the position, or if a value is invalid.
    pub fn parse(file_name: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = parse_document(file_name, text)?;
        settings.validate(file_name)?;
        Ok(settings)
    }

    fn validate(&self, file: &str) -> Result<(), SettingsError> {
        let invalid_value = |field: &str, value: String, reason: &str| {
            let [file, field, reason] = [file, field, reason].map(str::to_owned);
            Err(SettingsError::Value(file, field, value, reason))
        };
        let log_address = self.log_url.strip_prefix(LOG_URL_SCHEME).map(str::parse::<SocketAddr>);
        if !matches!(log_address, Some(Ok(_))) {
            return invalid_value("log_url", self.log_url.clone(), "expected http://IP:PORT");
        }
        // The system assigns a free port to each listener with port 0, so two of them can't conflict.
        let is_same_listener = |left: SocketAddr, right: SocketAddr| left == right && left.port() != 0;
        if is_same_listener(self.caller_address, self.peer_address)
            || is_same_listener(self.caller_address, self.admin_address)
        {
            return invalid_value(
                "caller_address",
                self.caller_address.to_string(),
                "two listeners have the same address",
            );
        }
        if is_same_listener(self.peer_address, self.admin_address) {
            return invalid_value("peer_address", self.peer_address.to_string(), "two listeners have the same address");
        }
        let sizes = [
            ("limits.max_header_bytes", self.limits.max_header_bytes),
            ("limits.max_body_bytes", self.limits.max_body_bytes),
            ("limits.max_connections", self.limits.max_connections),
        ];
        match sizes.into_iter().find(|(_, size)| *size == 0) {
            Some((field, size)) => invalid_value(field, size.to_string(), "expected at least 1"),
            None => Ok(()),
        }
    }
}
