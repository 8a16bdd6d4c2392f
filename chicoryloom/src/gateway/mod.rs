//! A gateway that routes requests by host name and path to the targets that a platform lists.
//!
//! The platform's adapter implements the traits in [`port`]. Each host keeps a copy of the
//! platform's objects ([`sync`], [`mirror`]), exchanges load and health of targets with the other
//! hosts ([`fleet`]), and assigns requests to targets ([`dispatcher`], [`job`]).

mod answer;
mod binding;
mod dispatcher;
mod edge;
pub mod events;
mod extension;
mod fetch;
mod fleet;
mod head;
mod host;
mod job;
mod members;
mod message;
mod mirror;
mod package;
pub mod port;
mod pulse;
mod refusal;
mod relay;
pub mod settings;
mod stop;
mod sync;
mod versions;
mod watch;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::admission::Order;
use chicoryloom_policy::allowance::Excess;
use chicoryloom_policy::allowance::Limiter;
use chicoryloom_policy::catalog::Catalog;
use chicoryloom_policy::catalog::Limits;
use chicoryloom_policy::catalog::Repeat;
use chicoryloom_policy::catalog::Route;
use chicoryloom_policy::catalog::Workspace;
use chicoryloom_policy::id;
use chicoryloom_policy::split::Split;
use chicoryloom_policy::stop::Demand;
use chicoryloom_policy::stop::Schedule;
use chicoryloom_policy::takeover::MAX_FRESH_AGE;
use chicoryloom_policy::unit::Priority;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::header::CONNECTION;
use http::header::EXPECT;
use http::header::HOST;
use http::header::UPGRADE;
use http::uri::PathAndQuery;
use hyper::body::Incoming;
use serde_json::json;
use tokio::sync::watch::Sender;
use tokio::time::Instant;

pub use crate::target::Protocol;
pub use host::Host;
pub use host::Setup;

use self::binding::Binding;
use self::binding::Claim;
use self::binding::Tracker;
use self::dispatcher::Choice;
use self::dispatcher::Dispatcher;
use self::events::Events;
use self::fleet::Fleet;
use self::job::Job;
use self::job::Progress;
use self::mirror::Mirror;
use self::port::Dialect;
use self::refusal::Reason;
use self::refusal::Refusal;
use crate::clock::Clock;
use crate::metrics;
use crate::metrics::Labels;
use crate::metrics::Metrics;
use crate::proxy::body;
use crate::proxy::headers;
use crate::proxy::payload::Payload;
use crate::target::Body;

/// `Retry-After` of a refusal whose cause is expected to pass soon.
const SHORT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time after the start of a host for which requests wait for its first configuration; twice the
/// time that hosts took to get it after all hosts were lost.
const STARTUP_WAIT: Duration = Duration::from_secs(1);
/// Longest time for which a request waits until the copy counts again after a stop of the process.
const RESUMPTION_WAIT: Duration = Duration::from_secs(1);
/// Part of a request's time for which it waits for that, so that its caller can still turn elsewhere.
const RESUMPTION_SHARE: f64 = 0.5;
/// Multiple of the usual latency after which a response is late.
const LATE_FACTOR: f64 = 3.0;
/// Time added to that multiple for any response.
const LATE_GRACE: Duration = Duration::from_millis(40);
/// Shortest and longest pause between two checks whether a grant has room.
const GRANT_POLL: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(50));
/// Bytes in a header line besides its name and value: `: ` and the line break.
const HEADER_LINE_OVERHEAD: usize = 4;
/// Limit on a head in bytes before a configuration is known.
const DEFAULT_HEADER_BYTES: usize = 16 * 1024;

/// State that all requests share.
#[derive(Debug)]
pub(crate) struct Gateway {
    dialect: Arc<dyn Dialect>,
    clock: Arc<dyn Clock>,
    events: Events,
    mirror: Arc<Mirror>,
    dispatcher: Arc<Dispatcher>,
    fleet: Arc<Fleet>,
    limiter: Arc<Mutex<Limiter>>,
    splits: Mutex<HashMap<id::Route, Split>>,
    metrics: Arc<Metrics>,
    /// Number of requests that wait for room in their workspace's grant, by workspace.
    grant_waiters: Mutex<HashMap<id::Workspace, usize>>,
    /// Order of each workspace's requests while its grant is short.
    orders: Mutex<HashMap<id::Workspace, Order>>,
    started: Moment,
    /// Set once the host stops.
    stop: Sender<Option<Schedule>>,
    /// Requests whose response head is not ready yet.
    in_flight: AtomicUsize,
}

