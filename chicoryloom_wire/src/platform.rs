//! Messages of the platform's object API.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use chicoryloom_policy::id;
use smol_str::SmolStr;

use crate::generated::frame;
use crate::generated::platform as raw;

/// Most objects in one answer of the platform to a query for changes.
pub const MAX_CHANGES: usize = 1000;

/// Kinds of objects that chicoryloom keeps at the platform.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// A service document, named by its service.
    Document,
    /// A caller's key, named by its digest.
    Key,
    /// Division of a service's grants among holders, named by its service.
    Ledger,
    /// The fleet's roster; one object.
    Roster,
    /// What the fleet has accepted; one object.
    Status,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 5] =
        [Self::Document, Self::Key, Self::Ledger, Self::Roster, Self::Status];

    /// Returns the kind's name in paths.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Document => "documents",
            Self::Key => "keys",
            Self::Ledger => "ledgers",
            Self::Roster => "rosters",
            Self::Status => "status",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A text that names no kind of object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnknownKind(pub SmolStr);

impl fmt::Display for UnknownKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "unknown kind of object {:?}", self.0)
    }
}

impl std::error::Error for UnknownKind {}

impl FromStr for Kind {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|kind| kind.as_str() == text);
        found.ok_or_else(|| UnknownKind(SmolStr::new(text)))
    }
}

/// One stored object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    pub kind: Kind,
    pub name: SmolStr,
    /// Revision of the store at the object's last change.
    pub version: id::Revision,
    /// Content; empty once the object is deleted.
    pub value: String,
    /// Identifier of the write that made this version.
    pub write: SmolStr,
    pub deleted: bool,
}

impl TryFrom<raw::Object> for Object {
    type Error = UnknownKind;

    fn try_from(raw: raw::Object) -> Result<Self, Self::Error> {
        Ok(Self {
            kind: raw.kind.parse()?,
            name: raw.name.into(),
            version: id::Revision(raw.version),
            value: raw.value,
            write: raw.write.into(),
            deleted: raw.deleted,
        })
    }
}

impl From<&Object> for raw::Object {
    fn from(object: &Object) -> Self {
        Self {
            kind: object.kind.to_string(),
            name: object.name.to_string(),
            version: object.version.0,
            value: object.value.clone(),
            write: object.write.to_string(),
            deleted: object.deleted,
        }
    }
}

impl TryFrom<frame::Stored> for Object {
    type Error = UnknownKind;

    fn try_from(raw: frame::Stored) -> Result<Self, Self::Error> {
        Ok(Self {
            kind: raw.kind.parse()?,
            name: raw.name.into(),
            version: id::Revision(raw.version),
            value: raw.value,
            write: raw.write.into(),
            deleted: raw.deleted,
        })
    }
}

impl From<&Object> for frame::Stored {
    fn from(object: &Object) -> Self {
        Self {
            kind: object.kind.to_string(),
            name: object.name.to_string(),
            version: object.version.0,
            value: object.value.clone(),
            write: object.write.to_string(),
            deleted: object.deleted,
        }
    }
}

/// Objects changed after a revision, oldest first.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// Revision of the store that the objects lead to.
    pub revision: id::Revision,
    pub objects: Vec<Object>,
    /// Whether objects are left that the answer had no room for.
    ///
    /// An object that changed again lies beyond the answer, so the holder of a part doesn't hold
    /// all objects up to its revision.
    pub more: bool,
}

impl From<raw::Changes> for Changes {
    /// Leaves out objects of kinds that this version doesn't know.
    fn from(raw: raw::Changes) -> Self {
        let more = raw.objects.len() >= MAX_CHANGES;
        let objects = raw.objects.into_iter().filter_map(|object| object.try_into().ok());
        Self { revision: id::Revision(raw.revision), objects: objects.collect(), more }
    }
}

impl From<frame::Page> for Changes {
    /// Leaves out objects of kinds that this version doesn't know.
    fn from(page: frame::Page) -> Self {
        let objects = page.objects.into_iter().filter_map(|object| object.try_into().ok());
        let revision = id::Revision(page.revision);
        Self { revision, objects: objects.collect(), more: page.more }
    }
}

/// One entry host of the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Host {
    pub name: id::Host,
    pub data_centre: id::DataCentre,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for other hosts.
    pub peer: SocketAddr,
    pub leaving: bool,
}

/// Why an entry of the platform's host list can't be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum InvalidHost {
    Name(id::InvalidName),
    Address(SmolStr),
}

impl fmt::Display for InvalidHost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Name(error) => write!(f, "host list: {error}"),
            Self::Address(text) => write!(f, "host list: {text:?} is not an address"),
        }
    }
}

impl std::error::Error for InvalidHost {}

fn address(text: &str) -> Result<SocketAddr, InvalidHost> {
    text.parse().map_err(|_| InvalidHost::Address(SmolStr::new(text)))
}

impl TryFrom<raw::Host> for Host {
    type Error = InvalidHost;

    fn try_from(raw: raw::Host) -> Result<Self, Self::Error> {
        Ok(Self {
            name: raw.name.parse().map_err(InvalidHost::Name)?,
            data_centre: raw.data_centre.parse().map_err(InvalidHost::Name)?,
            caller: address(&raw.caller)?,
            peer: address(&raw.peer)?,
            leaving: raw.leaving,
        })
    }
}

impl From<&Host> for raw::Host {
    fn from(host: &Host) -> Self {
        Self {
            name: host.name.to_string(),
            data_centre: host.data_centre.to_string(),
            caller: host.caller.to_string(),
            peer: host.peer.to_string(),
            leaving: host.leaving,
        }
    }
}
