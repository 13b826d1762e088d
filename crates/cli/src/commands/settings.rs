//! Checks settings files.

use std::path::Path;

use fulmartrestle_config::Settings;

use crate::CliError;
use crate::print_line::print_line;

/// Loads a node's settings file and prints that it is valid.
///
/// # Errors
///
/// Returns the first error in the file, with file, line, field and value.
pub fn check_settings(file: &Path) -> Result<(), CliError> {
    let settings = Settings::load(file)?;
    print_line!("{}: ok, zone {} of region {}", file.display(), settings.availability_zone, settings.region);
    Ok(())
}