/// Facts of a request for its event and metrics.
#[derive(Default)]
struct Summary {
    route: Option<Arc<Route>>,
    service: Option<id::Service>,
    workspace: Option<Arc<Workspace>>,
    version: Option<u64>,
    tried: Vec<Choice>,
    repeats: u32,
}

impl Gateway {
    /// Handles one request of a caller, and writes its event and metrics.
    ///
    /// An ambiguous request has both a length and a transfer encoding and is refused.
    async fn handle(&self, request: Request<Incoming>, is_ambiguous: bool) -> Response<Body> {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let _in_flight_guard = InFlightGuard(&self.in_flight);
        let started = Instant::now();
        let name = &self.dialect.headers().request_id;
        let id = request.headers().get(name).cloned();
        let mut summary = Summary::default();
        let served = if is_ambiguous {
            let detail = "the body has a length and a transfer encoding";
            Err(Refusal::new(Reason::Malformed, detail))
        } else {
            self.serve(request, &mut summary).await
        };
        let (mut response, refusal) = match served {
            Ok(response) => (response, None),
            Err(refusal) => (refusal.response(), Some(refusal)),
        };
        if refusal.is_some()
            && let Some(id) = &id
        {
            response.headers_mut().insert(name, id.clone());
        }
        // A host that can't serve frees its callers to connect to another one.
        let is_unable = || {
            self.dispatcher.is_cut()
                || self.mirror.versions().is_behind()
                || !self.mirror.is_reliable()
        };
        let is_unable = refusal.is_some() && is_unable();
        if is_ambiguous || is_unable || self.is_stopping() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        let took = started.elapsed();
        self.record_metrics(&summary, response.status().as_u16(), refusal.as_ref(), took);
        self.events.emit_request("request", || {
            let id = id.as_ref().and_then(|id| id.to_str().ok());
            let tried: Vec<_> = summary.tried.iter().map(Choice::to_json).collect();
            json!({
                "id": id, "status": response.status().as_u16(), "took_ms": took.as_millis() as u64,
                "reason": refusal.as_ref().map(|refusal| refusal.reason.as_str()),
                "detail": refusal.as_ref().map(|refusal| refusal.detail.as_str()),
                "route": summary.route.as_ref().map(|route| route.name.as_str()),
                "service": summary.service.as_ref().map(id::Service::as_str),
                "workspace": summary.workspace.as_ref().map(|workspace| workspace.name.as_str()),
                "targets": tried, "repeats": summary.repeats, "configuration": summary.version,
                "copy_age_ms": self.mirror.age().as_millis().min(u128::from(u32::MAX)) as u64,
            })
        });
        response
    }

    fn record_metrics(
        &self,
        summary: &Summary,
        status: u16,
        refusal: Option<&Refusal>,
        took: Duration,
    ) {
        if let Some(refusal) = refusal {
            self.metrics.gateway_refusal(refusal.reason.as_str());
        }
        if let (Some(route), Some(service)) = (&summary.route, &summary.service)
            && let Ok(class) = route.name.as_str().parse()
        {
            let workspace = summary.workspace.as_ref();
            let workspace = workspace.map(|one| metrics::workspace_label(&one.id, &one.name));
            let labels = Labels { service: service.clone(), workspace, class };
            self.metrics.request(&labels, status, took);
        }
    }

    async fn serve(
        &self,
        request: Request<Incoming>,
        summary: &mut Summary,
    ) -> Result<Response<Body>, Refusal> {
        let arrived = self.clock.now();
        let started = Instant::now();
        let (tracker, limits) = self.resolve(&request).await?;
        let response =
            self.serve_bound(request, limits, &tracker, (arrived, started), summary).await;
        tracker.summarize(summary);
        response
    }

