//! Runs a whole fleet in one process, to try with `curl`.

mod fleet;

use std::process::ExitCode;

use crate::fleet::Fleet;

/// The command line is wrong.
const EXIT_USAGE: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    if std::env::args().len() > 1 {
        eprintln!("chicoryloom-dev: takes no options; it runs a whole fleet to try with curl");
        return ExitCode::from(EXIT_USAGE);
    }
    let fleet = match Fleet::start().await {
        Ok(fleet) => fleet,
        Err(error) => {
            eprintln!("chicoryloom-dev: {error}");
            return ExitCode::FAILURE;
        }
    };
    println!("{}", fleet.help());
    if tokio::signal::ctrl_c().await.is_err() {
        eprintln!("chicoryloom-dev: can't listen for SIGINT");
    }
    ExitCode::SUCCESS
}
