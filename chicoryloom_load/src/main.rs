//! Load and experiments from scenarios, as a program.

mod cli;
mod compare;
mod summary;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use chicoryloom_load::Error;
use chicoryloom_load::Part;
use chicoryloom_load::Scenario;
use gumdrop::Options;

use crate::cli::Cli;
use crate::cli::Command;

#[tokio::main]
async fn main() -> ExitCode {
    let cli = Cli::parse_args_default_or_exit();
    if cli.version {
        println!("chicoryloom-load {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = cli.command else {
        eprintln!("chicoryloom-load: name a command: check, run, compare, hop or slopes");
        return ExitCode::from(2);
    };
    match carry_out(command).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("chicoryloom-load: {error}");
            ExitCode::from(2)
        }
    }
}

/// Carries out a command and tells whether every invariant held.
async fn carry_out(command: Command) -> Result<bool, Error> {
    match command {
        Command::Check(options) => Scenario::read(&options.scenario).map(|_| true),
        Command::Run(options) => {
            let scenario = read(&options.scenario, options.seed)?;
            let result = chicoryloom_load::run(&scenario).await?;
            let page = chicoryloom_load::write(&result, &options.out)?;
            summary::print(&result, &page);
            Ok(result.held())
        }
        Command::Compare(options) => {
            let scenario = read(&options.scenario, options.seed)?;
            let by_detection = match options.by.as_str() {
                "division" => false,
                "detection" => true,
                _ => {
                    let (field, reason) = ("--by".to_owned(), "must be division or detection");
                    return Err(Error::Invalid { field, reason: reason.to_owned() });
                }
            };
            compare::compare(&scenario, by_detection, &options.out).await
        }
        Command::Hop(options) => {
            let hop = chicoryloom_load::hop(Duration::from_secs(options.seconds)).await?;
            println!("{hop}");
            Ok(hop.rounds.iter().all(|round| round.failed == 0))
        }
        Command::Slopes(options) => {
            let all = [Part::Hosts, Part::Keys, Part::Documents];
            let parts = if options.parts.is_empty() { &all } else { options.parts.as_slice() };
            print!("{}", chicoryloom_load::slopes(parts).await?);
            Ok(true)
        }
    }
}

fn read(path: &Path, seed: Option<u64>) -> Result<Scenario, Error> {
    let mut scenario = Scenario::read(path)?;
    if let Some(seed) = seed {
        scenario.set_seed(seed);
    }
    Ok(scenario)
}
