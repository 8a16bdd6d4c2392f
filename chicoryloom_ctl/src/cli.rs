//! Command line.

use std::path::PathBuf;

use gumdrop::Options;

/// Options that come before the command.
#[derive(Debug, Options)]
pub(crate) struct Cli {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(short = "V", help = "print the version")]
    pub(crate) version: bool,
    #[options(help = "administration address of any host, or CHICORY_ADMIN", meta = "ADDRESS")]
    pub(crate) admin: Option<String>,
    #[options(help = "operator token, or CHICORY_TOKEN", meta = "TOKEN")]
    pub(crate) token: Option<String>,
    #[options(help = "print JSON")]
    pub(crate) json: bool,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

/// The command to run.
#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "check a document without writing it")]
    Check(Check),
    #[options(help = "print a document, or save it to a file with its version")]
    Get(Get),
    #[options(help = "write a document from a file")]
    Put(Put),
    #[options(help = "save a document to a file, wait while you edit it, and write it back")]
    Edit(Edit),
    #[options(help = "delete a document")]
    Delete(Delete),
    #[options(help = "grant a key to a workspace")]
    Grant(Grant),
    #[options(help = "withdraw a key permanently")]
    Withdraw(Withdraw),
    #[options(help = "list the digests of keys")]
    Keys(Keys),
    #[options(help = "show the state of a host and whether it serves requests")]
    Status(Status),
    #[options(help = "show latencies by service, workspace and class")]
    Histograms(Histograms),
    #[options(help = "show why targets are out of use and why requests were refused")]
    Explain(Explain),
}

#[derive(Debug, Options)]
pub(crate) struct Check {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(free, required, help = "document, in YAML")]
    pub(crate) file: PathBuf,
}

#[derive(Debug, Options)]
pub(crate) struct Get {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(free, required, help = "name of the service")]
    pub(crate) service: String,
    #[options(help = "file to save the document to", meta = "FILE")]
    pub(crate) output: Option<PathBuf>,
}

#[derive(Debug, Options)]
pub(crate) struct Put {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(free, required, help = "document, in YAML")]
    pub(crate) file: PathBuf,
    #[options(help = "version to replace; default is the version that get recorded in the file")]
    pub(crate) expect: Option<u64>,
}

#[derive(Debug, Options)]
pub(crate) struct Edit {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(free, required, help = "name of the service")]
    pub(crate) service: String,
}

#[derive(Debug, Options)]
pub(crate) struct Delete {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(free, required, help = "name of the service")]
    pub(crate) service: String,
    #[options(required, help = "version to delete")]
    pub(crate) expect: u64,
}

#[derive(Debug, Options)]
pub(crate) struct Grant {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(free, required, help = "workspace that gets the key")]
    pub(crate) workspace: String,
    #[options(help = "file with the key; default is a new random key", meta = "FILE")]
    pub(crate) key_file: Option<PathBuf>,
}

#[derive(Debug, Options)]
pub(crate) struct Withdraw {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(free, required, help = "digest of the key")]
    pub(crate) digest: String,
}

#[derive(Debug, Options)]
pub(crate) struct Keys {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(help = "only keys of this workspace")]
    pub(crate) workspace: Option<String>,
}

#[derive(Debug, Options)]
pub(crate) struct Status {
    #[options(help = "print help")]
    pub(crate) help: bool,
}

#[derive(Debug, Options)]
pub(crate) struct Histograms {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(help = "only this workspace")]
    pub(crate) workspace: Option<String>,
}

#[derive(Debug, Options)]
pub(crate) struct Explain {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(help = "only this service")]
    pub(crate) service: Option<String>,
    #[options(help = "only refusals of this workspace")]
    pub(crate) workspace: Option<String>,
    #[options(help = "only refusals with this code")]
    pub(crate) code: Option<String>,
}
