//! The operators' command `fulmartrestle`, as a library with one module per command.
//!
//! Flags and their help texts are defined in the `args` module. `docs/API.md` describes the requests that
//! the command sends to the nodes, and `GUIDE.md` shows example sessions.

mod args;
mod client;
mod commands;
mod error;
mod exit;
mod print_line;

pub use args::Args;
pub use commands::run;
pub use error::CliError;
pub use exit::{EXIT_FAILED, EXIT_UNREACHABLE, EXIT_USAGE};
