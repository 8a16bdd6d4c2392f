//! Assigns requests to targets, and queues requests while no target has a free slot.

mod links;
mod peers;
pub(super) mod throttle;
mod withdrawal;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::Weak;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::catalog::Catalog;
use chicoryloom_policy::catalog::Target;
use chicoryloom_policy::dispatch;
use chicoryloom_policy::dispatch::Candidate;
use chicoryloom_policy::dispatch::Queue;
use chicoryloom_policy::dispatch::Rank;
use chicoryloom_policy::dispatch::Rejection;
use chicoryloom_policy::dispatch::Ticket;
use chicoryloom_policy::entry;
use chicoryloom_policy::entry::Owners;
use chicoryloom_policy::gray::Estimator;
use chicoryloom_policy::gray::Notice;
use chicoryloom_policy::gray::Standing;
use chicoryloom_policy::gray::View;
use chicoryloom_policy::holdback::Fingerprint;
use chicoryloom_policy::holdback::Holdback;
use chicoryloom_policy::id;
use chicoryloom_policy::inflight::InFlight;
use chicoryloom_policy::loss::Losses;
use chicoryloom_policy::reach::Reach;
use chicoryloom_policy::retry::Budget;
use chicoryloom_policy::withdrawal::Availability;
use chicoryloom_policy::withdrawal::Process;
use chicoryloom_policy::withdrawal::Withdrawals;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use self::throttle::Throttle;
use super::events::Events;
use super::settings::Bounds;
use crate::clock::Clock;
use crate::target::Backend;

/// Timeout for connecting to a target; 20 times the round trip between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which an idle connection to a target is kept; targets close theirs after ten seconds
/// at the earliest.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Weight of the newest sample in the smoothed latency of a route.
const LATENCY_WEIGHT: f64 = 0.05;
/// Targets that must crash on equal requests before such requests are held back. Equal requests of
/// one workspace are common, and two targets may well crash for another reason while they run one.
const CRASH_LIMIT: usize = 3;
/// Requests at the head of a queue that are considered for free slots. Requests may need different
/// targets, so that the first one must not block those behind it.
const LOOKAHEAD: usize = 8;
/// Time for which a leaving target is reported to the other hosts once a second, as datagrams get
/// lost and hosts become entry hosts.
const DEPARTURE_REPORT_TIME: Duration = Duration::from_secs(3);
/// Least number of connections that a host may have to one target, however many hosts there are.
const MIN_CONNECTIONS: u32 = 4;

/// A target that the platform lists, with its connections.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) target: Arc<Target>,
    pub(super) backend: Arc<Backend>,
    /// When the target is expected to have warmed up after its start.
    warmup_end: Moment,
    /// Key by which the responsibility for its trial requests is assigned.
    trial_key: u64,
}

/// Requirements of a request for its target.
#[derive(Clone, Debug)]
pub(super) struct Requirements {
    pub(super) service: id::Service,
    pub(super) rank: Rank,
    /// Whether the request can be retried at another target if this one fails it.
    pub(super) can_retry: bool,
    /// Targets that may have run the request already; they aren't chosen again.
    pub(super) tried: Vec<id::Instance>,
    pub(super) arrived: Moment,
    /// Latest moment at which the request may still be sent.
    pub(super) latest: Moment,
}

struct Waiter {
    requirements: Requirements,
    sender: oneshot::Sender<Slot>,
}

#[derive(Default)]
struct Service {
    targets: Vec<Arc<Endpoint>>,
    queue: Queue,
    waiters: BTreeMap<Ticket, Waiter>,
    budget: Option<Budget>,
    /// Smoothed time from sending a request to the head of its response, in seconds, by route.
    latencies: HashMap<id::Route, f64>,
}

impl Service {
    /// Ends the wait of all requests, which are woken as their senders are dropped.
    fn refuse_waiters(&mut self) {
        for ticket in std::mem::take(&mut self.waiters).into_keys() {
            self.queue.remove(ticket);
        }
    }
}

