//! Commands about documents.

use std::io;
use std::path::PathBuf;

use serde_json::Value;
use serde_json::json;

use super::Output;
use crate::cli;
use crate::client::Client;
use crate::client::Document;
use crate::error::Error;
use crate::file;
use crate::file::Saved;
use crate::table::cell;

pub(super) async fn check(client: &Client, options: &cli::Check) -> Result<Output, Error> {
    let saved = file::read(&options.file)?;
    let value = client.check(saved.text).await?;
    let mut text = format!(
        "{}: valid: {} routes, {} workspaces, {} targets with {} slots",
        cell(&value["service"]),
        value["routes"],
        value["workspaces"],
        value["targets"],
        value["slots"],
    );
    for field in value["unknown"].as_array().into_iter().flatten() {
        text.push_str(&format!("\nwarning: unknown field {}", cell(field)));
    }
    Ok(Output { value, text })
}

pub(super) async fn get(client: &Client, options: &cli::Get) -> Result<Output, Error> {
    let document = client.document(&options.service).await?;
    let value = json!({ "version": document.version, "text": document.text });
    let Some(path) = &options.output else {
        return Ok(Output { value, text: document.text });
    };
    file::write(path, &document)?;
    let text = format!("saved version {} to {}", document.version, path.display());
    Ok(Output { value, text })
}

pub(super) async fn put(client: &Client, options: &cli::Put) -> Result<Output, Error> {
    let saved = file::read(&options.file)?;
    let checked = client.check(saved.text.clone()).await?;
    let service = cell(&checked["service"]);
    let version = options.expect.or(saved.version).filter(|version| *version > 0);
    let value = put_saved(client, &service, version, saved).await?;
    // Records the new version in the file, so that it can be edited and put again.
    refresh_file(client, &options.file, &service, &value).await?;
    Ok(written_output(&service, value))
}

/// Writes the document to the file with its new version, unless it has changed again since.
async fn refresh_file(
    client: &Client,
    path: &std::path::Path,
    service: &str,
    value: &Value,
) -> Result<(), Error> {
    let document = client.document(service).await?;
    if Some(document.version) == value["version"].as_u64() {
        file::write(path, &document)?;
    }
    Ok(())
}

async fn put_saved(
    client: &Client,
    service: &str,
    version: Option<u64>,
    saved: Saved,
) -> Result<Value, Error> {
    match client.put(service, version, saved.text).await {
        Err(Error::Refused { status: 409, body }) => Err(save_newer(service, &body)?),
        put => put,
    }
}

/// Saves the newer version, which the conflict response carries, to a file.
fn save_newer(service: &str, body: &Value) -> Result<Error, Error> {
    let version = body["version"].as_u64().unwrap_or_default();
    let saved_to = PathBuf::from(format!("{service}.{version}.yaml"));
    let text = body["value"].as_str().unwrap_or_default().to_owned();
    file::write(&saved_to, &Document { version, text })?;
    Ok(Error::Conflict { version, saved_to })
}

fn written_output(service: &str, value: Value) -> Output {
    let text = format!("{service}: wrote version {}", value["version"]);
    Output { value, text }
}

pub(super) async fn edit(client: &Client, options: &cli::Edit) -> Result<Output, Error> {
    let service = &options.service;
    let path = PathBuf::from(format!("{service}.yaml"));
    let document = client.document(service).await?;
    file::write(&path, &document)?;
    loop {
        eprintln!("edit {} and press Enter, or end the input to abort", path.display());
        wait_for_enter()?;
        let saved = file::read(&path)?;
        match put_saved(client, service, Some(document.version), saved).await {
            Err(error @ Error::Refused { status: 422, .. }) => eprintln!("{error}"),
            put => return Ok(written_output(service, put?)),
        }
    }
}

fn wait_for_enter() -> Result<(), Error> {
    let mut line = String::new();
    match io::stdin().read_line(&mut line) {
        Ok(0) => Err(Error::Usage("aborted; nothing was written".to_owned())),
        Ok(_) => Ok(()),
        Err(error) => Err(Error::File(PathBuf::from("standard input"), error)),
    }
}

pub(super) async fn delete(client: &Client, options: &cli::Delete) -> Result<Output, Error> {
    let value = client.delete(&options.service, options.expect).await?;
    let text = format!("{}: deleted as version {}", options.service, value["version"]);
    Ok(Output { value, text })
}
