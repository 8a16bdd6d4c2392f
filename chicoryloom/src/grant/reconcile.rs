//! Proposes ledgers to the platform, and activates this host's seats once that is safe.

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
use super::accounts::Accounts;
use crate::clock::Clock;
use crate::config::policy::Division;
use crate::control::Published;
use crate::control::View;
use crate::store::Store;
use crate::store::Update;

/// Time between two checks of the seats.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Delay of a proposal per rank of the host among the home hosts, and maximum random delay on top.
const RANK_DELAY: Duration = Duration::from_millis(100);
/// Delay before a host proposes to take seats from another one, which may be releasing them.
const SEIZE_DELAY: Duration = Duration::from_millis(1500);
/// Delay before a holder proposes to claim vacant seats, which a starting host may be claiming.
const CLAIM_DELAY: Duration = Duration::from_millis(1500);
/// Delay before a holder proposes to remove other holders.
const REMOVAL_DELAY: Duration = Duration::from_secs(4);
/// Delay before a proposal is repeated, in which its effect should become visible.
const REPEAT_DELAY: Duration = Duration::from_secs(2);
/// Maximum number of attempts to release a service's seats on shutdown.
const RELEASE_ATTEMPTS: usize = 3;

/// The schedule of proposals for one service.
#[derive(Debug, Default)]
struct Schedule {
    /// When the next proposal is due; `None` while none is needed.
    due: Option<Moment>,
    /// Generation of the latest ledger seen.
    generation: u64,
}

/// Maintains this host's seats of all services.
#[derive(Debug)]
pub(crate) struct Reconciler {
    pub(crate) grants: Arc<Grants>,
    pub(crate) published: Arc<Published>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) store: Arc<dyn Store>,
}

impl Reconciler {
    /// Checks the seats regularly until the task is aborted.
    pub(crate) async fn run(self) {
        let mut schedules = HashMap::<id::Service, Schedule>::new();
        let mut interval = tokio::time::interval(CHECK_INTERVAL);
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
                    let schedule = schedules.entry(service.clone()).or_default();
                    self.reconcile(&view, service, schedule, now);
                }
            }
        }
    }

    /// Activates seats of one service and proposes a new ledger if one is due.
    fn reconcile(&self, view: &View, service: &id::Service, schedule: &mut Schedule, now: Moment) {
        let Some(accounts) = self.grants.accounts(view, service, now) else {
            return;
        };
        self.activate(view, &accounts, schedule, now);
        let homes = match self.grants.division {
            Division::Single => &view.homes(service)[..1],
            Division::Demand | Division::Equal => view.homes(service),
        };
        let vacant = Ledger::default();
        let ledger = accounts.ledger().unwrap_or(&vacant);
        let me = &self.grants.me;
        let holds = !ledger.held_by(me).is_empty();
        let Some(next) = ledger.propose(me, homes, holds) else {
            schedule.due = None;
            return;
        };
        let rank = homes.iter().position(|home| *home == me.host).unwrap_or_default();
        let delay = proposal_delay(ledger, holds, rank);
        if now < *schedule.due.get_or_insert(now.after(delay)) {
            return;
        }
        schedule.due = Some(now.after(REPEAT_DELAY));
        self.propose(service, accounts.stored.as_deref(), &next);
    }

    /// Records the acceptance of the ledger, and updates the accounts while seats are pending or
    /// became active a short time ago.
    fn activate(&self, view: &View, accounts: &Accounts, schedule: &mut Schedule, now: Moment) {
        let generation = accounts.ledger().map_or(0, |ledger| ledger.generation);
        if generation > schedule.generation {
            *schedule = Schedule { generation, due: None };
        }
        let mut holdings = accounts.holdings();
        let is_accepted = |stored: &Arc<Stored>| view.is_accepted(stored.version);
        if holdings.awaits_acceptance() && accounts.stored.as_ref().is_some_and(is_accepted) {
            holdings.accept(generation, now);
        }
        let has_pending = !holdings.pending(now.before(CHECK_INTERVAL * 2)).is_empty();
        drop(holdings);
        if has_pending {
            accounts.apply(&self.grants.me, self.grants.is_leaving(), now);
        }
    }

    /// Writes a ledger in the background; it takes effect once the platform's watch delivers it.
    fn propose(&self, service: &id::Service, stored: Option<&Stored>, next: &Ledger) {
        let store = self.store.clone();
        let update = update(service, stored, next);
        log::info!("grant: {service}: proposing ledger generation {}", next.generation);
        tokio::spawn(async move {
            if let Err(error) = store.put(update).await {
                log::debug!("grant: writing a proposed ledger failed: {error}");
            }
        });
    }

    /// Releases all seats after loans to others have ended; other hosts may use them at once.
    ///
    /// If the platform is unavailable, the seats are taken over like those of a failed host.
    pub(crate) async fn release(&self) {
        self.grants.leave(self.clock.now());
        let services = self.grants.services.load_full();
        let lent = services.values().filter_map(|accounts| accounts.lent_until()).max();
        tokio::time::sleep(lent.unwrap_or_default().since(self.clock.now())).await;
        for service in services.keys() {
            for _ in 0..RELEASE_ATTEMPTS {
                if self.release_service(service).await {
                    break;
                }
                tokio::time::sleep(CHECK_INTERVAL * 4).await;
            }
        }
    }

    /// Releases the seats of one service; returns whether none is left.
    async fn release_service(&self, service: &id::Service) -> bool {
        let now = self.clock.now();
        let Some(accounts) = self.grants.accounts(&self.published.view(), service, now) else {
            return true;
        };
        let pending = accounts.holdings().pending(now);
        let Some(next) =
            accounts.ledger().and_then(|ledger| ledger.release(&self.grants.me, &pending))
        else {
            return true;
        };
        self.store.put(update(service, accounts.stored.as_deref(), &next)).await.is_ok()
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

fn proposal_delay(ledger: &Ledger, holds: bool, rank: usize) -> Duration {
    let is_vacant = ledger.seats.iter().any(|seat| seat.holder.is_none());
    let least = match (holds, is_vacant) {
        (true, true) => CLAIM_DELAY,
        (true, false) => REMOVAL_DELAY,
        (false, true) => Duration::ZERO,
        (false, false) => SEIZE_DELAY,
    };
    let step = RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX);
    least + step + RANK_DELAY.mul_f64(rand::rng().random_range(0.0..1.0))
}
