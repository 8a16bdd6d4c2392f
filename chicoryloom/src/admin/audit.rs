//! Audit log: one line for each change that an operator attempts, successful or not.

use std::fmt;

use chicoryloom_policy::id;
use smol_str::SmolStr;

use super::change::Error;

/// Description of a change in an audit line; contains neither keys nor digests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Change {
    PutDocument { name: String, expected: id::Revision },
    DeleteDocument { name: String, expected: id::Revision },
    GrantKey { workspace: String },
    WithdrawKey,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::PutDocument { name, expected } => {
                write!(f, "put document {name:?} over version {expected}")
            }
            Self::DeleteDocument { name, expected } => {
                write!(f, "delete document {name:?} at version {expected}")
            }
            Self::GrantKey { workspace } => write!(f, "grant a key to workspace {workspace:?}"),
            Self::WithdrawKey => f.write_str("withdraw a key"),
        }
    }
}

/// Writes the audit line of a change.
pub(super) fn write(operator: &SmolStr, change: &Change, applied: Result<&Applied, &Error>) {
    match applied {
        Ok(applied) => log::info!("audit: {operator}: {change}: done, {applied}"),
        Err(error) => log::info!("audit: {operator}: {change}: not done, {}", error.summary()),
    }
}

/// Result of a successful change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Applied {
    pub(super) version: id::Revision,
    /// Workspace of a withdrawn key; none for other changes.
    pub(super) workspace: Option<id::Workspace>,
}

impl fmt::Display for Applied {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "version {}", self.version)?;
        match &self.workspace {
            Some(workspace) => write!(f, ", workspace {workspace}"),
            None => Ok(()),
        }
    }
}
