//! Command line of the entry host.

use std::path::PathBuf;

use gumdrop::Options;

/// Options of the program.
#[derive(Debug, Options)]
pub struct Cli {
    #[options(help = "print help")]
    pub help: bool,
    #[options(short = "V", help = "print the version")]
    pub version: bool,
    #[options(help = "settings file, in YAML", meta = "FILE")]
    pub settings: Option<PathBuf>,
    #[options(help = "check the settings file and exit")]
    pub check: bool,
}
