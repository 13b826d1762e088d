//! The operators' command `fulmartrestle`, as a library with one module per command.
//!
//! Each flag is defined in one place, with its help. `docs/API.md` describes what the command says
//! to the nodes, and `GUIDE.md` shows sessions.

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
