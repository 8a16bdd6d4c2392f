//! Assigns requests to targets, and queues requests while no target has a free slot.
//!
//! What the platform lists ([`listing`]) becomes targets with connections ([`endpoint`]). A request
//! takes a slot ([`slot`]) at one of those that may be used now ([`board`]), or waits ([`waiter`]).

mod balance;
mod board;
mod endpoint;
mod evacuation;
mod links;
mod listing;
mod peers;
mod service;
mod slot;
pub(super) mod throttle;
mod waiter;
mod warming;
mod withdrawal;

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::Weak;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::balance::Rule;
use chicoryloom_policy::catalog::Catalog;
use chicoryloom_policy::entry;
use chicoryloom_policy::evacuation::Evacuations;
use chicoryloom_policy::gray::Estimator;
use chicoryloom_policy::gray::Notice;
use chicoryloom_policy::holdback::Crash;
use chicoryloom_policy::holdback::Holdback;
use chicoryloom_policy::id;
use chicoryloom_policy::inflight::InFlight;
use chicoryloom_policy::loss::Losses;
use chicoryloom_policy::reach::Reach;
use chicoryloom_policy::suspicion::Suspicions;
use chicoryloom_policy::withdrawal::Process;
use chicoryloom_policy::withdrawal::Withdrawals;
use http::HeaderName;
use tokio::sync::Notify;

use self::balance::Spread;
pub(super) use self::endpoint::Endpoint;
use self::listing::Listing;
pub(super) use self::peers::CrashReport;
use self::service::Service;
pub(super) use self::slot::Choice;
pub(super) use self::slot::Slot;
use self::throttle::Throttle;
pub(super) use self::waiter::Requirements;
use super::events::Events;
use super::settings::Bounds;
use crate::clock::Clock;

/// Targets that must crash on equal requests before such requests are held back. Equal requests of
/// one workspace are common, and two targets may well crash for another reason while they run one.
const CRASH_LIMIT: usize = 3;
/// Stands for the targets of all losses that nothing could prove, so that they count as one target
/// at other hosts, which then clear the request if they get an answer to it.
const UNPROVED: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
/// Time for which a leaving target is reported to the other hosts once a second, as datagrams get
/// lost and hosts become entry hosts.
const DEPARTURE_REPORT_TIME: Duration = Duration::from_secs(3);

struct State {
    services: HashMap<id::Service, Service>,
    /// Latest listing that is not yet applied to `services`.
    listing: Option<Listing>,
    /// When the listing was last confirmed to be the platform's state.
    listed: Option<Moment>,
    /// Data centres of the targets with requests of this host.
    data_centres: HashMap<id::Instance, id::DataCentre>,
    in_flight: InFlight,
    estimator: Estimator,
    holdback: Holdback,
    /// Requests that this host alone holds back, as nothing could prove the losses on them.
    own_holdback: Holdback,
    withdrawals: Withdrawals,
    evacuations: Evacuations,
    throttle: Throttle,
    reach: Reach,
    losses: Losses,
    /// Configuration of the latest listing.
    catalog: Option<Arc<Catalog>>,
    /// Part of the known hosts that are alive, from 0 to 1.
    visible_part: f64,
    /// Entry hosts that this host has lost sight of.
    lost_entry_hosts: usize,
    /// This host's share of the burst of retries, as of the latest change of the fleet.
    retry_burst: f64,
    /// Leaving targets that are not yet reported to the other hosts.
    departures: Vec<Process>,
    /// Leaving targets that this host reports, and since when.
    reported_departures: Vec<(Process, Moment)>,
    /// Hosts that callers are sent to, with their data centres. One of them is responsible for the
    /// trial requests to each target.
    entry_hosts: Vec<(id::Host, id::DataCentre)>,
    /// Targets whose trial requests this host is responsible for.
    trial_targets: HashSet<id::Instance>,
    /// This host's share of the slots of the targets of its data centre; no zeros.
    homes: HashMap<id::Instance, f64>,
    spread: Spread,
    notices: Vec<(id::Instance, Notice)>,
    suspicions: Suspicions,
    /// Targets that this host suspects, not yet reported to the other hosts.
    suspects: Vec<id::Instance>,
    /// When the latest request was sent that each target served successfully, for targets not yet
    /// reported to the other hosts.
    successes: HashMap<id::Instance, Moment>,
    crash_reports: Vec<CrashReport>,
    host_count: u32,
}