    /// Serves a request that the configuration allows, and that arrived at the given time.
    async fn serve_bound(
        &self,
        request: Request<Incoming>,
        limits: Limits,
        tracker: &Tracker<'_>,
        (arrived, started): (Moment, Instant),
        summary: &mut Summary,
    ) -> Result<Response<Body>, Refusal> {
        let route = tracker.route();
        let timeout = self.timeout(&request, &route);
        let deadline = started + timeout;
        let demand = Demand {
            deadline: arrived.after(timeout),
            usual: self.usual_time(&route),
            is_repeatable: route.repeat == Repeat::Safe,
            is_long: self.is_long(&route),
        };
        let (parts, body) = request.into_parts();
        let body = body::bounded(body, limits.body_bytes, limits.idle_timeout);
        let prepare = async {
            tracker.wait_for_grant(timeout).await?;
            let read = tokio::select! {
                read = tokio::time::timeout_at(deadline, Payload::read(body)) => read,
                refusal = tracker.wait_until_refused() => return Err(refusal),
            };
            match read {
                Ok(Ok(payload)) => Ok(payload),
                Ok(Err(error)) => Err(Refusal::new(Reason::BodyTooLong, error.to_string())),
                Err(_) => Err(Refusal::new(Reason::SlowBody, "the body did not come in time")),
            }
        };
        let payload = self.unless_stopped(demand, prepare).await??;
        tracker.place()?;
        let id = parts.headers.get(&self.dialect.headers().request_id).cloned();
        let id = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
        let job = Job {
            gateway: self,
            id,
            tracker,
            parts: self.target_parts(parts)?,
            payload,
            fingerprint: Mutex::default(),
            arrived,
            deadline,
            demand,
            progress: Progress::default(),
        };
        if let Some(wait) = self.dispatcher.try_pass(job.fingerprint()) {
            return Err(Refusal::held_back(wait));
        }
        let response = job.run().await;
        summary.tried = job.progress.tried();
        summary.repeats = job.progress.repeats();
        response
    }

    /// Checks a request's head, and finds its route and workspace; returns the limits on it as well.
    async fn resolve(&self, request: &Request<Incoming>) -> Result<(Tracker<'_>, Limits), Refusal> {
        // A starting host gets its configuration soon, and the request can wait until then.
        let age = self.clock.now().since(self.started);
        let catalog = self.mirror.first_catalog(STARTUP_WAIT.saturating_sub(age)).await;
        let Some(catalog) = catalog else {
            let refusal =
                Refusal::new(Reason::NoConfiguration, "this host knows no configuration yet");
            return Err(refusal.retry_after(SHORT_RETRY_AFTER));
        };
        if !self.mirror.is_reliable() {
            let time = self.asked_time(request).unwrap_or(RESUMPTION_WAIT);
            self.wait_until_complete(time).await?;
        }
        if self.mirror.versions().is_behind() {
            let detail = "this host lacks a configuration that others have";
            return Err(
                Refusal::new(Reason::NoConfiguration, detail).retry_after(SHORT_RETRY_AFTER)
            );
        }
        let number = self.mirror.catalog_number();
        let catalog = self.mirror.catalog().unwrap_or(catalog);
        let host = check_request(request, &catalog)?.into();
        let path = request.uri().path().into();
        let key = self.dialect.key(request.headers()).map(id::Digest::of);
        let claim = Claim { host, path, key };
        let binding = Binding::new(&catalog, &claim);
        let binding = binding.map_err(|refusal| self.refuse_unknown(refusal))?;
        Ok((Tracker::new(self, claim, binding, number), catalog.limits))
    }

    /// Waits until this host may decide by its copy, as its process may have been stopped or it may lack a
    /// version; refuses a request with `time` left if that takes too long.
    async fn wait_until_complete(&self, time: Duration) -> Result<(), Refusal> {
        let wait = RESUMPTION_WAIT.min(time.mul_f64(RESUMPTION_SHARE));
        if self.mirror.wait_until_complete(wait).await {
            return Ok(());
        }
        let detail = "this host may have missed a change";
        Err(Refusal::new(Reason::NoConfiguration, detail).retry_after(SHORT_RETRY_AFTER))
    }

