//! Log output.

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

/// Prefix of the modules whose logs go out at every level.
const OWN_PREFIX: &str = "chicoryloom";

/// Holds back what libraries log below a warning.
///
/// They log paths and headers there, and so keys and digests.
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

/// Sends all logs to standard error in the format and from the level that the settings ask for.
///
/// A second call in one process has no effect.
pub fn init(log: &Log) {
    let level = LevelFilter::MoreSevereEqual(level(log.level));
    let appender = match log.format {
        Format::Text => append::Stderr::default().with_layout(layout::TextLayout::default()),
        Format::Json => append::Stderr::default().with_layout(layout::JsonLayout::default()),
    };
    let builder = logforth::starter_log::builder()
        .dispatch(|d| d.filter(level).filter(LibraryFilter).append(appender));
    // Another host of the same process may have set the logs up.
    let _ = builder.try_apply();
}

/// Sends logs from a level on to standard error as JSON lines.
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
