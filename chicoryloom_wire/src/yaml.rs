//! YAML with located errors and a list of unknown fields.

use std::fmt;

use serde::de::DeserializeOwned;

/// A text that is no valid YAML for its schema.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    /// Line of the fault, from 1, if it is known.
    pub line: Option<u64>,
    /// What is wrong, with the field's name.
    pub reason: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            Some(line) => write!(f, "line {line}: {}", self.reason),
            None => f.write_str(&self.reason),
        }
    }
}

impl std::error::Error for Error {}

/// A parsed value, with the paths of the fields that its schema doesn't know.
#[derive(Clone, Debug)]
pub struct Parsed<T> {
    pub value: T,
    pub unknown: Vec<String>,
}

/// Parses a YAML text.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<Parsed<T>, Error> {
    let mut unknown = Vec::new();
    let value = serde_saphyr::with_deserializer_from_str(text, |deserializer| {
        serde_ignored::deserialize(deserializer, |path| unknown.push(path.to_string()))
    });
    match value {
        Ok(value) => Ok(Parsed { value, unknown }),
        Err(error) => Err(located(&error)),
    }
}

fn located(error: &serde_saphyr::Error) -> Error {
    let line = error.location().map(|location| location.line());
    let text = error.without_snippet().to_string();
    let reason = text.lines().next().unwrap_or_default().to_owned();
    Error { line, reason }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::generated::document::Document;

    #[test]
    fn unknown_fields_are_listed() {
        let text = "service: a\nroutes: []\ntargets: []\nflor: 1\n";
        let parsed = parse::<Document>(text).unwrap();
        assert_eq!(parsed.unknown, ["flor"]);
    }

    #[test]
    fn errors_name_line_and_field() {
        let text = "service: a\nroutes: []\ntargets: []\nfloor: high\n";
        let error = parse::<Document>(text).unwrap_err();
        assert_eq!(error.line, Some(4), "{error}");
    }
}
