//! Results as JSON, and as one page with plots.

mod page;
mod plot;
mod series;

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use crate::Error;
use crate::RunResult;

/// Writes the JSON result and the page of a run into a folder, and returns the page's path.
pub fn write(result: &RunResult, folder: &Path) -> Result<PathBuf, Error> {
    fs::create_dir_all(folder).map_err(Error::file(folder))?;
    let stem = format!("{}-{}-{}", result.name, result.division, result.detection);
    let json = folder.join(format!("{stem}.json"));
    let text = serde_json::to_string_pretty(result).unwrap_or_default();
    fs::write(&json, text).map_err(Error::file(&json))?;
    let page = folder.join(format!("{stem}.html"));
    fs::write(&page, page::render(result)).map_err(Error::file(&page))?;
    Ok(page)
}
