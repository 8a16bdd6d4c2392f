//! A whole fleet inside one process, ready for `curl`.

mod fleet;

use std::process::ExitCode;

use crate::fleet::Fleet;

#[tokio::main]
async fn main() -> ExitCode {
    let fleet = match Fleet::start().await {
        Ok(fleet) => fleet,
        Err(error) => {
            eprintln!("chicoryloom-dev: {error}");
            return ExitCode::FAILURE;
        }
    };
    println!("{}", fleet.help());
    if tokio::signal::ctrl_c().await.is_err() {
        eprintln!("chicoryloom-dev: interrupts can't be received");
    }
    ExitCode::SUCCESS
}
