//! Admission within the workspaces' grants.
//!
//! The ledger of a service says which seats this host holds, and so which share of each grant it
//! admits by; see [`chicoryloom_policy::ledger`]. Hosts lend each other what they don't need.
//! The request path reads a [`Book`] and locks one account of it, and waits for no task.

mod book;
mod heard;
mod keep;
mod lend;

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

pub(crate) use keep::Keeper;
pub(crate) use lend::Lender;

use crate::config::policy::Division;
use crate::control::View;

use self::book::Book;
use self::heard::Heard;

/// Time for which a lapsed share stays unused past the freshness window, against slow clocks.
const MARGIN: Duration = Duration::from_millis(300);
/// Short accounts that may wait for their asks to be sent.
const SHORTS: usize = 1024;

/// A ledger as the platform holds it.
#[derive(Clone, Debug)]
pub(crate) struct Stored {
    /// Version that a change must name.
    pub(crate) version: id::Revision,
    pub(crate) ledger: Ledger,
}

/// An account that ran short.
#[derive(Debug)]
pub(crate) struct Short {
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
    window: Duration,
    books: ArcSwap<HashMap<id::Service, Arc<Book>>>,
    heard: Heard,
    /// Held while books are replaced.
    change: Mutex<()>,
    /// Whether the host gives up its seats.
    leaving: AtomicBool,
    shorts: mpsc::Sender<Short>,
}

impl Grants {
    /// Returns accounts that hold nothing, and the receiver of those that run short.
    pub(crate) fn new(
        me: Holder,
        division: Division,
        window: Duration,
    ) -> (Self, mpsc::Receiver<Short>) {
        let (shorts, receiver) = mpsc::channel(SHORTS);
        let grants = Self {
            me,
            division,
            window,
            books: ArcSwap::default(),
            heard: Heard::default(),
            change: Mutex::default(),
            leaving: AtomicBool::new(false),
            shorts,
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
        let book = self.book(view, service, now);
        let Some(entry) = book.as_ref().and_then(|book| book.entry(workspace)) else {
            return Err(Denied { wait: None, holder: None });
        };
        let mut state = entry.lock();
        let admitted = state.account.admit(now);
        if self.division == Division::Demand
            && let Some(request) = state.account.request_loan(now)
        {
            let short = Short { service: service.clone(), workspace: workspace.clone(), request };
            // A full channel drops the wish; the next request wishes anew.
            let _ = self.shorts.try_send(short);
        }
        admitted.map_err(|wait| {
            let holder = may_hand_over
                .then(|| state.other_holder(self.division, &self.heard, now))
                .flatten();
            let wait = match self.division {
                Division::Equal => wait,
                Division::Demand | Division::Single => wait.min(state.soonest(&self.heard, now)),
            };
            Denied { wait: (wait < Duration::MAX).then_some(wait), holder }
        })
    }

    /// Notes that another holder had no token after all.
    pub(crate) fn note_empty(
        &self,
        service: &id::Service,
        workspace: &id::Workspace,
        holder: &id::Host,
        now: Moment,
    ) {
        let books = self.books.load();
        let entry = books.get(service).and_then(|book| book.entry(workspace));
        if let Some(entry) = entry {
            entry.lock().drain(holder, now);
        }
    }

    /// Returns a service's accounts, brought up to date with a view.
    fn book(&self, view: &View, service: &id::Service, now: Moment) -> Option<Arc<Book>> {
        let document = view.documents.get(service)?;
        let stored = view.ledgers.get(service);
        let is_current = |book: &&Arc<Book>| book.is_current(view.revision, document, stored);
        if let Some(book) = self.books.load().get(service).filter(is_current) {
            return Some(book.clone());
        }
        let _change = self.change.lock().expect("no holder of the lock panics");
        let books = self.books.load();
        let old = books.get(service);
        if let Some(book) = old.filter(is_current) {
            return Some(book.clone());
        }
        let holdings = || Holdings::new(self.me.clone(), self.window + MARGIN);
        let new = Book::renew(old, holdings, view.revision, document, stored, now);
        let new = Arc::new(new);
        new.apply(&self.me, self.is_leaving(), now);
        let mut all = HashMap::clone(&books);
        all.insert(service.clone(), new.clone());
        self.books.store(Arc::new(all));
        Some(new)
    }

    /// Gives up all seats; the host admits by loans only from now on.
    pub(crate) fn leave(&self, now: Moment) {
        self.leaving.store(true, Ordering::Release);
        for book in self.books.load().values() {
            book.apply(&self.me, true, now);
        }
    }

    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }
}
