//! The accounts of one service on this host.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::account::Account;
use chicoryloom_policy::document::Document;
use chicoryloom_policy::document::Grant;
use chicoryloom_policy::id;
use chicoryloom_policy::ledger;
use chicoryloom_policy::ledger::Holder;
use chicoryloom_policy::ledger::Holdings;
use chicoryloom_policy::ledger::Ledger;
use chicoryloom_policy::limit::Bucket;
use chicoryloom_policy::limit::Share;
use chicoryloom_policy::limit::Tokens;

use super::Stored;
use super::last_seen::LastSeen;
use crate::config::policy::Division;

/// The accounts of one service; replaced by a new version when the document or the ledger changes.
#[derive(Debug)]
pub(super) struct Accounts {
    revision: id::Revision,
    document: Arc<Document>,
    pub(super) stored: Option<Arc<Stored>>,
    /// Shared by all versions of the accounts.
    pub(super) holdings: Arc<Mutex<Holdings>>,
    entries: HashMap<id::Workspace, Arc<Entry>>,
}

/// One workspace's account; shared by all versions of the service's accounts.
#[derive(Debug)]
pub(super) struct Entry(Mutex<State>);

/// State of one workspace's account.
#[derive(Debug)]
pub(super) struct State {
    pub(super) account: Account,
    /// Determines which seats get the remainder tokens of a burst.
    rotation: u64,
    peers: Vec<Peer>,
}

/// This host's estimate of the tokens of another holder.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) holder: Holder,
    /// Filled as the holder's bucket would be without requests; corrected when its level is known.
    pub(super) bucket: Bucket,
}

impl Accounts {
    /// Returns the next version of a service's accounts, which keeps the holdings and the accounts.
    pub(super) fn rebuild<T>(
        old: Option<&Arc<Self>>,
        holdings: T,
        revision: id::Revision,
        document: &Arc<Document>,
        stored: Option<&Arc<Stored>>,
        now: Moment,
    ) -> Self
    where
        T: FnOnce() -> Holdings,
    {
        let holdings =
            old.map_or_else(|| Arc::new(Mutex::new(holdings())), |old| old.holdings.clone());
        let kept = old.map(|old| old.entries.clone()).unwrap_or_default();
        // The account of a workspace that was removed from the document stays until its loans to
        // others have ended, so that they still count if the workspace is added again.
        let lends = |entry: &Arc<Entry>| entry.lock().account.lent_until() > Some(now);
        let mut entries: HashMap<_, _> =
            kept.iter().filter(|(_, entry)| lends(entry)).map(clone_entry).collect();
        for workspace in document.grants.keys() {
            let entry = kept.get(workspace).cloned();
            let entry = entry.unwrap_or_else(|| Arc::new(Entry::new(workspace, now)));
            entries.insert(workspace.clone(), entry);
        }
        let stored = stored.or(old.and_then(|old| old.stored.as_ref())).cloned();
        Self { revision, document: document.clone(), stored, holdings, entries }
    }

    /// Returns whether these accounts are based on a document and a ledger, or on later ones.
    pub(super) fn is_current(
        &self,
        revision: id::Revision,
        document: &Arc<Document>,
        stored: Option<&Arc<Stored>>,
    ) -> bool {
        let generation = |stored: &Arc<Stored>| stored.ledger.generation;
        let is_later = self.revision > revision;
        is_later
            || Arc::ptr_eq(&self.document, document)
                && self.stored.as_ref().map(generation) >= stored.map(generation)
    }

    pub(super) fn entry(&self, workspace: &id::Workspace) -> Option<&Arc<Entry>> {
        self.entries.get(workspace)
    }

    /// Returns the ledger that these accounts are based on.
    pub(super) fn ledger(&self) -> Option<&Ledger> {
        self.stored.as_ref().map(|stored| &stored.ledger)
    }

    pub(super) fn holdings(&self) -> MutexGuard<'_, Holdings> {
        self.holdings.lock().expect("no holder of the lock panics")
    }

    /// Applies the ledger to the holdings and sets every account's share by the active seats.
    pub(super) fn apply(&self, me: &Holder, leaving: bool, now: Moment) {
        let mut holdings = self.holdings();
        if let Some(ledger) = self.ledger() {
            holdings.update(ledger, now);
        }
        for (workspace, entry) in &self.entries {
            let mut state = entry.lock();
            let grant = self.document.grants.get(workspace).filter(|_| !leaving);
            let rotation = state.rotation;
            let share = grant.map(|grant| holdings.share(grant, rotation, now)).unwrap_or_default();
            state.account.set_share(share, now);
            if let (Some(ledger), Some(grant)) = (self.ledger(), grant) {
                state.update_peers(ledger, grant, me, now);
            }
        }
    }

    /// Returns the time at which the last loan to another holder ends.
    pub(super) fn lent_until(&self) -> Option<Moment> {
        self.entries.values().filter_map(|entry| entry.lock().account.lent_until()).max()
    }
}

