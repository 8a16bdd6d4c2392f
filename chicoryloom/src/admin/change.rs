//! Changes that operators make, as conditional updates at the platform.

use std::fmt;

use chicoryloom_policy::id;
use chicoryloom_wire::document;
use chicoryloom_wire::key::Key;
use chicoryloom_wire::key::parse;
use chicoryloom_wire::key::render;
use chicoryloom_wire::platform::Kind;
use chicoryloom_wire::platform::Object;
use serde::Deserialize;
use serde::Serialize;

use super::Admin;
use crate::proxy::key;
use crate::store;
use crate::store::Update;

/// Why a change was not made.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Error {
    Invalid(String),
    Unknown,
    /// Another operator was faster.
    Conflict {
        version: id::Revision,
        value: String,
    },
    Store(store::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(reason) => f.write_str(reason),
            Self::Unknown => f.write_str("no such object"),
            Self::Conflict { version, value } => {
                write!(f, "version {version} was written meanwhile:\n{value}")
            }
            Self::Store(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}

/// A request for a key.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Grant {
    workspace: String,
    /// The key itself; none lets the fleet make one.
    #[serde(default)]
    key: Option<String>,
}

/// A granted key; it is shown once and never stored.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Granted {
    key: String,
    digest: String,
    version: id::Revision,
}

/// Reads a document from the platform.
pub(super) async fn document(admin: &Admin, name: &str) -> Result<Object, Error> {
    let object = admin.store.get(Kind::Document, name).await.map_err(Error::Store)?;
    object.filter(|object| !object.deleted).ok_or(Error::Unknown)
}

/// Writes a document if it is valid and nobody else has changed it.
pub(super) async fn put_document(
    admin: &Admin,
    name: &str,
    expected: id::Revision,
    body: &[u8],
) -> Result<id::Revision, Error> {
    let text = std::str::from_utf8(body).map_err(|error| Error::Invalid(error.to_string()))?;
    let checked = document::parse(text).map_err(|error| Error::Invalid(error.to_string()))?;
    if checked.document.service.as_str() != name {
        return Err(Error::Invalid(format!("service: is not {name:?}")));
    }
    let update =
        Update { kind: Kind::Document, name: name.to_owned(), value: text.to_owned(), expected };
    match admin.store.put(update).await {
        Err(store::Error::Conflict(version)) => Err(conflict(admin, name, version).await),
        put => put.map_err(Error::Store),
    }
}

async fn conflict(admin: &Admin, name: &str, version: id::Revision) -> Error {
    match document(admin, name).await {
        Ok(object) => Error::Conflict { version: object.version, value: object.value },
        Err(_) => Error::Conflict { version, value: String::new() },
    }
}

/// Grants a key to a workspace; a key that any workspace has or had is refused.
pub(super) async fn grant_key(admin: &Admin, grant: Grant) -> Result<Granted, Error> {
    let workspace = grant.workspace.parse::<id::Workspace>();
    let workspace = workspace.map_err(|error| Error::Invalid(error.to_string()))?;
    let key = grant.key.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    if !key::is_grantable(&key) {
        return Err(Error::Invalid(format!(
            "key: must be {} to {} letters, digits or characters of -_.~+",
            key::MIN_KEY,
            key::MAX_KEY
        )));
    }
    let digest = id::Digest::of(&key);
    let update = Update {
        kind: Kind::Key,
        name: digest.to_string(),
        value: render(&Key { workspace, withdrawn: false }),
        expected: id::Revision::default(),
    };
    match admin.store.put(update).await {
        Ok(version) => Ok(Granted { key, digest: digest.to_string(), version }),
        Err(store::Error::Conflict(_)) => {
            Err(Error::Invalid("key: is or was in use; take another one".to_owned()))
        }
        Err(error) => Err(Error::Store(error)),
    }
}

/// Withdraws a key for good.
pub(super) async fn withdraw_key(admin: &Admin, digest: &str) -> Result<id::Revision, Error> {
    loop {
        let object = admin.store.get(Kind::Key, digest).await.map_err(Error::Store)?;
        let object = object.ok_or(Error::Unknown)?;
        let key = parse(&object.value).map_err(|error| Error::Invalid(error.to_string()))?;
        let update = Update {
            kind: Kind::Key,
            name: digest.to_owned(),
            value: render(&Key { withdrawn: true, ..key }),
            expected: object.version,
        };
        match admin.store.put(update).await {
            // Another operator changed the key meanwhile; it must end up withdrawn all the same.
            Err(store::Error::Conflict(_)) => {}
            put => return put.map_err(Error::Store),
        }
    }
}
