//! Stand-ins for what chicoryloom works with: the platform, targets and faulty links.
//!
//! Each runs inside a process of its own through the `chicoryloom-standin` program, or inside
//! another program's runtime through its `start` function. Faults are switched over HTTP while
//! traffic goes on.

pub mod content;
pub mod link;
pub mod platform;
pub mod target;
