//! The edge towards callers and targets, with real processes.

mod answer;
mod bound;
mod request;
mod support;
