//! Errors of the command.

use std::io;

use fulmartrestle_config::SettingsError;
use fulmartrestle_demo::DemoError;
use quick_error::quick_error;

use crate::exit::{EXIT_FAILED, EXIT_UNREACHABLE, EXIT_USAGE};

quick_error! {
    /// Why the command did not do what it was asked.
    #[derive(Debug)]
    pub enum CliError {
        /// A file could not be read: its name and the cause.
        File(name: String, cause: io::Error) {
            display("{}: {}", name, cause)
        }
        /// A text is not what it should be.
        Input(detail: String) {
            display("{}", detail)
        }
        /// Node settings are wrong.
        Settings(error: SettingsError) {
            display("{}", error)
            from()
        }
        /// The node could not be reached.
        Unreachable(node: String, detail: String) {
            display("node {}: {}", node, detail)
        }
        /// The node refused the request.
        Refused(status: u16, detail: String) {
            display("refused ({}): {}", status, detail)
        }
        /// A plan did not commit.
        NotCommitted(detail: String) {
            display("{}", detail)
        }
        /// The demo could not run.
        Demo(error: DemoError) {
            display("{}", error)
            from()
        }
        /// The demo ran and an invariant was violated.
        InvariantsViolated(count: u64) {
            display("{} violations of invariants", count)
        }
    }
}

impl CliError {
    /// Returns the exit code that belongs to the error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::File(..) | Self::Input(_) | Self::Settings(_) => EXIT_USAGE,
            Self::Refused(status, _) if (500..600).contains(status) => EXIT_UNREACHABLE,
            Self::Refused(400, _) => EXIT_USAGE,
            Self::Refused(..) | Self::NotCommitted(_) | Self::Demo(_) | Self::InvariantsViolated(_) => EXIT_FAILED,
            Self::Unreachable(..) => EXIT_UNREACHABLE,
        }
    }
}