    /// Asks the caller of a request with an unknown route or key to retry instead, if this host's
    /// configuration may be out of date.
    fn refuse_unknown(&self, refusal: Refusal) -> Refusal {
        let is_unknown = matches!(refusal.reason, Reason::NoRoute | Reason::Key);
        let is_fresh =
            || self.mirror.age() < MAX_FRESH_AGE && self.mirror.versions().missing().is_none();
        if !is_unknown || is_fresh() {
            return refusal;
        }
        let detail = format!("{}, but this host may have missed a change", refusal.detail);
        Refusal::new(Reason::NoConfiguration, detail).retry_after(SHORT_RETRY_AFTER)
    }

    /// Checks whether a workspace's grant has room beyond what is kept for more urgent requests.
    fn check_grant(&self, workspace: &Workspace, priority: Priority) -> Result<(), Excess> {
        let now = self.clock.now();
        let reserve = self.with_order(workspace, |order| order.reserve(priority, now));
        let mut limiter = self.limiter.lock().expect("no holder of the lock panics");
        limiter.check_beyond(workspace, reserve, now)
    }

    fn with_order<T>(&self, workspace: &Workspace, run: impl FnOnce(&mut Order) -> T) -> T {
        let mut orders = self.orders.lock().expect("no holder of the lock panics");
        if let Some(order) = orders.get_mut(&workspace.id) {
            return run(order);
        }
        run(orders.entry(workspace.id.clone()).or_default())
    }

    /// Waits until a workspace's grant has room for a request over a route, which has `time` left; refuses
    /// it once that is expected to take too long.
    async fn wait_for_grant(
        &self,
        workspace: &Workspace,
        route: &Route,
        time: Duration,
    ) -> Result<(), Refusal> {
        let (now, priority) = (self.clock.now(), route.priority);
        let max_wait = {
            let limiter = self.limiter.lock().expect("no holder of the lock panics");
            limiter.max_wait(route.target_latency, time, now)
        };
        self.with_order(workspace, |order| order.record(priority, now));
        let Err(mut excess) = self.check_grant(workspace, priority) else { return Ok(()) };
        let until = now.after(max_wait);
        let waiter = GrantWaiter::enter(&self.grant_waiters, workspace);
        while excess.wait_behind(waiter.ahead) <= until.since(self.clock.now()) {
            tokio::time::sleep(excess.wait.clamp(GRANT_POLL.0, GRANT_POLL.1)).await;
            match self.check_grant(workspace, priority) {
                Ok(()) => return Ok(()),
                Err(still) => excess = still,
            }
        }
        Err(self.refuse_rate(workspace, &excess))
    }

    /// Refuses a request beyond its workspace's grant, to return when the grant has room again.
    fn refuse_rate(&self, workspace: &Workspace, excess: &Excess) -> Refusal {
        let now = self.clock.now();
        let hosts = self.limiter.lock().expect("no holder of the lock panics").hosts();
        let wait = self.with_order(workspace, |order| order.place(excess, hosts, now));
        let rate = workspace.rate.map_or(0.0, |rate| rate.per_second());
        let detail = format!(
            "workspace {} has {:.1} requests left of {rate} a second and a burst of {}",
            workspace.name, excess.remaining, workspace.burst.0,
        );
        Refusal::new(Reason::Rate, detail).retry_after(wait)
    }

    /// Counts a request towards its workspace's grant.
    fn admit(&self, workspace: &Workspace) -> Result<(), Refusal> {
        let admitted = {
            let mut limiter = self.limiter.lock().expect("no holder of the lock panics");
            limiter.admit(workspace, self.clock.now())
        };
        admitted.map_err(|excess| self.refuse_rate(workspace, &excess))
    }

    /// Returns the timeout of a request: that of its route, or a shorter one that the caller asks
    /// for.
    fn timeout(&self, request: &Request<Incoming>, route: &Route) -> Duration {
        self.asked_time(request).map_or(route.timeout, |asked| asked.min(route.timeout))
    }

    /// Returns the timeout that a caller asks for.
    fn asked_time(&self, request: &Request<Incoming>) -> Option<Duration> {
        let value = request.headers().get(&self.dialect.headers().deadline_ms)?;
        value.to_str().ok()?.trim().parse().ok().map(Duration::from_millis)
    }

