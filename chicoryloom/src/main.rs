//! Program that runs an entry host.

mod cli;

use std::path::Path;
use std::process::ExitCode;

use chicoryloom::Host;
use chicoryloom::config;
use chicoryloom::config::Settings;
use chicoryloom::logging;
use gumdrop::Options;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::cli::Cli;

/// Exit code for an invalid command line or invalid settings.
const EXIT_USAGE: u8 = 2;
/// Exit code if the host could not start, for example because an address is in use.
const EXIT_START: u8 = 3;

fn main() -> ExitCode {
    let cli = Cli::parse_args_default_or_exit();
    if cli.version {
        println!("chicoryloom {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = cli.settings else {
        eprintln!("chicoryloom: no settings file given; use --settings FILE");
        return ExitCode::from(EXIT_USAGE);
    };
    let settings = match load(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("chicoryloom: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if cli.check {
        println!("{}: settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
    logging::init(&settings.log);
    run(settings)
}

/// Loads the settings and prints a warning for each unknown field.
fn load(path: &Path) -> Result<Settings, config::Error> {
    let loaded = config::load(path)?;
    for field in &loaded.unknown {
        eprintln!("chicoryloom: {}: unknown field {field}", path.display());
    }
    Ok(loaded.settings)
}

#[tokio::main]
async fn run(settings: Settings) -> ExitCode {
    let host = match Host::start(settings).await {
        Ok(host) => host,
        Err(error) => {
            log::error!("host: did not start: {error}");
            return ExitCode::from(EXIT_START);
        }
    };
    println!("{}", host.ready_line());
    shutdown_signal().await;
    log::info!("host: shutting down");
    host.shutdown().await;
    ExitCode::SUCCESS
}

/// Waits for SIGINT or SIGTERM.
async fn shutdown_signal() {
    let Ok(mut terminated) = signal(SignalKind::terminate()) else {
        log::error!("host: termination signals can't be received");
        return;
    };
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {},
        _ = terminated.recv() => {},
    }
}
