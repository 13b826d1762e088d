//! Errors of the command.

use std::io;

use fulmartrestle_config::SettingsError;
use fulmartrestle_demo::DemoError;
use fulmartrestle_soak::SoakError;
use quick_error::quick_error;

use crate::exit::{EXIT_FAILED, EXIT_UNREACHABLE, EXIT_USAGE};

quick_error! {
    /// Error of a command. Its text is printed on standard error.
    #[derive(Debug)]
    pub enum CliError {
        /// A file could not be read or written; holds its name and the cause.
        File(name: String, cause: io::Error) {
            display("{}: {}", name, cause)
        }
        /// An argument or an input file is invalid.
        Input(detail: String) {
            display("{}", detail)
        }
        /// A node's settings file is invalid.
        Settings(error: SettingsError) {
            display("{}", error)
            from()
        }
        /// The node could not be reached or did not send a valid response.
        Unreachable(node: String, detail: String) {
            display("node {}: {}", node, detail)
        }
        /// The node refused the request; holds the HTTP status and the message.
        Refused(status: u16, detail: String) {
            display("refused ({}): {}", status, detail)
        }
        /// The confirmed plan did not commit.
        NotCommitted(detail: String) {
            display("{}", detail)
        }
        /// The demo could not be run.
        Demo(error: DemoError) {
            display("{}", error)
            from()
        }
        /// The demo ran and violated this number of invariants.
        InvariantsViolated(count: u64) {
            display("{} invariants violated", count)
        }
        /// The soak could not be run.
        Soak(error: SoakError) {
            display("{}", error)
            from()
        }
        /// The soak ran and rules were broken this number of times.
        RulesBroken(count: usize) {
            display("rules broken {} times", count)
        }
    }
}

impl CliError {
    /// Returns the exit code of the process for this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::File(..) | Self::Input(_) | Self::Settings(_) | Self::Soak(SoakError::Option(..)) => EXIT_USAGE,
            Self::Refused(status, _) if (500..600).contains(status) => EXIT_UNREACHABLE,
            Self::Refused(400, _) => EXIT_USAGE,
            Self::Refused(..) | Self::NotCommitted(_) | Self::Demo(_) | Self::InvariantsViolated(_) => EXIT_FAILED,
            Self::Soak(_) | Self::RulesBroken(_) => EXIT_FAILED,
            Self::Unreachable(..) => EXIT_UNREACHABLE,
        }
    }
}
