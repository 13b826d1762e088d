//! Log lines on standard error.

use fulmartrestle_config::settings::LogLevel;

/// Writes log lines of at least `level` to standard error: time, level, then a sentence that begins
/// with its part of the node.
///
/// # Errors
///
/// Returns an error when the process has a logger already.
pub fn init_logging(level: LogLevel) -> Result<(), log::SetLoggerError> {
    let dispatch = fern::Dispatch::new()
        .format(|output, message, record| {
            output.finish(format_args!("{} {:5} {message}", crate::clock::wall_ms(), record.level()));
        })
        .level(log::LevelFilter::Warn)
        .level_for("fulmartrestle_node", filter(level))
        .level_for("fulmartrestle_platform_log", filter(level))
        .level_for("fulmartrestled", filter(level));
    dispatch.chain(std::io::stderr()).apply()
}

fn filter(level: LogLevel) -> log::LevelFilter {
    match level {
        LogLevel::Error => log::LevelFilter::Error,
        LogLevel::Warn => log::LevelFilter::Warn,
        LogLevel::Info => log::LevelFilter::Info,
        LogLevel::Debug => log::LevelFilter::Debug,
        LogLevel::Trace => log::LevelFilter::Trace,
    }
}
