//! Command-line options of `chicoryloom-standin`.

use std::net::SocketAddr;

use gumdrop::Options;

/// Top-level options.
#[derive(Debug, Options)]
pub struct Cli {
    #[options(help = "print help")]
    pub help: bool,
    #[options(help = "print the version")]
    pub version: bool,
    #[options(command)]
    pub command: Option<Command>,
}

/// Which stand-in to run.
#[derive(Debug, Options)]
pub enum Command {
    #[options(help = "run the platform's object API")]
    Platform(PlatformOptions),
    #[options(help = "run a target")]
    Target(TargetOptions),
    #[options(help = "run a fault-injecting link")]
    Link(LinkOptions),
}

/// Options of `platform`.
#[derive(Debug, Options)]
pub struct PlatformOptions {
    #[options(help = "print help")]
    pub help: bool,
    #[options(help = "address to listen on")]
    pub listen: Option<SocketAddr>,
}

/// Options of `target`.
#[derive(Debug, Options)]
pub struct TargetOptions {
    #[options(help = "print help")]
    pub help: bool,
    #[options(help = "address to accept requests on")]
    pub listen: Option<SocketAddr>,
    #[options(help = "address of the control API")]
    pub control: Option<SocketAddr>,
    #[options(help = "initial switches, as JSON", default = "{}")]
    pub switches: String,
}

/// Options of `link`.
#[derive(Debug, Options)]
pub struct LinkOptions {
    #[options(help = "print help")]
    pub help: bool,
    #[options(help = "address of the control API")]
    pub control: Option<SocketAddr>,
}
