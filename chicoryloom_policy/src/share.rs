//! How often a host reports to the others.
//!
//! Answers the load of a fleet of hundreds of hosts in which each entry host reports to all others.
//! The interval grows with the number of recipients, so that what a host sends, and what it receives
//! from as many others, stays within a fixed number of messages a second.

use std::time::Duration;

/// Most messages of one kind that a host sends a second.
pub const MAX_MESSAGES_PER_S: u32 = 400;

/// Returns the shortest interval between two messages to each of `recipients` hosts.
pub fn min_interval(recipients: usize) -> Duration {
    let recipients = u32::try_from(recipients).unwrap_or(u32::MAX);
    Duration::from_secs(1).saturating_mul(recipients) / MAX_MESSAGES_PER_S
}
