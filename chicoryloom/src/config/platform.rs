//! Connection to the platform's object API.

use std::time::Duration;

use chicoryloom_wire::generated::settings as raw;
use reqwest::Url;

use super::Fault;

/// Address of the platform and timeout of its calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Platform {
    pub url: Url,
    /// Timeout of calls other than long polls for changes; above zero.
    pub timeout: Duration,
}

impl TryFrom<raw::Platform> for Platform {
    type Error = Fault;

    fn try_from(raw: raw::Platform) -> Result<Self, Self::Error> {
        if raw.timeout_ms == 0 {
            return Err(Fault::new("platform.timeout_ms", "must be 1 or more"));
        }
        let url: Url = raw.url.parse().map_err(|error| Fault::new("platform.url", error))?;
        if url.scheme() != "http" || url.cannot_be_a_base() {
            return Err(Fault::new("platform.url", "must start with http://"));
        }
        Ok(Self { url, timeout: Duration::from_millis(raw.timeout_ms.into()) })
    }
}
