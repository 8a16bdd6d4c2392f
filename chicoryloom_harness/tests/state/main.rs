//! Accepted state under faults, with real processes behind the link.

mod change;
mod outage;
mod partition;
mod pause;
mod support;
