//! Gray targets and hosts that leave, with real processes.

mod crash;
mod detect;
mod leave;
mod retry;
mod support;
mod whole;
