//! Log output.

use logforth::append;
use logforth::layout;
use logforth::record::Level;
use logforth::record::LevelFilter;

use crate::config::log::Format;
use crate::config::log::Log;

/// Sends all logs to standard error in the format and from the level that the settings ask for.
///
/// A second call in one process has no effect.
pub fn init(log: &Log) {
    let level = LevelFilter::MoreSevereEqual(level(log.level));
    let appender = match log.format {
        Format::Text => append::Stderr::default().with_layout(layout::TextLayout::default()),
        Format::Json => append::Stderr::default().with_layout(layout::JsonLayout::default()),
    };
    let started = logforth::starter_log::builder().dispatch(|d| d.filter(level).append(appender));
    // Another host of the same process may have set the logs up.
    let _ = started.try_apply();
}

fn level(level: log::Level) -> Level {
    match level {
        log::Level::Error => Level::Error,
        log::Level::Warn => Level::Warn,
        log::Level::Info => Level::Info,
        log::Level::Debug => Level::Debug,
        log::Level::Trace => Level::Trace,
    }
}
