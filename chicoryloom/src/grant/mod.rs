//! Admission within the workspaces' grants.
//!
//! The ledger of a service says which seats this host holds, and so which share of each grant it
//! admits by; see [`chicoryloom_policy::ledger`]. Hosts lend each other what they don't need.
//! The request path reads a [`Accounts`] and locks one account of it, and waits for no task.

mod accounts;
mod last_seen;
mod lend;
mod reconcile;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use chicoryloom_policy::Moment;
use chicoryloom_policy::account::LoanRequest;
use chicoryloom_policy::id;
use chicoryloom_policy::ledger::Holder;
use chicoryloom_policy::ledger::Holdings;
use chicoryloom_policy::ledger::Ledger;
use tokio::sync::mpsc;

pub(crate) use lend::Lender;
pub(crate) use reconcile::Reconciler;

use crate::config::policy::Division;
use crate::control::View;

use self::accounts::Accounts;
use self::last_seen::LastSeen;

/// Time for which a lapsed share stays unused past the freshness window, against slow clocks.
const CLOCK_MARGIN: Duration = Duration::from_millis(300);
/// Short accounts that may wait for their asks to be sent.
const MAX_QUEUED_SHORTAGES: usize = 1024;

/// A ledger as the platform holds it.
#[derive(Clone, Debug)]
pub(crate) struct Stored {
    /// Version that a change must name.
    pub(crate) version: id::Revision,
    pub(crate) ledger: Ledger,
}

/// An account that ran short.
#[derive(Debug)]
pub(crate) struct Shortage {
    service: id::Service,
    workspace: id::Workspace,
    request: LoanRequest,
}

/// Why a request is not admitted.
#[derive(Debug)]
pub(crate) struct Denied {
    /// When this host or another holder should have a token again; `None` if that is not known.
    pub(crate) wait: Option<Duration>,
    /// Another holder that is likely to have a token.
    pub(crate) holder: Option<id::Host>,
}

/// The accounts of this host, by service and workspace.
#[derive(Debug)]
pub(crate) struct Grants {
    me: Holder,
    division: Division,
    fresh_window: Duration,
    services: ArcSwap<HashMap<id::Service, Arc<Accounts>>>,
    last_seen: LastSeen,
    /// Held while books are replaced.
    replace_lock: Mutex<()>,
    /// Whether the host gives up its seats.
    leaving: AtomicBool,
    shortages: mpsc::Sender<Shortage>,
}

impl Grants {
    /// Returns accounts that hold nothing, and the receiver of those that run short.
    pub(crate) fn new(
        me: Holder,
        division: Division,
        fresh_window: Duration,
    ) -> (Self, mpsc::Receiver<Shortage>) {
        let (shortages, receiver) = mpsc::channel(MAX_QUEUED_SHORTAGES);
        let grants = Self {
            me,
            division,
            fresh_window,
            services: ArcSwap::default(),
            last_seen: LastSeen::default(),
            replace_lock: Mutex::default(),
            leaving: AtomicBool::new(false),
            shortages,
        };
        (grants, receiver)
    }

    /// Admits one request.
    ///
    /// A request that may be handed over is counted on another holder that is likely to take it.
    pub(crate) fn admit(
        &self,
        view: &View,
        service: &id::Service,
        workspace: &id::Workspace,
        may_hand_over: bool,
        now: Moment,
    ) -> Result<(), Denied> {
        let accounts = self.accounts(view, service, now);
        let Some(entry) = accounts.as_ref().and_then(|accounts| accounts.entry(workspace)) else {
            return Err(Denied { wait: None, holder: None });
        };
        let mut state = entry.lock();
        let admitted = state.account.admit(now);
        if self.division == Division::Demand
            && let Some(request) = state.account.request_loan(now)
        {
            let shortage =
                Shortage { service: service.clone(), workspace: workspace.clone(), request };
            // A full channel drops the wish; the next request wishes anew.
            let _ = self.shortages.try_send(shortage);
        }
        admitted.map_err(|wait| {
            let holder = may_hand_over
                .then(|| state.pick_peer(self.division, &self.last_seen, now))
                .flatten();
            let wait = match self.division {
                Division::Equal => wait,
                Division::Demand | Division::Single => {
                    wait.min(state.peer_wait(&self.last_seen, now))
                }
            };
            Denied { wait: (wait < Duration::MAX).then_some(wait), holder }
        })
    }

    /// Notes that another holder had no token after all.
    pub(crate) fn mark_empty(
        &self,
        service: &id::Service,
        workspace: &id::Workspace,
        holder: &id::Host,
        now: Moment,
    ) {
        let services = self.services.load();
        let entry = services.get(service).and_then(|accounts| accounts.entry(workspace));
        if let Some(entry) = entry {
            entry.lock().mark_peer_empty(holder, now);
        }
    }

    /// Returns a service's accounts, brought up to date with a view.
    fn accounts(&self, view: &View, service: &id::Service, now: Moment) -> Option<Arc<Accounts>> {
        let document = view.documents.get(service)?;
        let stored = view.ledgers.get(service);
        let is_current =
            |accounts: &&Arc<Accounts>| accounts.is_current(view.revision, document, stored);
        if let Some(accounts) = self.services.load().get(service).filter(is_current) {
            return Some(accounts.clone());
        }
        let _guard = self.replace_lock.lock().expect("no holder of the lock panics");
        let services = self.services.load();
        let old = services.get(service);
        if let Some(accounts) = old.filter(is_current) {
            return Some(accounts.clone());
        }
        let holdings = || Holdings::new(self.me.clone(), self.fresh_window + CLOCK_MARGIN);
        let new = Accounts::rebuild(old, holdings, view.revision, document, stored, now);
        let new = Arc::new(new);
        new.apply(&self.me, self.is_leaving(), now);
        let mut all = HashMap::clone(&services);
        all.insert(service.clone(), new.clone());
        self.services.store(Arc::new(all));
        Some(new)
    }

    /// Gives up all seats; the host admits by loans only from now on.
    pub(crate) fn leave(&self, now: Moment) {
        self.leaving.store(true, Ordering::Release);
        for accounts in self.services.load().values() {
            accounts.apply(&self.me, true, now);
        }
    }

    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }
}
