//! Changes by operators, written to the platform as conditional updates.

use std::fmt;

use chicoryloom_policy::id;
use chicoryloom_wire::document;
use chicoryloom_wire::document::Checked;
use chicoryloom_wire::key::Key;
use chicoryloom_wire::key::parse;
use chicoryloom_wire::key::render;
use chicoryloom_wire::platform::Kind;
use chicoryloom_wire::platform::Object;
use serde::Deserialize;
use serde::Serialize;

use super::Admin;
use super::audit::Applied;
use crate::proxy::key;
use crate::store;
use crate::store::Update;

/// Reason why a change failed.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Error {
    Invalid(String),
    /// The document failed validation.
    InvalidDocument(document::Error),
    /// A delete request has no `If-Match` version.
    Unversioned,
    Unknown,
    /// The object has another version than the expected one.
    Conflict {
        version: id::Revision,
        value: String,
    },
    Store(store::Error),
}

impl Error {
    /// Returns a one-line message that contains no object's value.
    pub(super) fn summary(&self) -> String {
        match self {
            Self::Invalid(reason) => reason.clone(),
            Self::InvalidDocument(error) => {
                let faults = error.to_string().replace('\n', "; ");
                format!("the document is not valid: {faults}")
            }
            Self::Unversioned => "name the version that you change: if-match: \"N\"".to_owned(),
            Self::Unknown => "no such object".to_owned(),
            Self::Conflict { version, .. } => format!("version {version} was written meanwhile"),
            Self::Store(error) => error.to_string(),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.summary())
    }
}

impl std::error::Error for Error {}

/// Request to grant a key.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Grant {
    pub(super) workspace: String,
    /// The key itself; a random one is generated if absent.
    #[serde(default)]
    key: Option<String>,
}

/// A granted key; the response returns it once; only its digest is stored.
#[derive(Clone, Serialize)]
pub(super) struct Granted {
    key: String,
    digest: String,
    pub(super) version: id::Revision,
}

/// Reads a document from the platform.
pub(super) async fn document(admin: &Admin, name: &str) -> Result<Object, Error> {
    check_name(name)?;
    let object = admin.store.get(Kind::Document, name).await.map_err(Error::Store)?;
    object.filter(|object| !object.deleted).ok_or(Error::Unknown)
}

/// Checks a document without writing it.
pub(super) fn check(body: &[u8]) -> Result<Checked, Error> {
    let text = std::str::from_utf8(body).map_err(|error| Error::Invalid(error.to_string()))?;
    document::parse(text).map_err(Error::InvalidDocument)
}

/// Writes a document if it is valid and still at the expected version; version 0 creates it.
pub(super) async fn put_document(
    admin: &Admin,
    name: &str,
    expected: id::Revision,
    body: &[u8],
) -> Result<Applied, Error> {
    check_name(name)?;
    let checked = check(body)?;
    if checked.document.service.as_str() != name {
        return Err(Error::Invalid("service: is not the name in the address".to_owned()));
    }
    let value = String::from_utf8_lossy(body).into_owned();
    let mut update = Update { kind: Kind::Document, name: name.to_owned(), value, expected };
    let mut put = admin.store.put(update.clone()).await;
    if let Err(store::Error::Conflict(version)) = put
        && expected == id::Revision::default()
        && is_deleted(admin, name, version).await?
    {
        // A deleted object keeps its version, so creating it again must expect that version.
        update.expected = version;
        put = admin.store.put(update).await;
    }
    applied(admin, name, put).await
}

async fn is_deleted(admin: &Admin, name: &str, version: id::Revision) -> Result<bool, Error> {
    let object = admin.store.get(Kind::Document, name).await.map_err(Error::Store)?;
    Ok(object.is_some_and(|object| object.deleted && object.version == version))
}

/// Deletes a document if it is still at the expected version.
pub(super) async fn delete_document(
    admin: &Admin,
    name: &str,
    expected: id::Revision,
) -> Result<Applied, Error> {
    if expected == id::Revision::default() {
        return Err(Error::Unversioned);
    }
    document(admin, name).await?;
    let deleted = admin.store.delete(Kind::Document, name, expected).await;
    applied(admin, name, deleted).await
}

async fn applied(
    admin: &Admin,
    name: &str,
    written: Result<id::Revision, store::Error>,
) -> Result<Applied, Error> {
    match written {
        Ok(version) => Ok(Applied { version, workspace: None }),
        Err(store::Error::Conflict(version)) => Err(conflict(admin, name, version).await),
        Err(error) => Err(Error::Store(error)),
    }
}

async fn conflict(admin: &Admin, name: &str, version: id::Revision) -> Error {
    match document(admin, name).await {
        Ok(object) => Error::Conflict { version: object.version, value: object.value },
        Err(_) => Error::Conflict { version, value: String::new() },
    }
}

/// Rejects invalid service names before they become part of a URL path.
fn check_name(name: &str) -> Result<(), Error> {
    let checked = name.parse::<id::Service>();
    checked.map(|_| ()).map_err(|_| Error::Invalid("the address names no service".to_owned()))
}

/// Grants a key to a workspace; rejects a key that was ever granted, also if withdrawn since.
pub(super) async fn grant_key(admin: &Admin, grant: Grant) -> Result<Granted, Error> {
    let workspace = grant.workspace.parse::<id::Workspace>();
    let workspace = workspace.map_err(|error| Error::Invalid(error.to_string()))?;
    let key = grant.key.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    if !key::is_grantable(&key) {
        return Err(Error::Invalid(format!(
            "key: must be {} to {} letters, digits or characters of -_.~+",
            key::MIN_KEY_LENGTH,
            key::MAX_KEY_LENGTH
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

/// Withdraws a key permanently; does nothing if it is withdrawn already.
pub(super) async fn withdraw_key(admin: &Admin, digest: &str) -> Result<Applied, Error> {
    let digest = digest.parse::<id::Digest>();
    let digest = digest.map_err(|_| Error::Invalid("digest: must be 64 hex digits".to_owned()))?;
    let name = digest.to_string();
    loop {
        let object = admin.store.get(Kind::Key, &name).await.map_err(Error::Store)?;
        let object = object.ok_or(Error::Unknown)?;
        let key = parse(&object.value).map_err(|error| Error::Invalid(error.to_string()))?;
        let workspace = Some(key.workspace.clone());
        if key.withdrawn {
            return Ok(Applied { version: object.version, workspace });
        }
        let update = Update {
            kind: Kind::Key,
            name: name.clone(),
            value: render(&Key { withdrawn: true, ..key }),
            expected: object.version,
        };
        match admin.store.put(update).await {
            Ok(version) => return Ok(Applied { version, workspace }),
            // The key was changed concurrently; read it again, as it must end up withdrawn.
            Err(store::Error::Conflict(_)) => {}
            Err(error) => return Err(Error::Store(error)),
        }
    }
}
