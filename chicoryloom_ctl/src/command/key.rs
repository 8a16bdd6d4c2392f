//! Commands about keys.

use std::fs;

use serde_json::Value;

use super::Output;
use crate::cli;
use crate::client::Client;
use crate::error::Error;
use crate::table;
use crate::table::cell;

pub(super) async fn grant(client: &Client, options: &cli::Grant) -> Result<Output, Error> {
    let key = match &options.key_file {
        Some(path) => {
            let text = fs::read_to_string(path);
            Some(text.map_err(|error| Error::File(path.clone(), error))?)
        }
        None => None,
    };
    let value = client.grant(&options.workspace, key.as_deref().map(str::trim)).await?;
    let text = format!(
        "key     {}\ndigest  {}\nThe key is not shown again; use the digest to withdraw it.",
        cell(&value["key"]),
        cell(&value["digest"]),
    );
    Ok(Output { value, text })
}

pub(super) async fn withdraw(client: &Client, options: &cli::Withdraw) -> Result<Output, Error> {
    let value = client.withdraw(&options.digest).await?;
    let workspace = cell(&value["workspace"]);
    Ok(Output { text: format!("withdrew a key of workspace {workspace}"), value })
}

pub(super) async fn list(client: &Client, options: cli::Keys) -> Result<Output, Error> {
    let value = client.get_json("keys", &[("workspace", &options.workspace)]).await?;
    let row =
        |key: &Value| vec![cell(&key["workspace"]), cell(&key["withdrawn"]), cell(&key["digest"])];
    let rows: Vec<_> = value["keys"].as_array().into_iter().flatten().map(row).collect();
    let text = table::render(&["workspace", "withdrawn", "digest"], &rows);
    Ok(Output { value, text })
}