    /// Returns the time after which the last byte of a response is late.
    fn usual_time(&self, route: &Route) -> Duration {
        let services = route.destinations.iter().map(|destination| &destination.service);
        let times = services.filter_map(|service| self.dispatcher.duration(service, &route.name));
        times.max().unwrap_or(route.target_latency).mul_f64(LATE_FACTOR) + LATE_GRACE
    }

    /// Returns whether a route's responses may be longer than what connections buffer.
    fn is_long(&self, route: &Route) -> bool {
        let mut services = route.destinations.iter().map(|destination| &destination.service);
        services.any(|service| self.dispatcher.is_long(service, &route.name))
    }

    /// Selects the service for the next request of a route by the weights of its split.
    fn select_service(&self, route: &Route) -> Result<id::Service, Refusal> {
        let mut splits = self.splits.lock().expect("no holder of the lock panics");
        let split = splits
            .entry(route.name.clone())
            .or_insert_with(|| Split::with_random_offset(&route.destinations, &mut rand::rng()));
        let service = split.next(&route.destinations).cloned();
        service.ok_or_else(|| Refusal::new(Reason::NoRoute, "the route leads to no service"))
    }

    /// Turns the head of a caller's request into that of a request to targets.
    fn target_parts(
        &self,
        mut parts: http::request::Parts,
    ) -> Result<http::request::Parts, Refusal> {
        let names = self.dialect.headers();
        headers::strip_hop_by_hop(&mut parts.headers);
        for name in [&names.key, &names.workspace, &names.instance, &EXPECT] {
            parts.headers.remove(name);
        }
        let path = parts.uri.path_and_query().cloned();
        let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
        parts.uri = http::Uri::from(path);
        Ok(parts)
    }
}

/// Counts a request that waits for room in its workspace's grant, until dropped.
struct GrantWaiter<'a> {
    grant_waiters: &'a Mutex<HashMap<id::Workspace, usize>>,
    workspace: &'a Workspace,
    /// Requests of the workspace that were waiting already when this one began to.
    ahead: usize,
}

impl<'a> GrantWaiter<'a> {
    fn enter(
        grant_waiters: &'a Mutex<HashMap<id::Workspace, usize>>,
        workspace: &'a Workspace,
    ) -> Self {
        let mut waiting = grant_waiters.lock().expect("no holder of the lock panics");
        let count = waiting.entry(workspace.id.clone()).or_default();
        let ahead = *count;
        *count += 1;
        Self { grant_waiters, workspace, ahead }
    }
}

impl Drop for GrantWaiter<'_> {
    fn drop(&mut self) {
        let mut waiting = self.grant_waiters.lock().expect("no holder of the lock panics");
        if let Some(count) = waiting.get_mut(&self.workspace.id) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                waiting.remove(&self.workspace.id);
            }
        }
    }
}

/// Refuses a request whose head is too long, that asks for another protocol or that hasn't exactly
/// one `Host` header; returns the value of that header otherwise.
fn check_request<'a, B>(request: &'a Request<B>, catalog: &Catalog) -> Result<&'a str, Refusal> {
    let headers = request.headers();
    let lines = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_OVERHEAD);
    let size = lines.sum::<usize>() + request.uri().path().len();
    if size > catalog.limits.header_bytes {
        let detail = format!("the head is longer than {} bytes", catalog.limits.header_bytes);
        return Err(Refusal::new(Reason::HeadTooLong, detail));
    }
    if request.method() == Method::CONNECT || headers.contains_key(UPGRADE) {
        return Err(Refusal::new(Reason::Malformed, "a change of protocol is not served"));
    }
    let mut hosts = headers.get_all(HOST).iter();
    match (hosts.next().and_then(|host| std::str::from_utf8(host.as_bytes()).ok()), hosts.next()) {
        (Some(host), None) => Ok(host),
        (None, _) => Err(Refusal::new(Reason::Malformed, "no host is named")),
        (Some(_), Some(_)) => Err(Refusal::new(Reason::Malformed, "two hosts are named")),
    }
}

/// Decrements a counter when dropped.
struct InFlightGuard<'a>(&'a AtomicUsize);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
