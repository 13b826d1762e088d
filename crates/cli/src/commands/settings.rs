//! Checks a settings file.

use std::path::Path;

use fulmartrestle_config::Settings;

use crate::CliError;
use crate::print_line::print_line;

/// Reads settings and says that they are sound.
///
/// # Errors
///
/// Returns the first fault with file, line, field and value.
pub fn check_settings(file: &Path) -> Result<(), CliError> {
    let settings = Settings::load(file)?;
    print_line!("{}: ok, zone {} of region {}", file.display(), settings.availability_zone, settings.region);
    Ok(())
}
