//! Why a command failed, and what to do next.

use std::fmt;
use std::io;
use std::path::PathBuf;

use serde_json::Value;

/// A call was refused or the host could not be reached.
const EXIT_FAILED: u8 = 1;
/// The command line is wrong.
const EXIT_USAGE: u8 = 2;
/// Another operator changed the document meanwhile.
const EXIT_CONFLICT: u8 = 3;
/// The document or the key is not valid.
const EXIT_INVALID: u8 = 4;

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum Error {
    Usage(String),
    File(PathBuf, io::Error),
    /// No response from the host.
    NoAnswer(String, reqwest::Error),
    /// The host refused the call; `body` is its response.
    Refused {
        status: u16,
        body: Value,
    },
    /// Another operator has written a newer version, which is saved to a file.
    Conflict {
        version: u64,
        saved_to: PathBuf,
    },
}

impl Error {
    /// Returns the program's exit code.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => EXIT_USAGE,
            Self::Conflict { .. } | Self::Refused { status: 409, .. } => EXIT_CONFLICT,
            Self::Refused { status: 422, .. } => EXIT_INVALID,
            Self::File(..) | Self::NoAnswer(..) | Self::Refused { .. } => EXIT_FAILED,
        }
    }

    /// Returns what the operator can do next, if there is advice.
    pub(crate) fn advice(&self) -> Option<String> {
        let advice = match self {
            Self::Usage(_) | Self::File(..) => return None,
            Self::NoAnswer(..) => {
                "name another host with --admin or CHICORY_ADMIN; a change may have been made, \
                 so check with status, get or keys before you repeat it"
            }
            Self::Conflict { saved_to, .. } => {
                let saved_to = saved_to.display();
                return Some(format!("add your change to {saved_to}, then put that file"));
            }
            Self::Refused { status: 401, .. } => {
                "pass an operator token from the hosts' settings with --token or CHICORY_TOKEN"
            }
            Self::Refused { status: 404, .. } => {
                "status lists the documents, and keys lists the digests"
            }
            Self::Refused { status: 409, .. } => {
                "get the newer version, make your change in it, and put it"
            }
            Self::Refused { status: 422, .. } => "correct the errors above and try again",
            Self::Refused { status: 428, .. } => "pass the version that you read with --expect",
            Self::Refused { status: 503, .. } => {
                "the platform is away; the fleet keeps the documents and keys in force, so try \
                 again later"
            }
            Self::Refused { .. } => return None,
        };
        Some(advice.to_owned())
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(reason) => f.write_str(reason),
            Self::File(path, error) => write!(f, "{}: {error}", path.display()),
            Self::NoAnswer(peer, error) => write!(f, "{peer}: no answer: {error}"),
            Self::Refused { status, body } => fmt_refusal(f, *status, body),
            Self::Conflict { version, saved_to } => {
                write!(
                    f,
                    "version {version} was written in the meantime; it is saved to {}",
                    saved_to.display()
                )
            }
        }
    }
}

fn fmt_refusal(f: &mut fmt::Formatter<'_>, status: u16, body: &Value) -> fmt::Result {
    let Some(faults) = body["faults"].as_array() else {
        return write!(f, "status {status}: {}", body["detail"].as_str().unwrap_or("no detail"));
    };
    write!(f, "the document is not valid:")?;
    for fault in faults {
        let reason = fault["reason"].as_str().unwrap_or_default();
        match (fault["field"].as_str(), fault["line"].as_u64()) {
            (Some(field), _) => write!(f, "\n  {field}: {reason}")?,
            (None, Some(line)) => write!(f, "\n  line {line}: {reason}")?,
            (None, None) => write!(f, "\n  {reason}")?,
        }
    }
    Ok(())
}

impl std::error::Error for Error {}
