//! Runs a stand-in for the platform, a target or a link.

mod cli;

use std::net::SocketAddr;
use std::process::ExitCode;

use chicoryloom_standin::link::Link;
use chicoryloom_standin::platform::Platform;
use chicoryloom_standin::target::Target;
use gumdrop::Options;

use crate::cli::Cli;
use crate::cli::Command;

/// Default address of a listener: localhost, on any free port.
const ANY_LOCAL_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

#[tokio::main]
async fn main() -> ExitCode {
    let cli = Cli::parse_args_default_or_exit();
    if cli.version {
        println!("chicoryloom-standin {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = cli.command else {
        eprintln!("chicoryloom-standin: name a command: platform, target or link");
        return ExitCode::from(2);
    };
    match run(command).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("chicoryloom-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs one stand-in until the process receives a stop signal.
async fn run(command: Command) -> Result<(), Box<dyn std::error::Error>> {
    match command {
        Command::Platform(options) => {
            let platform = Platform::start(options.listen.unwrap_or(ANY_LOCAL_PORT)).await?;
            println!("ready listen={}", platform.address());
            wait_for_stop_signal().await
        }
        Command::Target(options) => {
            let switches = serde_json::from_str(&options.switches)?;
            let listen = options.listen.unwrap_or(ANY_LOCAL_PORT);
            let target =
                Target::start(listen, options.control.unwrap_or(ANY_LOCAL_PORT), switches).await?;
            println!("ready listen={} control={}", target.address(), target.control());
            wait_for_stop_signal().await
        }
        Command::Link(options) => {
            let link = Link::start(options.control.unwrap_or(ANY_LOCAL_PORT)).await?;
            println!("ready control={}", link.control());
            wait_for_stop_signal().await
        }
    }
}

/// Waits for an interrupt or a termination signal.
async fn wait_for_stop_signal() -> Result<(), Box<dyn std::error::Error>> {
    use tokio::signal::unix::SignalKind;
    use tokio::signal::unix::signal;

    let mut terminated = signal(SignalKind::terminate())?;
    tokio::select! {
        result = tokio::signal::ctrl_c() => result?,
        _ = terminated.recv() => {},
    }
    Ok(())
}