struct State {
    services: HashMap<id::Service, Service>,
    /// Latest listing that is not yet applied to `services`.
    listing: Option<Listing>,
    /// Data centres of the targets with requests of this host.
    data_centres: HashMap<id::Instance, id::DataCentre>,
    in_flight: InFlight,
    estimator: Estimator,
    holdback: Holdback,
    withdrawals: Withdrawals,
    throttle: Throttle,
    reach: Reach,
    losses: Losses,
    /// Configuration of the latest listing.
    catalog: Option<Arc<Catalog>>,
    /// Part of the known hosts that are alive, from 0 to 1.
    visible_part: f64,
    /// Leaving targets that are not yet reported to the other hosts.
    departures: Vec<Process>,
    /// Leaving targets that this host reports, and since when.
    reported_departures: Vec<(Process, Moment)>,
    /// Hosts that callers are sent to, with their data centres. One of them is responsible for the
    /// trial requests to each target.
    entry_hosts: Vec<(id::Host, id::DataCentre)>,
    /// Targets whose trial requests this host is responsible for.
    trial_targets: HashSet<id::Instance>,
    notices: Vec<(id::Instance, Notice)>,
    /// When the latest request was sent that each target served successfully, for targets not yet
    /// reported to the other hosts.
    successes: HashMap<id::Instance, Moment>,
    crash_reports: Vec<(Fingerprint, SocketAddr, bool)>,
    host_count: u32,
}

/// What the platform lists.
struct Listing {
    targets: Vec<Arc<Target>>,
    catalog: Option<Arc<Catalog>>,
}

/// The targets of a service that take requests, and what to choose among them by.
///
/// One board serves all requests that are assigned at a moment, since building it takes time for
/// each target.
struct Board {
    endpoints: Vec<Arc<Endpoint>>,
    /// In the order of `endpoints`.
    candidates: Vec<Candidate>,
}

impl Board {
    /// Returns whether no target has a free slot.
    fn is_full(&self) -> bool {
        !self.candidates.iter().any(Candidate::is_free)
    }

    /// Chooses a target for a request, other than those already tried.
    fn choose(&self, request: dispatch::Request, tried: &[id::Instance]) -> Option<usize> {
        let rng = &mut rand::rng();
        if tried.is_empty() {
            return dispatch::choose(&self.candidates, request, rng);
        }
        let is_fresh = |at: &usize| !tried.contains(&self.endpoints[*at].target.instance);
        let fresh: Vec<_> = (0..self.endpoints.len()).filter(is_fresh).collect();
        let candidates: Vec<_> = fresh.iter().map(|at| self.candidates[*at]).collect();
        dispatch::choose(&candidates, request, rng).map(|at| fresh[at])
    }
}

/// Assigns requests to targets.
pub(super) struct Dispatcher {
    me: id::Host,
    /// Key by which the order differs in which hosts ask for permits.
    key: u64,
    data_centre: id::DataCentre,
    source: IpAddr,
    bounds: Bounds,
    clock: Arc<dyn Clock>,
    events: Events,
    state: Mutex<State>,
    /// Notified when there is something to send to the other hosts.
    pub(super) changed: Notify,
    /// Notified when the links to targets may be in another state, or are to be checked.
    pub(super) links_changed: Notify,
    weak_self: Weak<Self>,
}

impl fmt::Debug for Dispatcher {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Dispatcher {{ {} }}", self.me)
    }
}

/// Reasons for the choice of a request's target.
#[derive(Clone, Debug)]
pub(super) struct Choice {
    pub(super) target: id::Instance,
    candidate: Candidate,
    waited: Duration,
}

impl Choice {
    /// Returns the choice for an event.
    pub(super) fn to_json(&self) -> Value {
        let Candidate { in_flight, near, standing, risk, evidence_age, due, .. } = self.candidate;
        let standing = match standing {
            Standing::InUse => "in use",
            Standing::Spare => "spare",
            Standing::Trial(_) => "trial",
            Standing::HeldBack => "held back",
        };
        json!({
            "target": self.target.as_str(), "standing": standing, "due": due, "near": near,
            "risk": (risk * 1000.0).round() / 1000.0, "in_flight": in_flight,
            "evidence_age_ms": evidence_age.map(|age| age.as_millis() as u64),
            "waited_ms": self.waited.as_millis() as u64,
        })
    }
}

