//! The operators' command. Its exit codes are documented in its help and in `GUIDE.md`.

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

/// Parses the arguments. Help goes to standard output; what is wrong goes to standard error, with the
/// documented exit code in place of the library's.
fn parse_args() -> Result<Args, ExitCode> {
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    Args::from_args(&["fulmartrestle"], words.get(1..).unwrap_or_default()).map_err(|exit| {
        if exit.status.is_ok() {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        } else {
            eprintln!("{}", exit.output);
            ExitCode::from(EXIT_USAGE)
        }
    })
}