fn clone_entry((name, entry): (&id::Workspace, &Arc<Entry>)) -> (id::Workspace, Arc<Entry>) {
    (name.clone(), entry.clone())
}

impl Entry {
    fn new(workspace: &id::Workspace, now: Moment) -> Self {
        let mut rotation = [0; 8];
        rotation.copy_from_slice(&blake3::hash(workspace.as_str().as_bytes()).as_bytes()[..8]);
        let rotation = u64::from_le_bytes(rotation);
        Self(Mutex::new(State { account: Account::new(now), rotation, peers: Vec::new() }))
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no holder of the lock panics")
    }
}

impl State {
    /// Updates the estimates of the other holders to a ledger; new holders are assumed to be full.
    fn update_peers(&mut self, ledger: &Ledger, grant: &Grant, me: &Holder, now: Moment) {
        let mut old = std::mem::take(&mut self.peers);
        for holder in ledger.seat_counts().into_keys().filter(|holder| holder.host != me.host) {
            let seats = ledger.held_by(&holder);
            let share: Share =
                seats.into_iter().map(|seat| ledger::share(grant, self.rotation, seat)).sum();
            let known = old.iter().position(|peer| peer.holder == holder);
            let mut peer = known.map_or_else(
                || Peer { holder, bucket: full(share, now) },
                |index| old.swap_remove(index),
            );
            peer.bucket.set_share(share, now);
            self.peers.push(peer);
        }
    }

    /// Returns another holder that is likely to have a token, and takes the token off its estimate.
    ///
    /// Skips holders that sent nothing recently: a request that is handed to a stopped host would
    /// end with an unknown outcome, whereas a refusal is certain.
    pub(super) fn pick_peer(
        &mut self,
        division: Division,
        last_seen: &LastSeen,
        now: Moment,
    ) -> Option<id::Host> {
        self.refill(now);
        let is_recent = |peer: &&mut Peer| last_seen.is_recent(&peer.holder.host, now);
        let mut peers = self.peers.iter_mut().filter(is_recent);
        let peer = match division {
            Division::Equal => None,
            Division::Single => peers.next(),
            Division::Demand => peers
                .max_by_key(|peer| peer.bucket.level())
                .filter(|peer| peer.bucket.level() >= Tokens::ONE),
        }?;
        peer.bucket.withdraw(Tokens::ONE);
        Some(peer.holder.host.clone())
    }

    /// Returns the shortest time until a recently seen holder should have a token.
    pub(super) fn peer_wait(&mut self, last_seen: &LastSeen, now: Moment) -> Duration {
        self.refill(now);
        let recent = self.peers.iter().filter(|peer| last_seen.is_recent(&peer.holder.host, now));
        recent.map(|peer| peer.bucket.time_to_token()).min().unwrap_or(Duration::MAX)
    }

    /// Returns the other holders, those with the most tokens first.
    pub(super) fn peers_by_level(&mut self, now: Moment) -> Vec<id::Host> {
        self.refill(now);
        self.peers.sort_by_key(|peer| std::cmp::Reverse(peer.bucket.level()));
        self.peers.iter().map(|peer| peer.holder.host.clone()).collect()
    }

    fn refill(&mut self, now: Moment) {
        for peer in &mut self.peers {
            peer.bucket.refill(now);
        }
    }

    /// Records that another holder has no token.
    pub(super) fn mark_peer_empty(&mut self, host: &id::Host, now: Moment) {
        self.set_peer_level(host, Tokens::ZERO, now);
    }

    /// Records how many tokens another holder has.
    pub(super) fn set_peer_level(&mut self, host: &id::Host, level: Tokens, now: Moment) {
        if let Some(peer) = self.peers.iter_mut().find(|peer| peer.holder.host == *host) {
            peer.bucket.refill(now);
            peer.bucket.withdraw(peer.bucket.level());
            peer.bucket.deposit(level);
        }
    }
}

fn full(share: Share, now: Moment) -> Bucket {
    let mut bucket = Bucket::empty(share, now);
    bucket.deposit(share.cap);
    bucket
}