/// Slot of a request at a target; freed when dropped.
pub(super) struct Slot {
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) choice: Box<Choice>,
    dispatcher: Arc<Dispatcher>,
    /// Whether the slot was freed already, by code that holds the lock.
    is_released: bool,
}

impl fmt::Debug for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Slot {{ {} }}", self.endpoint.target.instance)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.is_released {
            return;
        }
        self.dispatcher.lock().in_flight.end(&self.endpoint.target.instance);
        self.dispatcher.changed.notify_one();
        self.dispatcher.dispatch_waiting(&self.endpoint.target.service);
    }
}

/// Removes a request from its queue when dropped.
struct QueueGuard<'a> {
    dispatcher: &'a Dispatcher,
    service: &'a id::Service,
    ticket: Ticket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if let Some(service) = self.dispatcher.lock().services.get_mut(self.service) {
            service.queue.remove(self.ticket);
            service.waiters.remove(&self.ticket);
        }
    }
}

impl Dispatcher {
    pub(super) fn new(
        me: id::Host,
        data_centre: id::DataCentre,
        source: IpAddr,
        bounds: Bounds,
        clock: Arc<dyn Clock>,
        events: Events,
    ) -> Arc<Self> {
        let key = entry::rank(&me);
        let started = clock.now();
        Arc::new_cyclic(|weak_self| Self {
            me,
            key,
            data_centre,
            source,
            bounds,
            clock,
            events,
            state: Mutex::new(State {
                services: HashMap::new(),
                listing: None,
                data_centres: HashMap::new(),
                in_flight: InFlight::default(),
                estimator: Estimator::default(),
                holdback: Holdback::new(CRASH_LIMIT),
                withdrawals: Withdrawals::default(),
                throttle: Throttle::default(),
                reach: Reach::new(started),
                losses: Losses::default(),
                catalog: None,
                visible_part: 1.0,
                departures: Vec::new(),
                reported_departures: Vec::new(),
                entry_hosts: Vec::new(),
                trial_targets: HashSet::new(),
                notices: Vec::new(),
                successes: HashMap::new(),
                crash_reports: Vec::new(),
                host_count: 1,
            }),
            changed: Notify::new(),
            links_changed: Notify::new(),
            weak_self: weak_self.clone(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Replaces the targets with those that the platform lists now.
    ///
    /// The listing is applied before the next choice of a target, or with the next [`Self::sweep`].
    /// So hosts without callers don't work through each change of a release.
    pub(super) fn set_targets(&self, targets: Vec<Arc<Target>>, catalog: Option<Arc<Catalog>>) {
        let mut state = self.lock();
        state.listing = Some(Listing { targets, catalog });
        if state.services.values().any(|service| !service.queue.is_empty()) {
            self.apply_listing(&mut state);
        }
    }

    /// Applies the latest listing if there is one.
    ///
    /// A target whose entry changed keeps its connections, unless it is another process.
    fn apply_listing(&self, state: &mut State) {
        let Some(Listing { targets, catalog }) = state.listing.take() else { return };
        let now = self.clock.now();
        let mut old: HashMap<id::Instance, Arc<Endpoint>> = HashMap::new();
        for service in state.services.values_mut() {
            for endpoint in service.targets.drain(..) {
                old.insert(endpoint.target.instance.clone(), endpoint);
            }
        }
        for target in targets {
            let known = old
                .remove(&target.instance)
                .filter(|endpoint| is_same_process(&endpoint.target, &target));
            let endpoint = match known {
                Some(endpoint) if endpoint.target == target => endpoint,
                Some(endpoint) => Arc::new(Endpoint {
                    backend: endpoint.backend.clone(),
                    trial_key: endpoint.trial_key,
                    warmup_end: now.after(target.warmup),
                    target,
                }),
                None => Arc::new(self.new_endpoint(target, now)),
            };
            let service = endpoint.target.service.clone();
            state.services.entry(service).or_default().targets.push(endpoint);
        }
        for service in state.services.values_mut() {
            service.targets.sort_by(|a, b| a.target.instance.cmp(&b.target.instance));
        }
        state.trial_targets = self.trial_targets(state);
        Self::drop_foreign_issuers(state);
        self.set_connection_caps(state, catalog.as_deref());
        state.catalog = catalog;
        let names: Vec<_> = state.services.keys().cloned().collect();
        for name in names {
            self.dispatch_locked(state, &name);
        }
    }

    fn new_endpoint(&self, target: Arc<Target>, now: Moment) -> Endpoint {
        let address = id::Target(target.address);
        let backend = Backend::new(address, self.source, CONNECT_TIMEOUT, IDLE_TIMEOUT);
        let trial_key = entry::target_key(&target.instance);
        let warmup_end = now.after(target.warmup);
        Endpoint { backend: Arc::new(backend), warmup_end, trial_key, target }
    }

    /// Sets this host's share of the connections to each target.
    fn set_connection_caps(&self, state: &State, catalog: Option<&Catalog>) {
        for (name, service) in &state.services {
            let limit = catalog.and_then(|catalog| catalog.services.get(name));
            let limit = limit.map_or(u32::MAX, |service| service.connections.0);
            let cap = (limit / state.host_count.max(1)).max(MIN_CONNECTIONS);
            for endpoint in &service.targets {
                endpoint.backend.set_cap(cap);
            }
        }
    }

    /// Sets the hosts that callers are sent to, the number of live hosts, and that of all known ones
    /// that are not leaving.
    pub(super) fn set_fleet(
        &self,
        entry_hosts: Vec<(id::Host, id::DataCentre)>,
        hosts: usize,
        known: usize,
    ) {
        let mut state = self.lock();
        if state.entry_hosts != entry_hosts {
            state.entry_hosts = entry_hosts;
            state.trial_targets = self.trial_targets(&state);
            Self::drop_foreign_issuers(&mut state);
        }
        state.visible_part = (hosts as f64 / known.max(1) as f64).min(1.0);
        state.host_count = u32::try_from(hosts).unwrap_or(u32::MAX);
        let burst = self.retry_burst(&state);
        for service in state.services.values_mut() {
            if let Some(budget) = &mut service.budget {
                budget.set_burst(burst);
            }
        }
    }

    /// Returns this host's share of the burst of retries that all hosts may send together.
    fn retry_burst(&self, state: &State) -> f64 {
        (self.bounds.retry_burst / state.entry_hosts.len().max(1) as f64).max(1.0)
    }

    /// Waits for a slot at a target until the latest moment at which the request may be sent.
    pub(super) async fn acquire(&self, requirements: Requirements) -> Result<Slot, Rejection> {
        let now = self.clock.now();
        let service_name = requirements.service.clone();
        let (ticket, receiver, timeout) = {
            let mut state = self.lock();
            let state = &mut *state;
            if Self::is_unreachable(state, &service_name, requirements.can_retry, now) {
                return Err(Rejection { retry_after: links::CUT_RETRY_AFTER, ahead: 0 });
            }
            self.apply_listing(state);
            let is_first = state.services.get(&requirements.service).is_none_or(|service| {
                let first = service.queue.tickets().next();
                first.is_none_or(|first| first.is_behind(requirements.rank))
            });
            if is_first && let Some(slot) = self.try_acquire(state, &requirements, now) {
                return Ok(slot);
            }
            self.check_capacity(state, &requirements, now)?;
            let service = state.services.entry(requirements.service.clone()).or_default();
            let ticket = service.queue.enqueue(requirements.rank, requirements.latest, now)?;
            let timeout = requirements.latest.since(now);
            let (sender, receiver) = oneshot::channel();
            service.waiters.insert(ticket, Waiter { requirements, sender });
            if state.throttle.limits.is_any() {
                self.dispatch_locked(state, &service_name);
                self.refuse_unservable(state, now);
            }
            (ticket, receiver, timeout)
        };
        let latest = now.after(timeout);
        let guard = QueueGuard { dispatcher: self, service: &service_name, ticket };
        let slot = tokio::time::timeout(timeout, receiver).await;
        drop(guard);
        match slot {
            Ok(Ok(slot)) => Ok(slot),
            Ok(Err(_)) | Err(_) => {
                let (state, now) = (self.lock(), self.clock.now());
                let queue = state.services.get(&service_name).map(|service| &service.queue);
                let returns = Self::capacity_return(&state, &service_name, now);
                let wait = if state.reach.is_cut() || !state.reach.can_open() {
                    links::CUT_RETRY_AFTER
                } else if returns.is_after(latest) {
                    returns.retry_after(now, &mut rand::rng())
                } else {
                    queue.map_or(Duration::ZERO, |queue| queue.drain_time(now))
                };
                Err(Rejection { retry_after: wait, ahead: queue.map_or(0, Queue::len) })
            }
        }
    }

    /// Chooses a target for a request and takes a slot there, if one is free.
    fn try_acquire(
        &self,
        state: &mut State,
        requirements: &Requirements,
        now: Moment,
    ) -> Option<Slot> {
        self.take_own_permits(state, &requirements.service, now);
        let mut board = self.board(state, &requirements.service, now)?;
        self.assign(state, &mut board, requirements, now)
    }

    /// Chooses a target of a board for a request and takes a slot there, if one is free.
    fn assign(
        &self,
        state: &mut State,
        board: &mut Board,
        requirements: &Requirements,
        now: Moment,
    ) -> Option<Slot> {
        let budget = state.services.get(&requirements.service)?.budget.as_ref();
        let retries = budget.map_or(0, Budget::left);
        let request = dispatch::Request {
            can_retry: requirements.can_retry && retries >= dispatch::RETRY_RESERVE,
            waited: now.since(requirements.arrived),
        };
        let chosen = board.choose(request, &requirements.tried)?;
        let endpoint = board.endpoints[chosen].clone();
        let candidate = &mut board.candidates[chosen];
        let target = endpoint.target.instance.clone();
        let choice = Choice { target, candidate: *candidate, waited: request.waited };
        candidate.in_flight += 1;
        candidate.due = false;
        if let Standing::Trial(_) = candidate.standing {
            state.estimator.begin_trial(&choice.target, now);
            candidate.standing = Standing::HeldBack;
        }
        let process = endpoint.process();
        state.throttle.take(&process, now);
        if !state.throttle.allows(&process, now) {
            candidate.standing = Standing::HeldBack;
        }
        state.in_flight.begin(&choice.target);
        let data_centre = &endpoint.target.data_centre;
        if !state.data_centres.contains_key(&choice.target) {
            state.data_centres.insert(choice.target.clone(), data_centre.clone());
        }
        self.changed.notify_one();
        let dispatcher = self.weak_self.upgrade()?;
        Some(Slot { endpoint, choice: Box::new(choice), dispatcher, is_released: false })
    }

    /// Returns the targets of a service that take requests; `None` if none has a free slot.
    fn board(&self, state: &State, service: &id::Service, now: Moment) -> Option<Board> {
        let service = state.services.get(service)?;
        let can_open = state.reach.can_open() && !state.reach.is_cut();
        let is_usable = |endpoint: &&Arc<Endpoint>| {
            Self::availability(state, endpoint, now) == Availability::Now
                && state.throttle.allows(&endpoint.process(), now)
                && (can_open || endpoint.backend.has_idle())
        };
        let endpoints: Vec<_> = service.targets.iter().filter(is_usable).cloned().collect();
        let counts: Vec<_> = endpoints
            .iter()
            .map(|endpoint| state.in_flight.total(&endpoint.target.instance))
            .collect();
        let is_free = |(endpoint, count): (&Arc<Endpoint>, &u32)| *count < endpoint.target.slots.0;
        if !endpoints.iter().zip(&counts).any(is_free) {
            return None;
        }
        let slots: Vec<_> = endpoints
            .iter()
            .map(|endpoint| (&endpoint.target.instance, endpoint.target.slots.0))
            .collect();
        let views = state.estimator.views(&slots, self.bounds.floor, now);
        let candidate = |((endpoint, in_flight), view): ((&Arc<Endpoint>, u32), View)| Candidate {
            in_flight,
            slots: endpoint.target.slots.0,
            near: endpoint.target.data_centre == self.data_centre,
            cold: now < endpoint.warmup_end,
            standing: view.standing,
            owned: state.trial_targets.contains(&endpoint.target.instance),
            due: false,
            risk: view.risk,
            evidence_age: view.evidence_age,
            since_failure: view.since_failure,
        };
        let mut candidates: Vec<_> =
            endpoints.iter().zip(counts).zip(views).map(candidate).collect();
        self.mark_due(&endpoints, &mut candidates);
        Some(Board { endpoints, candidates })
    }

    /// Marks the idle targets of this data centre that should get the next request, although others
    /// have a lower risk of failure.
    ///
    /// How many may stay idle depends on how many targets the data centres have that sort before
    /// this one.
    fn mark_due(&self, usable: &[Arc<Endpoint>], candidates: &mut [Candidate]) {
        let order = |endpoint: &&Arc<Endpoint>| endpoint.target.data_centre.cmp(&self.data_centre);
        let before = usable.iter().filter(|endpoint| order(endpoint).is_lt()).count();
        let (indices, mut near): (Vec<_>, Vec<_>) = (0..usable.len())
            .map(|index| (index, candidates[index]))
            .filter(|(_, candidate)| candidate.near)
            .unzip();
        let allowance = dispatch::idle_allowance(before, near.len());
        dispatch::mark_due(&mut near, allowance);
        for (index, candidate) in indices.into_iter().zip(near) {
            candidates[index] = candidate;
        }
    }

    /// Returns the targets whose trial requests this host is responsible for.
    ///
    /// Those of a data centre are divided among its entry hosts, or among all if it has none.
    fn trial_targets(&self, state: &State) -> HashSet<id::Instance> {
        let entry_hosts = &state.entry_hosts;
        if !entry_hosts.is_empty() && !entry_hosts.iter().any(|(host, _)| *host == self.me) {
            return HashSet::new();
        }
        let all = Owners::new(entry_hosts.iter().map(|(host, _)| host));
        let mut by_centre: HashMap<&id::DataCentre, Owners<'_>> = HashMap::new();
        let mut own = HashSet::new();
        for endpoint in state.services.values().flat_map(|service| &service.targets) {
            let centre = &endpoint.target.data_centre;
            let near = by_centre.entry(centre).or_insert_with(|| {
                let near = entry_hosts.iter().filter(|(_, of)| of == centre);
                Owners::new(near.map(|(host, _)| host))
            });
            let owners = if near.is_empty() { &all } else { near };
            if owners.owner(endpoint.trial_key).is_none_or(|host| *host == self.me) {
                own.insert(endpoint.target.instance.clone());
            }
        }
        own
    }

    /// Assigns free slots of a service's targets to its queued requests.
    pub(super) fn dispatch_waiting(&self, service: &id::Service) {
        let mut state = self.lock();
        self.dispatch_locked(&mut state, service);
    }

    /// Assigns free slots of all services' targets to queued requests.
    pub(super) fn dispatch_all(&self) {
        let mut state = self.lock();
        let now = self.clock.now();
        self.poll_issuers(&mut state, now);
        Self::refuse_unreachable(&mut state, now);
        let waiting = state.services.iter().filter(|(_, service)| !service.queue.is_empty());
        let names: Vec<_> = waiting.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.dispatch_locked(&mut state, &name);
        }
    }

    fn dispatch_locked(&self, state: &mut State, name: &id::Service) {
        if state.services.get(name).is_none_or(|service| service.queue.is_empty()) {
            return;
        }
        let now = self.clock.now();
        self.take_own_permits(state, name, now);
        self.ask_for_permits(state, name, now);
        let Some(mut board) = self.board(state, name, now) else { return };
        while !board.is_full() {
            let Some(service) = state.services.get(name) else { return };
            let heads: Vec<_> = service.queue.tickets().take(LOOKAHEAD).collect();
            let mut progress = false;
            for ticket in heads {
                let Some(service) = state.services.get(name) else { return };
                let Some(requirements) =
                    service.waiters.get(&ticket).map(|waiter| waiter.requirements.clone())
                else {
                    continue;
                };
                let Some(slot) = self.assign(state, &mut board, &requirements, now) else {
                    continue;
                };
                progress = true;
                let Some(service) = state.services.get_mut(name) else { return };
                service.queue.dispatch(ticket, now);
                let waiter = service.waiters.remove(&ticket);
                if let Some(Err(mut slot)) = waiter.map(|waiter| waiter.sender.send(slot)) {
                    // The request is gone. Dropping the slot would take the lock that is held here,
                    // so that the slot is freed directly.
                    state.in_flight.end(&slot.endpoint.target.instance);
                    slot.is_released = true;
                }
            }
            if !progress {
                return;
            }
        }
    }

    /// Adds the share of a first attempt to the retry budget of its service.
    pub(super) fn deposit_retry(&self, service: &id::Service) {
        let mut state = self.lock();
        let burst = self.retry_burst(&state);
        let share = self.bounds.retry_share;
        let service = state.services.entry(service.clone()).or_default();
        service.budget.get_or_insert_with(|| Budget::new(share, burst)).deposit();
    }

    /// Takes one retry from the budget of a service; returns whether there was one left.
    pub(super) fn take_retry(&self, service: &id::Service) -> bool {
        let mut state = self.lock();
        let budget = state.services.get_mut(service).and_then(|service| service.budget.as_mut());
        budget.is_some_and(Budget::take)
    }

    /// Records the time to the head of a successful response.
    pub(super) fn record_latency(&self, service: &id::Service, route: &id::Route, took: Duration) {
        let mut state = self.lock();
        let latency = &mut state.services.entry(service.clone()).or_default().latencies;
        let took = took.as_secs_f64();
        let known = latency.entry(route.clone()).or_insert(took);
        *known += LATENCY_WEIGHT * (took - *known);
    }

    /// Returns the smoothed time to the head of a response, if any was recorded.
    pub(super) fn latency(&self, service: &id::Service, route: &id::Route) -> Option<Duration> {
        let state = self.lock();
        let latency = state.services.get(service)?.latencies.get(route)?;
        Some(Duration::from_secs_f64(*latency))
    }

    /// Drops outdated entries, and queues the requests held back to be reported again.
    pub(super) fn sweep(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.estimator.sweep(now);
        // A host that gets a response to such a request clears it for all hosts, but only if it
        // knows of the hold; it may have missed the first report.
        let held: Vec<_> = state.holdback.all_held(now).collect();
        let held = held.into_iter().map(|(request, target)| (request, target.0, false));
        state.crash_reports.extend(held);
        state.withdrawals.sweep(now);
        state.throttle.sweep(now);
        state.reported_departures.retain(|(_, at)| now.since(*at) < DEPARTURE_REPORT_TIME);
        let again: Vec<_> = state.reported_departures.iter().map(|(one, _)| one.clone()).collect();
        state.departures.extend(again);
        state.in_flight.expire(now);
        let in_flight: HashSet<_> =
            state.in_flight.own().map(|(target, _)| target.clone()).collect();
        state.data_centres.retain(|target, _| in_flight.contains(target));
        self.apply_listing(&mut state);
        for endpoint in state.services.values().flat_map(|service| &service.targets) {
            endpoint.backend.sweep();
        }
    }
}

/// Returns whether two entries describe the same process of a target.
fn is_same_process(target: &Target, other: &Target) -> bool {
    target.born == other.born && target.address == other.address && target.service == other.service
}
