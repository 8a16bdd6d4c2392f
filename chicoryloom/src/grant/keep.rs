//! Keeps this host's seats: proposes ledgers, and binds seats once that is safe.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::id;
use chicoryloom_policy::ledger::Ledger;
use chicoryloom_wire::ledger;
use chicoryloom_wire::platform::Kind;
use rand::Rng;

use super::Grants;
use super::Stored;
use super::book::Book;
use crate::clock::Clock;
use crate::config::policy::Division;
use crate::control::Published;
use crate::control::View;
use crate::store::Store;
use crate::store::Update;

/// Time between two looks at the seats.
const TICK: Duration = Duration::from_millis(50);
/// Time before a host that holds nothing proposes, by its rank among the home hosts.
const JOIN_STEP: Duration = Duration::from_millis(100);
/// Time before a host proposes to take seats from another one, which may be releasing them.
const SEIZE_DELAY: Duration = Duration::from_millis(1500);
/// Time before a holder proposes to claim vacant seats, which a starting host may be joining for.
const CLAIM_DELAY: Duration = Duration::from_millis(1500);
/// Time before a holder proposes to drop others.
const TIDY_DELAY: Duration = Duration::from_secs(4);
/// Pause after a proposal, in which its effect becomes visible.
const PAUSE: Duration = Duration::from_secs(2);
/// Tries to release a service's seats on shutdown.
const RELEASE_TRIES: usize = 3;

/// The proposals of one service.
#[derive(Debug, Default)]
struct Duty {
    /// When the next proposal is due; `None` while none is needed.
    due: Option<Moment>,
    /// Generation of the ledger in sight.
    generation: u64,
}

/// Keeps the seats of all services on this host.
#[derive(Debug)]
pub(crate) struct Keeper {
    pub(crate) grants: Arc<Grants>,
    pub(crate) published: Arc<Published>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) store: Arc<dyn Store>,
}

impl Keeper {
    /// Keeps the seats until the task is aborted.
    pub(crate) async fn run(self) {
        let mut duties = HashMap::<id::Service, Duty>::new();
        let mut interval = tokio::time::interval(TICK);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let now = self.clock.now();
            let view = self.published.view();
            if self.grants.is_leaving() || !self.published.is_fresh(now) {
                continue;
            }
            for service in view.documents.keys() {
                if view.homes(service).contains(&self.grants.me.host) {
                    let duty = duties.entry(service.clone()).or_default();
                    self.look(&view, service, duty, now);
                }
            }
        }
    }

    fn look(&self, view: &View, service: &id::Service, duty: &mut Duty, now: Moment) {
        let Some(book) = self.grants.book(view, service, now) else {
            return;
        };
        self.bind(view, &book, duty, now);
        let homes = match self.grants.division {
            Division::Single => &view.homes(service)[..1],
            Division::Demand | Division::Equal => view.homes(service),
        };
        let vacant = Ledger::default();
        let ledger = book.ledger().unwrap_or(&vacant);
        let me = &self.grants.me;
        let holds = !ledger.held_by(me).is_empty();
        let Some(next) = ledger.propose(me, homes, holds) else {
            duty.due = None;
            return;
        };
        let rank = homes.iter().position(|home| *home == me.host).unwrap_or_default();
        let delay = delay(ledger, holds, rank);
        if now < *duty.due.get_or_insert(now.after(delay)) {
            return;
        }
        duty.due = Some(now.after(PAUSE));
        self.propose(service, book.stored.as_deref(), &next);
    }

    /// Binds the seats that this host may admit by from now on.
    fn bind(&self, view: &View, book: &Book, duty: &mut Duty, now: Moment) {
        let generation = book.ledger().map_or(0, |ledger| ledger.generation);
        if generation > duty.generation {
            *duty = Duty { generation, due: None };
        }
        let mut holdings = book.holdings();
        let is_accepted = |stored: &Arc<Stored>| view.is_accepted(stored.version);
        if holdings.awaits_acceptance() && book.stored.as_ref().is_some_and(is_accepted) {
            holdings.accept(generation, now);
        }
        let waits = !holdings.pending(now.before(TICK * 2)).is_empty();
        drop(holdings);
        if waits {
            book.apply(&self.grants.me, self.grants.is_leaving(), now);
        }
    }

    /// Writes a ledger; its effect shows once the platform's watch brings it.
    fn propose(&self, service: &id::Service, stored: Option<&Stored>, next: &Ledger) {
        let store = self.store.clone();
        let update = update(service, stored, next);
        log::info!("grant: {service}: propose generation {}", next.generation);
        tokio::spawn(async move {
            if let Err(error) = store.put(update).await {
                log::debug!("grant: a ledger was not written: {error}");
            }
        });
    }

    /// Gives up all seats, so that other hosts may admit by them at once.
    ///
    /// The platform may be away; the seats are then taken over like those of a lost host.
    pub(crate) async fn release(&self) {
        self.grants.leave(self.clock.now());
        let books = self.grants.books.load_full();
        let lent = books.values().filter_map(|book| book.lent_until()).max();
        tokio::time::sleep(lent.unwrap_or_default().since(self.clock.now())).await;
        for service in books.keys() {
            for _ in 0..RELEASE_TRIES {
                if self.release_one(service).await {
                    break;
                }
                tokio::time::sleep(TICK * 4).await;
            }
        }
    }

    /// Releases the seats of one service; tells whether none is left.
    async fn release_one(&self, service: &id::Service) -> bool {
        let now = self.clock.now();
        let Some(book) = self.grants.book(&self.published.view(), service, now) else {
            return true;
        };
        let pending = book.holdings().pending(now);
        let Some(next) = book.ledger().and_then(|ledger| ledger.release(&self.grants.me, &pending))
        else {
            return true;
        };
        self.store.put(update(service, book.stored.as_deref(), &next)).await.is_ok()
    }
}

fn update(service: &id::Service, stored: Option<&Stored>, next: &Ledger) -> Update {
    Update {
        kind: Kind::Ledger,
        name: service.to_string(),
        value: ledger::render(next),
        expected: stored.map(|stored| stored.version).unwrap_or_default(),
    }
}

fn delay(ledger: &Ledger, holds: bool, rank: usize) -> Duration {
    let is_vacant = ledger.seats.iter().any(|seat| seat.holder.is_none());
    let least = match (holds, is_vacant) {
        (true, true) => CLAIM_DELAY,
        (true, false) => TIDY_DELAY,
        (false, true) => Duration::ZERO,
        (false, false) => SEIZE_DELAY,
    };
    let step = JOIN_STEP * u32::try_from(rank).unwrap_or(u32::MAX);
    least + step + JOIN_STEP.mul_f64(rand::rng().random_range(0.0..1.0))
}
