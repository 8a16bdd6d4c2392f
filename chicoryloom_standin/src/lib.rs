//! Test doubles for the systems around chicoryloom: the platform, targets and faulty links.
//!
//! Each runs in its own process through the `chicoryloom-standin` program, or inside another
//! program's runtime through its `start` function. Faults are switched over HTTP under live
//! traffic.

pub mod content;
pub mod link;
pub mod platform;
pub mod target;
