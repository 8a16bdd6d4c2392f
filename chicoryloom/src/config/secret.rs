//! Secrets, read from the settings, a file or the environment.

use std::env;
use std::fs;

use super::Fault;

/// Reads a secret from `file:PATH` or `env:NAME`; any other text is the secret itself.
pub(super) fn read(field: &'static str, text: &str) -> Result<String, Fault> {
    let secret = if let Some(path) = text.strip_prefix("file:") {
        fs::read_to_string(path).map_err(|error| Fault::new(field, format!("{path}: {error}")))?
    } else if let Some(name) = text.strip_prefix("env:") {
        env::var(name).map_err(|error| Fault::new(field, format!("{name}: {error}")))?
    } else {
        text.to_owned()
    };
    let secret = secret.trim().to_owned();
    if secret.is_empty() {
        return Err(Fault::new(field, "is empty"));
    }
    Ok(secret)
}
