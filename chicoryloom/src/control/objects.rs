//! The objects that a host holds, and their application to a view.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use chicoryloom_policy::id;
use chicoryloom_wire::document;
use chicoryloom_wire::generated::frame as raw;
use chicoryloom_wire::key;
use chicoryloom_wire::ledger;
use chicoryloom_wire::platform::Changes;
use chicoryloom_wire::platform::Kind;
use chicoryloom_wire::platform::Object;
use smol_str::SmolStr;

use super::roster;
use super::view::Fault;
use super::view::View;
use crate::grant::Stored;

/// Size of the values after which a page is full, in bytes.
const PAGE_BYTES: usize = 1024 * 1024;
/// Number of objects after which a page is full.
const PAGE_OBJECTS: usize = 4096;
/// Maximum number of versions that are checked for acceptance at a time.
const MAX_PENDING: usize = 8;

/// All objects of the platform at their latest known version.
#[derive(Debug, Default)]
pub(super) struct Objects {
    /// Revision up to which every object is held; only grows.
    revision: id::Revision,
    by_name: HashMap<(Kind, SmolStr), Object>,
    by_version: BTreeMap<id::Revision, (Kind, SmolStr)>,
}

impl Objects {
    pub(super) fn revision(&self) -> id::Revision {
        self.revision
    }

    pub(super) fn get(&self, kind: Kind, name: &str) -> Option<&Object> {
        self.by_name.get(&(kind, SmolStr::new(name)))
    }

    /// Applies changes to the objects and to a view; returns whether any object changed.
    ///
    /// Versions that are not newer than those held are ignored, whoever sent them. Changes with
    /// more to follow leave the revision as it is.
    pub(super) fn apply(&mut self, changes: Changes, view: &mut View) -> bool {
        let mut changed = false;
        for object in changes.objects {
            let name = (object.kind, object.name.clone());
            let held = self.by_name.get(&name).map(|held| held.version);
            if held >= Some(object.version) {
                continue;
            }
            if let Some(held) = held {
                self.by_version.remove(&held);
            }
            apply_object(&object, view);
            self.by_version.insert(object.version, name.clone());
            self.by_name.insert(name, object);
            changed = true;
        }
        if !changes.more {
            self.revision = self.revision.max(changes.revision);
        }
        view.revision = self.revision;
        changed
    }

    /// Returns a page of objects changed after a revision, with at least one object if there is
    /// any.
    pub(super) fn page(&self, nonce: u64, since: id::Revision) -> raw::Page {
        let mut objects = Vec::new();
        let mut bytes = 0;
        let newer = id::Revision(since.0.saturating_add(1));
        for (version, name) in self.by_version.range(newer..) {
            if bytes >= PAGE_BYTES || objects.len() >= PAGE_OBJECTS {
                let revision = version.0 - 1;
                return raw::Page { more: true, nonce, objects, revision };
            }
            let object = &self.by_name[name];
            bytes += object.value.len();
            objects.push(object.into());
        }
        raw::Page { more: false, nonce, objects, revision: self.revision.0 }
    }

    /// Returns the latest changes after a revision that await acceptance, newest first.
    ///
    /// The status object is left out, since accepting it would change it again.
    pub(super) fn pending(&self, accepted: id::Revision) -> Vec<id::Revision> {
        let newer = id::Revision(accepted.0.saturating_add(1));
        if newer > self.revision {
            return Vec::new();
        }
        let changes = self.by_version.range(newer..=self.revision).rev();
        let wanted = changes.filter(|(_, (kind, _))| *kind != Kind::Status);
        wanted.map(|(version, _)| *version).take(MAX_PENDING).collect()
    }
}

/// Applies one object to a view.
///
/// A document, ledger, roster or status that can't be parsed leaves the last valid one in force.
fn apply_object(object: &Object, view: &mut View) {
    match object.kind {
        Kind::Document => apply_document(object, view),
        Kind::Key => apply_key(object, view),
        Kind::Ledger => apply_ledger(object, view),
        Kind::Roster => apply_roster(object, view),
        Kind::Status => apply_status(object, view),
    }
}

fn apply_document(object: &Object, view: &mut View) {
    let fault = match read_document(object) {
        Ok((service, document)) => {
            match document {
                Some(document) => {
                    view.documents.insert(service.clone(), Arc::new(document));
                    view.versions.insert(service, object.version);
                }
                None => {
                    view.documents.remove(&service);
                    view.versions.remove(&service);
                }
            }
            view.faults.remove(&object.name);
            return;
        }
        Err(reason) => Fault { version: object.version, reason },
    };
    log::warn!("control: document {:?} is not valid: {}", object.name, fault.reason);
    view.faults.insert(object.name.clone(), fault);
}

/// Parses a document object; returns `None` for a deleted one.
fn read_document(
    object: &Object,
) -> Result<(id::Service, Option<chicoryloom_policy::document::Document>), String> {
    let service: id::Service = object.name.parse().map_err(|error| format!("name: {error}"))?;
    if object.deleted {
        return Ok((service, None));
    }
    let checked = document::parse(&object.value).map_err(|error| error.to_string())?;
    if checked.document.service != service {
        return Err(format!("service: is not {service}"));
    }
    Ok((service, Some(checked.document)))
}

fn apply_ledger(object: &Object, view: &mut View) {
    let Ok(service) = object.name.parse::<id::Service>() else {
        log::warn!("control: ledger {:?}: the name is not a service name", object.name);
        return;
    };
    match ledger::parse(&object.value) {
        Ok(ledger) => {
            let stored = Stored { version: object.version, ledger };
            view.ledgers.insert(service, Arc::new(stored));
        }
        // A ledger is never deleted, only its shares change holders. The previous one stays in
        // force, since without a ledger no host admits a request.
        Err(error) => log::warn!("control: {service}: {error}"),
    }
}

fn apply_key(object: &Object, view: &mut View) {
    let Ok(digest) = object.name.parse::<id::Digest>() else {
        log::warn!("control: the name of a key object is not a digest");
        return;
    };
    let keys = Arc::make_mut(&mut view.keys);
    if object.deleted {
        keys.remove(&digest);
        return;
    }
    match key::parse(&object.value) {
        Ok(key) => {
            keys.insert(digest, key);
        }
        Err(error) => {
            // The key may have been withdrawn, so it is not accepted while its object can't be read.
            log::warn!("control: {error}");
            keys.remove(&digest);
        }
    }
}

fn apply_roster(object: &Object, view: &mut View) {
    match roster::parse(object) {
        Ok(roster) => view.roster = Arc::new(roster),
        Err(reason) => log::warn!("control: the roster is not valid: {reason}"),
    }
}

fn apply_status(object: &Object, view: &mut View) {
    match roster::parse_accepted(&object.value) {
        Ok(accepted) => view.accepted = view.accepted.max(accepted),
        Err(reason) => log::warn!("control: the status is not valid: {reason}"),
    }
}
