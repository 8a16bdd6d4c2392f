//! Set-up of logging.

use logforth::Diagnostic;
use logforth::Filter;
use logforth::append;
use logforth::filter::FilterResult;
use logforth::layout;
use logforth::record::FilterCriteria;
use logforth::record::Level;
use logforth::record::LevelFilter;

use crate::config::log::Format;
use crate::config::log::Log;

/// Prefix of this project's modules, which log at every level that the settings allow.
const OWN_PREFIX: &str = "chicoryloom";

/// Drops log records of libraries that are less severe than a warning.
///
/// Those contain paths and headers, and thus keys and digests.
#[derive(Clone, Copy, Debug)]
struct LibraryFilter;

impl Filter for LibraryFilter {
    fn enabled(&self, criteria: &FilterCriteria<'_>, _: &[Box<dyn Diagnostic>]) -> FilterResult {
        let passes = LevelFilter::MoreSevereEqual(Level::Warn).test(criteria.level());
        if passes || criteria.target().starts_with(OWN_PREFIX) {
            FilterResult::Neutral
        } else {
            FilterResult::Reject
        }
    }
}

/// Writes logs to standard error with the configured format and level.
///
/// Only the first call in a process has an effect.
pub fn init(log: &Log) {
    let level = LevelFilter::MoreSevereEqual(level(log.level));
    let appender = match log.format {
        Format::Text => append::Stderr::default().with_layout(layout::TextLayout::default()),
        Format::Json => append::Stderr::default().with_layout(layout::JsonLayout::default()),
    };
    let builder = logforth::starter_log::builder()
        .dispatch(|d| d.filter(level).filter(LibraryFilter).append(appender));
    // Another host in the same process may have set up logging.
    let _ = builder.try_apply();
}

/// Writes logs of a level and above to standard error as JSON lines.
pub fn init_json(level: log::Level) {
    init(&Log { level, format: Format::Json });
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
