//! Files that hold a document and its version.

use std::fs;
use std::path::Path;

use crate::client::Document;
use crate::error::Error;

/// Start of the comment line that holds the version.
const VERSION_LINE: &str = "# chicoryctl version ";

/// A document from a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Saved {
    /// Version from the first line of the file, or `None` if that is no version line.
    pub(crate) version: Option<u64>,
    /// Text without the version line.
    pub(crate) text: String,
}

impl Saved {
    fn parse(text: &str) -> Self {
        let first = text.lines().next().unwrap_or_default();
        let version = first.strip_prefix(VERSION_LINE).and_then(|text| text.trim().parse().ok());
        let rest = match version {
            Some(_) => text.split_once('\n').map_or("", |(_, rest)| rest),
            None => text,
        };
        Self { version, text: rest.to_owned() }
    }
}

/// Reads a document from a file.
pub(crate) fn read(path: &Path) -> Result<Saved, Error> {
    let text = fs::read_to_string(path).map_err(|error| Error::File(path.to_owned(), error))?;
    Ok(Saved::parse(&text))
}

/// Writes a document to a file, with its version.
pub(crate) fn write(path: &Path, document: &Document) -> Result<(), Error> {
    let text = format!("{VERSION_LINE}{}\n{}", document.version, document.text);
    fs::write(path, text).map_err(|error| Error::File(path.to_owned(), error))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn version_line_is_stripped() {
        let saved = Saved::parse("# chicoryctl version 7\nservice: calendar\n");
        assert_eq!((saved.version, saved.text.as_str()), (Some(7), "service: calendar\n"));
    }

    #[test]
    fn other_comments_are_kept() {
        let saved = Saved::parse("# ours\nservice: calendar\n");
        assert_eq!((saved.version, saved.text.lines().count()), (None, 2));
    }
}
