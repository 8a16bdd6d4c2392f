//! `chicoryctl`, the operators' command line.

mod cli;
mod client;
mod command;
mod error;
mod file;
mod table;

use std::env;
use std::process::ExitCode;

use gumdrop::Options;

use crate::cli::Cli;
use crate::client::Client;
use crate::error::Error;

/// Environment variable with the address of a host's administration API.
const ADMIN_VARIABLE: &str = "CHICORY_ADMIN";
/// Environment variable with the operator's token.
const TOKEN_VARIABLE: &str = "CHICORY_TOKEN";

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let cli = Cli::parse_args_default_or_exit();
    if cli.version {
        println!("chicoryctl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match run(cli).await {
        Ok(text) => {
            println!("{}", text.trim_end());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("chicoryctl: {error}");
            if let Some(advice) = error.advice() {
                eprintln!("next: {advice}");
            }
            ExitCode::from(error.exit_code())
        }
    }
}

/// Runs the command and returns what it prints.
async fn run(cli: Cli) -> Result<String, Error> {
    let Some(command) = cli.command else {
        return Err(Error::Usage("name a command; --help lists them".to_owned()));
    };
    let admin = cli.admin.or_else(|| env::var(ADMIN_VARIABLE).ok());
    let admin = admin.ok_or_else(|| {
        Error::Usage(format!(
            "name a host's administration address with --admin or {ADMIN_VARIABLE}"
        ))
    })?;
    let token = cli.token.or_else(|| env::var(TOKEN_VARIABLE).ok()).unwrap_or_default();
    let client = Client::new(&admin, token)?;
    command::run(&client, command, cli.json).await
}
