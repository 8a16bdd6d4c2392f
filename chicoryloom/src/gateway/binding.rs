//! What the configuration in force says of a request.
//!
//! A request may wait for its grant, its body or a target while new versions come into force. It goes on
//! by the latest one: for the workspace that holds its key then, over the route that takes its path then.
//! If there is none, the request is refused at once.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use chicoryloom_policy::catalog::Catalog;
use chicoryloom_policy::catalog::Route;
use chicoryloom_policy::catalog::Version;
use chicoryloom_policy::catalog::Workspace;
use chicoryloom_policy::id;
use chicoryloom_policy::waiting::Rank;
use smol_str::SmolStr;

use super::Gateway;
use super::Summary;
use super::refusal::Reason;
use super::refusal::Refusal;

/// What a request says of itself, by which any configuration finds its route and workspace.
#[derive(Debug)]
pub(super) struct Claim {
    pub(super) host: SmolStr,
    pub(super) path: SmolStr,
    /// Digest of the caller's key.
    pub(super) key: Option<id::Digest>,
}

/// What a configuration says of a request.
#[derive(Clone, Debug)]
pub(super) struct Binding {
    pub(super) version: Version,
    pub(super) route: Arc<Route>,
    /// `None` if the request needs no key.
    pub(super) workspace: Option<Arc<Workspace>>,
}

impl Binding {
    /// Returns what a configuration says of a request; the error refuses one that it doesn't allow.
    pub(super) fn new(catalog: &Catalog, claim: &Claim) -> Result<Self, Refusal> {
        let Some(route) = catalog.route(&claim.host, &claim.path).cloned() else {
            return Err(Refusal::new(Reason::NoRoute, "no route takes the request"));
        };
        if route.destinations.is_empty() {
            let detail = format!("route {} can't be taken from the configuration", route.name);
            return Err(Refusal::new(Reason::Misconfigured, detail));
        }
        let version = catalog.version;
        if route.public || !catalog.needs_keys {
            return Ok(Self { version, route, workspace: None });
        }
        let holder = claim.key.as_ref().and_then(|key| catalog.keys.get(key)).cloned();
        if holder.is_none() {
            if claim.key.as_ref().is_some_and(|key| catalog.unusable_keys.contains(key)) {
                let detail = "the key's workspace can't be taken from the configuration";
                return Err(Refusal::new(Reason::Misconfigured, detail));
            }
            let detail = "the key is missing, unknown or withdrawn";
            return Err(Refusal::new(Reason::Key, detail));
        }
        Ok(Self { version, route, workspace: holder })
    }

    fn rank(&self) -> Rank {
        let priority = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        Rank { priority: priority.unwrap_or(self.route.priority), route: self.route.priority }
    }
}

/// Where a request waits for a target. It is queued anew if this changes.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Place {
    pub(super) service: id::Service,
    pub(super) rank: Rank,
}

#[derive(Debug)]
struct State {
    binding: Binding,
    /// Number of the configuration that the binding comes from.
    number: u64,
    /// Service of the route's destinations, once one is selected.
    service: Option<id::Service>,
    /// Workspace whose grant the request has waited for.
    granted: Option<id::Workspace>,
    /// Whether a target may have run the request. Its route and service stay as they are from then on.
    is_sent: bool,
}

/// Keeps a request's binding up to date.
pub(super) struct Tracker<'a> {
    gateway: &'a Gateway,
    claim: Claim,
    state: Mutex<State>,
}

impl<'a> Tracker<'a> {
    /// Returns the tracker of a request with a binding by the configuration of a number.
    pub(super) fn new(gateway: &'a Gateway, claim: Claim, binding: Binding, number: u64) -> Self {
        let state = State { binding, number, service: None, granted: None, is_sent: false };
        Self { gateway, claim, state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    pub(super) fn route(&self) -> Arc<Route> {
        self.lock().binding.route.clone()
    }

    pub(super) fn workspace(&self) -> Option<Arc<Workspace>> {
        self.lock().binding.workspace.clone()
    }

    /// Records that a target may have run the request.
    pub(super) fn mark_sent(&self) {
        self.lock().is_sent = true;
    }

    /// Binds the request by the configuration in force, if that has changed; refuses it if it is no
    /// longer allowed.
    pub(super) fn follow(&self) -> Result<(), Refusal> {
        let number = self.gateway.mirror.catalog_number();
        let mut state = self.lock();
        if state.number == number {
            return Ok(());
        }
        let Some(catalog) = self.gateway.mirror.catalog() else { return Ok(()) };
        let mut binding = Binding::new(&catalog, &self.claim).inspect_err(|refusal| {
            state.binding.version = catalog.version;
            if refusal.reason == Reason::Key {
                state.binding.workspace = None;
            }
        })?;
        if state.is_sent {
            binding.route = state.binding.route.clone();
        }
        let leads_to = |service: &id::Service| {
            binding.route.destinations.iter().any(|destination| destination.service == *service)
        };
        if state.service.as_ref().is_some_and(|service| !leads_to(service)) {
            state.service = Some(self.gateway.select_service(&binding.route)?);
        }
        (state.binding, state.number) = (binding, number);
        Ok(())
    }

    /// Returns where the request waits for a target; selects its service first.
    pub(super) fn place(&self) -> Result<Place, Refusal> {
        let mut state = self.lock();
        let service = match &state.service {
            Some(service) => service.clone(),
            None => self.gateway.select_service(&state.binding.route)?,
        };
        state.service = Some(service.clone());
        Ok(Place { service, rank: state.binding.rank() })
    }

    /// Returns whether the request still waits in its place by the configuration in force; refuses it if
    /// it is no longer allowed.
    pub(super) fn is_in(&self, place: &Place) -> Result<bool, Refusal> {
        self.follow()?;
        Ok(self.place()? == *place)
    }

    /// Waits until the request must wait in another place.
    pub(super) async fn wait_until_moved(&self, place: &Place) -> Result<(), Refusal> {
        let mut changes = self.gateway.mirror.catalog_changes();
        while self.is_in(place)? {
            // The mirror owns the sender, so this never fails.
            let _ = changes.changed().await;
        }
        Ok(())
    }

    /// Waits until the request is no longer allowed.
    pub(super) async fn wait_until_refused(&self) -> Refusal {
        let mut changes = self.gateway.mirror.catalog_changes();
        loop {
            if let Err(refusal) = self.follow() {
                return refusal;
            }
            let _ = changes.changed().await;
        }
    }

    /// Waits until the grant of the key's holder has room for the request, which has `time` left.
    pub(super) async fn wait_for_grant(&self, time: Duration) -> Result<(), Refusal> {
        let mut changes = self.gateway.mirror.catalog_changes();
        loop {
            changes.mark_unchanged();
            self.follow()?;
            let Binding { route, workspace, .. } = self.lock().binding.clone();
            let Some(workspace) = workspace else { return Ok(()) };
            if self.lock().granted.as_ref() == Some(&workspace.id) {
                return Ok(());
            }
            let wait = self.gateway.wait_for_grant(&workspace, &route, time);
            tokio::select! {
                granted = wait => {
                    granted?;
                    self.lock().granted = Some(workspace.id.clone());
                }
                _ = changes.changed() => {}
            }
        }
    }

    /// Adds what the request was bound to at last to its summary.
    pub(super) fn summarize(&self, summary: &mut Summary) {
        let State { binding, service, .. } = &*self.lock();
        summary.route = Some(binding.route.clone());
        summary.workspace.clone_from(&binding.workspace);
        summary.version = Some(binding.version.0);
        summary.service.clone_from(service);
    }
}
