//! Settings of one node.

use std::net::SocketAddr;
use std::path::Path;

use fulmartrestle_core::{AvailabilityZone, ParseError, Region};
use fulmartrestle_derive::{record, value};

use super::{IsolationSettings, Limits, SettingsError};
use crate::jsonc::parse_document;

const LOG_URL_SCHEME: &str = "http://";

/// The least important log lines that are written.
#[value]
#[derive(Default)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Faults that need an operator.
    Error,
    /// Faults that the node handles.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Decisions on single requests.
    Debug,
    /// Messages between nodes.
    Trace,
}

impl LogLevel {
    /// All levels, fewest lines first.
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
        let found = Self::ALL.into_iter().find(|level| level.as_str() == text);
        found.ok_or_else(|| ParseError::not_a("log level", text))
    }
}

/// Settings of one node. `docs/CONFIGURATION.md` shows a file with every field.
#[record]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The availability zone this VM is in.
    pub availability_zone: AvailabilityZone,
    /// The region the availability zone is in.
    pub region: Region,
    /// Where callers and the VM's own target connect, HTTP/1.1 and h2c.
    pub caller_address: SocketAddr,
    /// Where other nodes connect: TCP for calls, and UDP on the same port for gossip.
    pub peer_address: SocketAddr,
    /// Where operators connect and the VM's own target announces itself.
    pub admin_address: SocketAddr,
    /// The platform's log, for example `http://10.0.0.5:7070`.
    pub log_url: String,
    /// Where metrics are sent, by UDP; absent for none.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// The least important log lines that are written.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Whether decisions on single requests are kept, so that operators can ask for the reason.
    #[serde(default)]
    pub explain: bool,
    /// What goes on while the zone is isolated.
    #[serde(default)]
    pub isolation: IsolationSettings,
    /// Bounds on connections, heads and bodies.
    #[serde(default)]
    pub limits: Limits,
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns the fault of the file, of the text with its place, or of a value that can't work.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&name, &text),
            Err(cause) => Err(SettingsError::Read(name, cause)),
        }
    }

    /// Reads settings from text; `file_name` appears in errors.
    ///
    /// # Errors
    ///
    /// Returns the fault of the text with its place, or of a value that can't work.
    pub fn parse(file_name: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = parse_document(file_name, text)?;
        settings.check(file_name)?;
        Ok(settings)
    }

    fn check(&self, file: &str) -> Result<(), SettingsError> {
        let fail = |field: &str, value: String, reason: &str| {
            let [file, field, reason] = [file, field, reason].map(str::to_owned);
            Err(SettingsError::Value(file, field, value, reason))
        };
        let log_address = self.log_url.strip_prefix(LOG_URL_SCHEME).map(str::parse::<SocketAddr>);
        if !matches!(log_address, Some(Ok(_))) {
            return fail("log_url", self.log_url.clone(), "expected http://IP:PORT");
        }
        // Port 0 takes a free port for each listener, so that two of them never meet.
        let same = |left: SocketAddr, right: SocketAddr| left == right && left.port() != 0;
        if same(self.caller_address, self.peer_address) || same(self.caller_address, self.admin_address) {
            return fail("caller_address", self.caller_address.to_string(), "two listeners have the same address");
        }
        if same(self.peer_address, self.admin_address) {
            return fail("peer_address", self.peer_address.to_string(), "two listeners have the same address");
        }
        let sizes = [
            ("limits.max_header_bytes", self.limits.max_header_bytes),
            ("limits.max_body_bytes", self.limits.max_body_bytes),
            ("limits.max_connections", self.limits.max_connections),
        ];
        match sizes.into_iter().find(|(_, size)| *size == 0) {
            Some((field, size)) => fail(field, size.to_string(), "expected at least 1"),
            None => Ok(()),
        }
    }
}
