//! Why an experiment could not be carried out.

use std::fmt;
use std::io;
use std::path::Path;
use std::path::PathBuf;

/// Why an experiment could not be carried out.
#[derive(Debug)]
pub enum Error {
    /// A file could not be read or written.
    File(PathBuf, io::Error),
    /// A scenario's text is no valid YAML for its schema.
    Yaml(PathBuf, chicoryloom_wire::yaml::Error),
    /// A field of a scenario is out of its bounds.
    Invalid { field: String, reason: String },
    /// A process of the fleet, or a call to it, failed.
    Fleet { step: &'static str, error: chicoryloom_harness::Error },
}

impl Error {
    pub(crate) fn invalid(field: impl Into<String>, reason: impl Into<String>) -> Self {
        Self::Invalid { field: field.into(), reason: reason.into() }
    }

    pub(crate) fn file(path: &Path) -> impl FnOnce(io::Error) -> Self {
        let path = path.to_owned();
        move |error| Self::File(path, error)
    }

    pub(crate) fn fleet(step: &'static str) -> impl FnOnce(chicoryloom_harness::Error) -> Self {
        move |error| Self::Fleet { step, error }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Yaml(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Invalid { field, reason } => write!(f, "{field}: {reason}"),
            Self::Fleet { step, error } => write!(f, "{step}: {error}"),
        }
    }
}

impl std::error::Error for Error {}
