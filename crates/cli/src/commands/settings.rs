//! Checks a settings file.

use std::path::Path;

use fulmartrestle_config::Settings;

use crate::CliError;
use crate::say::say;

/// Reads settings and says that they are sound.
///
/// # Errors
///
/// Returns the first fault with file, line, field and value.
pub fn check(file: &Path) -> Result<(), CliError> {
    let settings = Settings::load(file)?;
    say!("{}: ok, zone {} of region {}", file.display(), settings.availability_zone, settings.region);
    Ok(())
}
