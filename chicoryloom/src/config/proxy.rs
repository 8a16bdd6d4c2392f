//! Limits and timeouts of the proxy.

use std::time::Duration;

use chicoryloom_wire::generated::settings as raw;

use super::Fault;

/// Minimum header buffer that the HTTP library accepts, in bytes.
const MIN_HEADER_BYTES: u32 = 8192;

/// Limits and timeouts of the proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Proxy {
    /// Maximum number of open caller connections; 1 or more.
    pub connections: usize,
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// Timeout for a request's head to arrive.
    pub header_timeout: Duration,
    /// Timeout for connecting to a target.
    pub connect_timeout: Duration,
    /// Maximum pause within a response.
    pub idle_timeout: Duration,
    /// How long callers may cache a locator response.
    pub max_age: Duration,
}

impl TryFrom<raw::Proxy> for Proxy {
    type Error = Fault;

    fn try_from(raw: raw::Proxy) -> Result<Self, Self::Error> {
        if raw.connections == 0 {
            return Err(Fault::new("proxy.connections", "must be 1 or more"));
        }
        if raw.header_bytes < MIN_HEADER_BYTES {
            let reason = format!("must be {MIN_HEADER_BYTES} or more");
            return Err(Fault::new("proxy.header_bytes", reason));
        }
        Ok(Self {
            connections: raw.connections as usize,
            header_bytes: raw.header_bytes as usize,
            body_bytes: raw.body_bytes,
            header_timeout: millis("proxy.header_timeout_ms", raw.header_timeout_ms)?,
            connect_timeout: millis("proxy.connect_timeout_ms", raw.connect_timeout_ms)?,
            idle_timeout: millis("proxy.idle_timeout_ms", raw.idle_timeout_ms)?,
            max_age: Duration::from_secs(raw.max_age_s.into()),
        })
    }
}

fn millis(field: &'static str, value: u32) -> Result<Duration, Fault> {
    if value == 0 {
        return Err(Fault::new(field, "must be 1 or more"));
    }
    Ok(Duration::from_millis(value.into()))
}
