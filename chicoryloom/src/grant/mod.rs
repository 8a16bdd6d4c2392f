//! Admission within the workspaces' grants.
//!
//! The ledger of a service says which seats this host holds, and so which share of each grant it
//! may admit; see [`chicoryloom_policy::ledger`]. Hosts lend each other the rate that they don't
//! need. The request path reads the [`Accounts`] of a service, locks one of them, and waits for no
//! other task.

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

/// Time beyond the freshness window for which a seized seat stays unused, in case of slow clocks.
const CLOCK_MARGIN: Duration = Duration::from_millis(300);
/// Maximum number of shortages whose loan requests are still to be sent.
const MAX_QUEUED_SHORTAGES: usize = 1024;

/// A ledger as the platform stores it.
#[derive(Clone, Debug)]
pub(crate) struct Stored {
    /// Version that an update must name as the expected one.
    pub(crate) version: id::Revision,
    pub(crate) ledger: Ledger,
}

/// An account that ran short of tokens, with the loan that it requests.
#[derive(Debug)]
pub(crate) struct Shortage {
    service: id::Service,
    workspace: id::Workspace,
    request: LoanRequest,
}

/// The denial of a request, with when or where it may be admitted instead.
#[derive(Debug)]
pub(crate) struct Denied {
    /// Time until this host or another holder should have a token; `None` if that is not known.
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
    /// Held while the accounts of a service are replaced.
    replace_lock: Mutex<()>,
    /// Whether the host is giving up its seats.
    leaving: AtomicBool,
    shortages: mpsc::Sender<Shortage>,
}

impl Grants {
    /// Returns grants without accounts, and the receiver of the shortages.
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
    /// If the request is denied and may be handed over, the result names another holder that is
    /// likely to have a token, and one token is taken off the estimate of that holder's bucket.
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
            // A full channel drops the shortage; a later request reports another one.
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

    /// Records that another holder turned out to have no token.
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

    /// Returns a service's accounts, after updating them to a view if they are older.
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

    /// Gives up all seats: the host's own share of every grant is zero from now on.
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
