//! The objects that a host holds, and their parsed form.

use std::collections::HashMap;
use std::sync::Arc;

use chicoryloom_policy::id;
use chicoryloom_wire::document;
use chicoryloom_wire::key;
use chicoryloom_wire::ledger;
use chicoryloom_wire::platform::Changes;
use chicoryloom_wire::platform::Kind;
use chicoryloom_wire::platform::Object;
use smol_str::SmolStr;

use super::view::View;
use crate::grant::Stored;

/// All objects of the platform at their latest known version.
#[derive(Debug, Default)]
pub(super) struct Objects {
    /// Revision up to which every object is held; only grows.
    revision: id::Revision,
    by_name: HashMap<(Kind, SmolStr), Object>,
}

impl Objects {
    pub(super) fn revision(&self) -> id::Revision {
        self.revision
    }

    /// Takes in changes and brings a view up to date; tells whether anything changed.
    ///
    /// Older versions than those held are left out, whoever sent them.
    pub(super) fn apply(&mut self, changes: Changes, view: &mut View) -> bool {
        let mut changed = false;
        for object in changes.objects {
            let name = (object.kind, object.name.clone());
            let held = self.by_name.get(&name).map(|held| held.version);
            if held >= Some(object.version) {
                continue;
            }
            show(&object, view);
            self.by_name.insert(name, object);
            changed = true;
        }
        self.revision = self.revision.max(changes.revision);
        view.revision = self.revision;
        changed
    }
}

/// Brings one object into a view; an object that can't be read leaves the last good one there.
fn show(object: &Object, view: &mut View) {
    match object.kind {
        Kind::Document => show_document(object, view),
        Kind::Key => show_key(object, view),
        Kind::Ledger => show_ledger(object, view),
        Kind::Roster | Kind::Status => {}
    }
}

fn show_document(object: &Object, view: &mut View) {
    let Ok(service) = object.name.parse::<id::Service>() else {
        log::warn!("control: document {:?} is not named like a service", object.name);
        return;
    };
    if object.deleted {
        view.documents.remove(&service);
        return;
    }
    match document::parse(&object.value) {
        Ok(checked) if checked.document.service == service => {
            view.documents.insert(service, Arc::new(checked.document));
        }
        Ok(_) => log::warn!("control: document {service} names another service"),
        Err(error) => log::warn!("control: document {service} is not valid: {error}"),
    }
}

fn show_ledger(object: &Object, view: &mut View) {
    let Ok(service) = object.name.parse::<id::Service>() else {
        log::warn!("control: ledger {:?} is not named like a service", object.name);
        return;
    };
    match ledger::parse(&object.value) {
        Ok(ledger) => {
            let stored = Stored { version: object.version, ledger };
            view.ledgers.insert(service, Arc::new(stored));
        }
        // A ledger only ever changes hands; without it no host admits a request.
        Err(error) => log::warn!("control: {service}: {error}"),
    }
}

fn show_key(object: &Object, view: &mut View) {
    let Ok(digest) = object.name.parse::<id::Digest>() else {
        log::warn!("control: a key object is not named like a digest");
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
            // A key that can't be read might be a withdrawn one.
            log::warn!("control: {error}");
            keys.remove(&digest);
        }
    }
}
