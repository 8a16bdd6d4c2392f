//! The commands.

mod document;
mod inspect;
mod key;

use serde_json::Value;

use crate::cli::Command;
use crate::client::Client;
use crate::error::Error;

/// Runs a command and returns what it prints.
pub(crate) async fn run(client: &Client, command: Command, json: bool) -> Result<String, Error> {
    let output = match command {
        Command::Check(options) => document::check(client, &options).await?,
        Command::Get(options) => document::get(client, &options).await?,
        Command::Put(options) => document::put(client, &options).await?,
        Command::Edit(options) => document::edit(client, &options).await?,
        Command::Delete(options) => document::delete(client, &options).await?,
        Command::Grant(options) => key::grant(client, &options).await?,
        Command::Withdraw(options) => key::withdraw(client, &options).await?,
        Command::Keys(options) => key::list(client, options).await?,
        Command::Status(_) => inspect::status(client).await?,
        Command::Histograms(options) => inspect::histograms(client, &options).await?,
        Command::Explain(options) => inspect::explain(client, options).await?,
    };
    Ok(if json { output.value.to_string() } else { output.text })
}

/// Output of a command, as JSON and as text.
struct Output {
    value: Value,
    /// `value` in a form for people to read.
    text: String,
}
