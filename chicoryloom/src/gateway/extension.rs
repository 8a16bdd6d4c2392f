//! Fields that later builds add to the messages between hosts.
//!
//! A message is a value of fixed layout, as the first builds encode it, and an [`Extension`] behind
//! it: fields by number. The first builds decode the value and ignore what follows. Later ones
//! ignore the fields that they don't know.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;

/// Version of the messages that this build speaks; 0 stands for builds that don't tell.
pub(super) const PROTOCOL: u16 = 1;

/// Number of a field. The number of a field that was removed is not used again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Field {
    /// Version of the messages that the sender speaks.
    Protocol = 1,
    /// In a [`SyncRequest`](super::message::SyncRequest): the position that the follower's copy of
    /// the evacuations has reached.
    EvacuationsReached = 2,
    /// In a [`SyncResponse`](super::message::SyncResponse): all evacuations, as an update.
    Evacuations = 3,
    /// Behind [`Body::Ask`](super::message::Body::Ask): that the target is cold, as a
    /// [`Cold`](super::message::Cold).
    Cold = 4,
    /// Behind a heartbeat, a hello and a [`SyncResponse`](super::message::SyncResponse): the version of the
    /// configuration that the sender holds, as a [`Holding`](super::versions::Holding).
    Holding = 5,
    /// In a [`SyncRequest`](super::message::SyncRequest): that the follower asks for configurations by
    /// [`Field::Base`], so that the response needs none.
    FetchesApart = 6,
    /// In a [`SyncRequest`](super::message::SyncRequest): asks for the configuration alone. The value is the
    /// digest of the one that the sender has, if any.
    Base = 7,
    /// In the response to that: the configuration, as a [`Package`](super::package::Package).
    Package = 8,
    /// In a [`SyncResponse`](super::message::SyncResponse): that the configuration was left out, as the follower
    /// has it at another position or another one.
    Omitted = 9,
    /// Behind [`Body::Crash`](super::message::Body::Crash): which process was lost and when, as a
    /// [`Loss`](super::message::Loss).
    Loss = 10,
}

/// Fields behind a message, by number.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub(super) struct Extension {
    /// Each value is encoded with postcard.
    fields: BTreeMap<u16, Vec<u8>>,
}

impl Extension {
    /// Returns the extension that every message of this build has.
    pub(super) fn new() -> Self {
        Self::default().with(Field::Protocol, &PROTOCOL)
    }

    /// Sets a field. Only a fault in the value's type can make its encoding fail; the field is left
    /// out then.
    #[must_use]
    pub(super) fn with<T: Serialize>(mut self, field: Field, value: &T) -> Self {
        match postcard::to_stdvec(value) {
            Ok(bytes) => {
                self.fields.insert(field as u16, bytes);
            }
            Err(error) => log::error!("message: {field:?} can't be encoded: {error}"),
        }
        self
    }

    /// Returns a field; `None` if the sender did not set it.
    pub(super) fn get<T: DeserializeOwned>(&self, field: Field) -> Result<Option<T>, SmolStr> {
        let Some(bytes) = self.fields.get(&(field as u16)) else { return Ok(None) };
        let value = postcard::from_bytes(bytes);
        value.map(Some).map_err(|error| SmolStr::from(format!("{field:?}: {error}")))
    }
}
