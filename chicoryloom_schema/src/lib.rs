//! Generator of the wire types from the schemas of `chicoryloom_wire`.
//!
//! It is a crate of its own, so that it builds while the committed code is behind its schemas.

use std::fmt;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

/// First lines of each generated file.
const HEADER: &str = "// Generated from the schema of the same name by chicoryloom-schema.\n\n";

/// Names of the schemas.
pub const NAMES: [&str; 8] =
    ["caller", "document", "frame", "key", "ledger", "platform", "scenario", "settings"];

/// Why no code was generated.
#[derive(Debug)]
pub enum Error {
    Read(PathBuf, io::Error),
    Json(PathBuf, serde_json::Error),
    Types(PathBuf, typify::Error),
    Syntax(PathBuf, syn::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Json(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Types(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Syntax(path, error) => write!(f, "{}: {error}", path.display()),
        }
    }
}

impl std::error::Error for Error {}

/// Returns the path of a schema.
pub fn schema(name: &str) -> PathBuf {
    wire().join("schema").join(format!("{name}.json"))
}

/// Returns the path of the code that belongs to a schema.
pub fn code(name: &str) -> PathBuf {
    wire().join("src/generated").join(format!("{name}.rs"))
}

fn wire() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../chicoryloom_wire")
}

/// Generates the Rust types of one schema.
pub fn generate(name: &str) -> Result<String, Error> {
    let path = schema(name);
    let text = fs::read_to_string(&path).map_err(|error| Error::Read(path.clone(), error))?;
    let root = serde_json::from_str(&text).map_err(|error| Error::Json(path.clone(), error))?;
    let mut settings = typify::TypeSpaceSettings::default();
    settings.with_derive("PartialEq".into());
    let mut space = typify::TypeSpace::new(&settings);
    space.add_root_schema(root).map_err(|error| Error::Types(path.clone(), error))?;
    let file = syn::parse2(space.to_stream()).map_err(|error| Error::Syntax(path, error))?;
    Ok(format!("{HEADER}{}", prettyplease::unparse(&file)))
}
