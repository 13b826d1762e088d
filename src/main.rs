//! Command-line tool for operators. Its exit codes are documented in its help text and in `GUIDE.md`.

use std::process::ExitCode;

use argh::FromArgs;
use fulmartrestle_cli::{Args, EXIT_USAGE, run};

#[tokio::main]
async fn main() -> ExitCode {
    let args = match parse_args() {
        Ok(args) => args,
        Err(code) => return code,
    };
    match run(args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fulmartrestle: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// Parses the command line. Prints help to standard output and usage errors to standard error, and exits
/// with the documented code for usage errors instead of the one that `argh` uses.
fn parse_args() -> Result<Args, ExitCode> {
    let arguments: Vec<String> = std::env::args().collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    Args::from_args(&["fulmartrestle"], arguments.get(1..).unwrap_or_default()).map_err(|early_exit| {
        if early_exit.status.is_ok() {
            println!("{}", early_exit.output);
            ExitCode::SUCCESS
        } else {
            eprintln!("{}", early_exit.output);
            ExitCode::from(EXIT_USAGE)
        }
    })
}
