//! Logging to standard error.

use fulmartrestle_config::settings::LogLevel;

/// Installs a logger that writes lines of at least `level` to standard error.
///
/// A line consists of the time in milliseconds since the Unix epoch, the level, and a message that starts with the
/// name of the component.
///
/// # Errors
///
/// Returns an error when the process already has a logger.
pub fn init_logging(level: LogLevel) -> Result<(), log::SetLoggerError> {
    let dispatch = fern::Dispatch::new()
        .format(|output, message, record| {
            output.finish(format_args!("{} {:5} {message}", crate::clock::wall_ms(), record.level()));
        })
        .level(log::LevelFilter::Warn)
        .level_for("fulmartrestle_node", level_filter(level))
        .level_for("fulmartrestle_platform_log", level_filter(level))
        .level_for("fulmartrestled", level_filter(level));
    dispatch.chain(std::io::stderr()).apply()
}

fn level_filter(level: LogLevel) -> log::LevelFilter {
    match level {
        LogLevel::Error => log::LevelFilter::Error,
        LogLevel::Warn => log::LevelFilter::Warn,
        LogLevel::Info => log::LevelFilter::Info,
        LogLevel::Debug => log::LevelFilter::Debug,
        LogLevel::Trace => log::LevelFilter::Trace,
    }
}