/// Assigns requests to targets.
pub(super) struct Dispatcher {
    me: id::Host,
    /// Key by which the order differs in which hosts ask for permits.
    key: u64,
    data_centre: id::DataCentre,
    source: IpAddr,
    bounds: Bounds,
    /// Header in which targets say in answers to checks that they are cold.
    warmup_header: Option<HeaderName>,
    rule: Rule,
    clock: Arc<dyn Clock>,
    started: Moment,
    events: Events,
    state: Mutex<State>,
    /// Notified when there is something to send to the other hosts.
    pub(super) changed: Notify,
    /// Notified when the links to targets may be in another state, or are to be checked.
    pub(super) links_changed: Notify,
    weak_self: Weak<Self>,
}

/// What a [`Dispatcher`] is created from.
pub(super) struct Setup {
    pub(super) me: id::Host,
    pub(super) data_centre: id::DataCentre,
    /// Address that connections to targets come from.
    pub(super) source: IpAddr,
    pub(super) bounds: Bounds,
    /// Header in which targets say in answers to checks that they are cold.
    pub(super) warmup_header: Option<HeaderName>,
    pub(super) rule: Rule,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) events: Events,
}

impl fmt::Debug for Dispatcher {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Dispatcher {{ {} }}", self.me)
    }
}

impl Dispatcher {
    pub(super) fn new(setup: Setup) -> Arc<Self> {
        let Setup { me, data_centre, source, bounds, warmup_header, rule, clock, events } = setup;
        let key = entry::rank(&me);
        let started = clock.now();
        Arc::new_cyclic(|weak_self| Self {
            me,
            key,
            data_centre,
            source,
            bounds,
            warmup_header,
            rule,
            clock,
            started,
            events,
            state: Mutex::new(State {
                services: HashMap::new(),
                listing: None,
                listed: None,
                data_centres: HashMap::new(),
                in_flight: InFlight::default(),
                estimator: Estimator::default(),
                holdback: Holdback::new(CRASH_LIMIT),
                own_holdback: Holdback::new(CRASH_LIMIT),
                withdrawals: Withdrawals::default(),
                evacuations: Evacuations::default(),
                throttle: Throttle::default(),
                reach: Reach::new(started),
                losses: Losses::default(),
                catalog: None,
                visible_part: 1.0,
                lost_entry_hosts: 0,
                retry_burst: 0.0,
                departures: Vec::new(),
                reported_departures: Vec::new(),
                entry_hosts: Vec::new(),
                trial_targets: HashSet::new(),
                homes: HashMap::new(),
                spread: Spread::default(),
                notices: Vec::new(),
                suspicions: Suspicions::default(),
                suspects: Vec::new(),
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

    /// Drops outdated entries, and queues the requests held back to be reported again.
    pub(super) fn sweep(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.estimator.sweep(now);
        // A host may have missed the first reports. It holds the request back only if it knows of all
        // losses, and clears it for all hosts after a response only if it knows of one.
        let report = |request, crash| CrashReport { request, crash, answered: false };
        let held = state.holdback.all_held(now);
        let mut reports: Vec<_> = held
            .flat_map(|(request, lost)| lost.iter().map(move |crash| report(request, *crash)))
            .collect();
        let own = state.own_holdback.all_held(now);
        reports.extend(own.filter_map(|(request, lost)| {
            let crash = *lost.last()?;
            Some(report(request, Crash { target: id::Target(UNPROVED), born: 0, ..crash }))
        }));
        state.crash_reports.extend(reports);
        state.withdrawals.sweep(now);
        state.evacuations.sweep(now);
        let listed = state.listed;
        state.throttle.sweep(listed, now);
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
