//! Command line of the load generator.

use std::path::PathBuf;

use chicoryloom_load::Part;
use gumdrop::Options;

/// Options of the program.
#[derive(Debug, Options)]
pub(crate) struct Cli {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(help = "print the version")]
    pub(crate) version: bool,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

/// What to do.
#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "check a scenario without running it")]
    Check(CheckOptions),
    #[options(help = "run a scenario; the exit status tells whether every invariant held")]
    Run(RunOptions),
    #[options(help = "run a scenario with each choice of a decision, and print the ratios")]
    Compare(CompareOptions),
    #[options(help = "measure what one hop through a host costs")]
    Hop(HopOptions),
    #[options(help = "measure how the costs of control grow with hosts, keys and documents")]
    Slopes(SlopesOptions),
}

/// Options of `check`.
#[derive(Debug, Options)]
pub(crate) struct CheckOptions {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(free, required, help = "scenario file")]
    pub(crate) scenario: PathBuf,
}

/// Options of `run`.
#[derive(Debug, Options)]
pub(crate) struct RunOptions {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(free, required, help = "scenario file")]
    pub(crate) scenario: PathBuf,
    #[options(help = "folder for the result and the report", default = "load-out")]
    pub(crate) out: PathBuf,
    #[options(help = "seed in place of the scenario's")]
    pub(crate) seed: Option<u64>,
}

/// Options of `compare`.
#[derive(Debug, Options)]
pub(crate) struct CompareOptions {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(free, required, help = "scenario file")]
    pub(crate) scenario: PathBuf,
    #[options(help = "decision to compare: division or detection", default = "division")]
    pub(crate) by: String,
    #[options(help = "folder for the results and reports", default = "load-out")]
    pub(crate) out: PathBuf,
    #[options(help = "seed in place of the scenario's")]
    pub(crate) seed: Option<u64>,
}

/// Options of `hop`.
#[derive(Debug, Options)]
pub(crate) struct HopOptions {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(help = "seconds of each round", default = "5")]
    pub(crate) seconds: u64,
}

/// Options of `slopes`.
#[derive(Debug, Options)]
pub(crate) struct SlopesOptions {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(free, help = "parts: hosts, keys, documents; none means all")]
    pub(crate) parts: Vec<Part>,
}
