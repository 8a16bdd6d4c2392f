//! Log level and format.

use chicoryloom_wire::generated::settings as raw;

use super::Fault;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    Text,
    Json,
}

/// Log level and format.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Log {
    /// Least severe level that is written.
    pub level: log::Level,
    pub format: Format,
}

impl TryFrom<raw::Log> for Log {
    type Error = Fault;

    fn try_from(raw: raw::Log) -> Result<Self, Self::Error> {
        let reason = "must be error, warn, info, debug or trace";
        let level = raw.level.parse().map_err(|_| Fault::new("log.level", reason))?;
        let format = match raw.format.as_str() {
            "text" => Format::Text,
            "json" => Format::Json,
            _ => return Err(Fault::new("log.format", "must be text or json")),
        };
        Ok(Self { level, format })
    }
}
