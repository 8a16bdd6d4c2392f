//! The path of a request from its caller to a target and back.

mod answer;
mod attempt;
mod attempts;
pub(crate) mod body;
mod forward;
pub(crate) mod headers;
pub(crate) mod key;
mod listener;
mod path;
pub(crate) mod payload;
mod request;
mod runs;
pub(crate) mod stream;
mod validate;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use chicoryloom_policy::document::Document;
use chicoryloom_policy::id;
use chicoryloom_policy::unit::Weight;
use chicoryloom_wire::caller::Code;
use chicoryloom_wire::caller::Refusal;
use chicoryloom_wire::header::DEADLINE_MS;
use chicoryloom_wire::header::HOP;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::CONNECTION;
use hyper::body::Incoming;
use smol_str::SmolStr;

pub(crate) use listener::Listener;

use crate::clock::Clock;
use crate::config;
use crate::control::Published;
use crate::control::View;
use crate::grant::Denied;
use crate::grant::Grants;
use crate::locator;
use crate::metrics::Labels;
use crate::metrics::Metrics;
use crate::queue;
use crate::queue::Slot;
use crate::queue::SlotRequest;
use crate::queue::Slots;
use crate::refusals::Refusals;
use crate::run::Runs;
use crate::target::Body;
use crate::target::Targets;

use self::request::Resource;
use self::request::RoutedRequest;

/// `Retry-After` of refusals whose cause is expected to pass by itself soon.
const SHORT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A wait for a slot that is shorter than the route's deadline divided by this is not deducted.
const NEGLIGIBLE_WAIT_DIVISOR: u32 = 20;

/// Everything that the request path uses.
#[derive(Debug)]
pub(crate) struct Proxy {
    pub(crate) name: id::Host,
    pub(crate) settings: config::proxy::Proxy,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) published: Arc<Published>,
    pub(crate) grants: Arc<Grants>,
    pub(crate) runs: Runs,
    pub(crate) slots: Arc<Slots>,
    pub(crate) targets: Arc<Targets>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) refusals: Refusals,
    /// Open connections of callers.
    pub(crate) open_connections: AtomicUsize,
    /// Requests whose response headers are not available yet.
    pub(crate) in_flight: AtomicUsize,
}

impl Proxy {
    /// Answers one request of a caller.
    pub(crate) async fn answer(self: &Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let _in_flight = CountGuard::new(&self.in_flight);
        let origin = request::Origin::of(&request);
        let answered = self.dispatch(request).await;
        let mut response = answered.unwrap_or_else(|refusal| {
            self.metrics.refusal(refusal.code);
            let kind = origin.kind(&self.published.view(), refusal.code);
            self.refusals.record(kind, &refusal, self.clock.now());
            answer::refuse(&refusal)
        });
        if self.published.is_leaving() {
            // Makes the caller reconnect to another host before this one shuts down.
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Returns how many connections of callers are open.
    pub(crate) fn connections(&self) -> usize {
        self.open_connections.load(Ordering::Relaxed)
    }

    async fn dispatch(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Refusal> {
        validate::check(&request, &self.settings)?;
        let (bound, idle) = (self.settings.body_bytes, self.settings.idle_timeout);
        let request = request.map(|body| body::bounded(body, bound, idle));
        match Resource::parse(request.uri())? {
            Resource::Hosts { service } => self.hosts(&request, &service),
            Resource::Runs { service } => self.issue_series(request, &service).await,
            Resource::Service { service, path } => self.serve(request, service, path).await,
        }
    }

    fn hosts(
        &self,
        request: &Request<Body>,
        service: &id::Service,
    ) -> Result<Response<Body>, Refusal> {
        let view = self.published.view();
        let max_age = u32::try_from(self.settings.max_age.as_secs()).unwrap_or(u32::MAX);
        let seed = request::seed(request.headers());
        let fleet = self.published.fleet_state();
        let hosts = locator::locate(&view, &fleet, service, seed, max_age);
        if hosts.is_none() {
            // A host that may have missed the document can't claim that the service doesn't exist.
            self.check_fresh()?;
        }
        let hosts =
            hosts.ok_or_else(|| Refusal::not_run(Code::Route, "no service of this name"))?;
        Ok(answer::json(&hosts))
    }

    async fn serve(
        self: &Arc<Self>,
        mut request: Request<Body>,
        service: id::Service,
        path: String,
    ) -> Result<Response<Body>, Refusal> {
        let started = Instant::now();
        let view = self.published.view();
        let early = |refusal| runs::early_refusal(&request, refusal);
        self.check_fresh().map_err(early)?;
        let routed = RoutedRequest::new(&request, &view, service, path).map_err(early)?;
        headers::strip_keys(request.headers_mut(), &view);
        if let Some(key) = runs::run_key(&request, &routed)? {
            return self.serve_keyed(request, &view, routed, key).await;
        }
        if !view.homes(&routed.document.service).contains(&self.name) {
            return self.forward(request, &view, &routed).await;
        }
        let may_hand_over = !request.headers().contains_key(HOP);
        let workspace = match self.admit(&view, &routed, may_hand_over)? {
            Admission::Local(workspace) => workspace,
            Admission::Remote(workspace, holder) => {
                return self.hand_over(request, &view, &routed, &workspace, &holder).await;
            }
        };
        self.run(request, &routed, workspace, started).await
    }

    /// Runs an admitted request.
    async fn run(
        &self,
        mut request: Request<Body>,
        routed: &RoutedRequest,
        workspace: Option<id::Workspace>,
        started: Instant,
    ) -> Result<Response<Body>, Refusal> {
        let labels = Labels {
            service: routed.document.service.clone(),
            workspace: workspace.clone().map(SmolStr::from),
            class: routed.route.class.clone(),
        };
        let slot = self.slot(&mut request, routed, workspace.as_ref(), started).await?;
        let view = self.published.view();
        let response = self.attempt(request, &view, routed, workspace).await?;
        drop(slot);
        self.metrics.request(&labels, response.status().as_u16(), started.elapsed());
        Ok(response)
    }

    /// Waits for a slot and deducts the wait from the time left for the request.
    async fn slot(
        &self,
        request: &mut Request<Body>,
        routed: &RoutedRequest,
        workspace: Option<&id::Workspace>,
        started: Instant,
    ) -> Result<Slot, Refusal> {
        let document = &routed.document;
        let grant = workspace.and_then(|workspace| document.grants.get(workspace));
        let homes = self.published.view().homes(&document.service).len();
        let budget = request::budget(request.headers(), routed.route.deadline);
        let wanted = SlotRequest {
            service: document.service.clone(),
            workspace: workspace.cloned().unwrap_or_else(queue::anonymous),
            weight: grant.map_or(Weight(1), |grant| grant.weight),
            limit: queue::concurrency_limit(document, homes),
            time_left: budget.saturating_sub(started.elapsed()),
        };
        let slot = self.slots.acquire(&wanted).await?;
        let waited = started.elapsed();
        // A timeout at the route's own deadline counts against the target, so that deadline is
        // kept unless the wait used up a considerable part of it.
        if budget == routed.route.deadline && waited < budget / NEGLIGIBLE_WAIT_DIVISOR {
            return Ok(slot);
        }
        let left = budget.saturating_sub(waited).as_millis();
        let left = HeaderValue::from(u64::try_from(left).unwrap_or(u64::MAX));
        request.headers_mut().insert(DEADLINE_MS, left);
        Ok(slot)
    }

    /// Refuses if this host may have missed a configuration change.
    fn check_fresh(&self) -> Result<(), Refusal> {
        if self.published.is_fresh(self.clock.now()) {
            return Ok(());
        }
        let detail = "this host may have missed a change; use another one";
        Err(Refusal::not_run(Code::NotFresh, detail).retry_after(SHORT_RETRY_AFTER))
    }

    /// Admits a request if its key's workspace may use the service now.
    fn admit(
        &self,
        view: &View,
        routed: &RoutedRequest,
        may_hand_over: bool,
    ) -> Result<Admission, Refusal> {
        let workspace = routed.workspace(view)?;
        let Some(workspace) = workspace else {
            return Ok(Admission::Local(None));
        };
        self.admit_workspace(view, &routed.document, workspace, may_hand_over)
    }

    /// Admits a workspace's request if its grant for the service allows it now.
    fn admit_workspace(
        &self,
        view: &View,
        document: &Document,
        workspace: id::Workspace,
        may_hand_over: bool,
    ) -> Result<Admission, Refusal> {
        let service = &document.service;
        if !document.grants.contains_key(&workspace) {
            let detail = format!("workspace {workspace} has no grant for {service}");
            return Err(Refusal::not_run(Code::Grant, detail));
        }
        let now = self.clock.now();
        match self.grants.admit(view, service, &workspace, may_hand_over, now) {
            Ok(()) => Ok(Admission::Local(Some(workspace))),
            Err(Denied { holder: Some(holder), .. }) => Ok(Admission::Remote(workspace, holder)),
            Err(Denied { wait, .. }) => {
                let detail = format!("workspace {workspace} is past its rate and burst");
                Err(Refusal::not_run(Code::Rate, detail)
                    .retry_after(wait.unwrap_or(SHORT_RETRY_AFTER)))
            }
        }
    }

    /// Forwards a request to another holder of the grant, which admits or refuses it.
    async fn hand_over(
        &self,
        request: Request<Body>,
        view: &View,
        routed: &RoutedRequest,
        workspace: &id::Workspace,
        holder: &id::Host,
    ) -> Result<Response<Body>, Refusal> {
        self.metrics.handed_over();
        let home = view.hosts.get(holder);
        let answered = self.forward_to(request, home, routed.route.deadline).await;
        let is_past = |response: &Response<Body>| response.status() == Code::Rate.status();
        if answered.as_ref().map_or(true, is_past) {
            let service = &routed.document.service;
            self.grants.mark_empty(service, workspace, holder, self.clock.now());
        }
        answered
    }
}

/// Which host runs an admitted request.
enum Admission {
    /// This host, for the workspace, or for `None` on an open route without a key.
    Local(Option<id::Workspace>),
    /// Another holder of this workspace's grant.
    Remote(id::Workspace, id::Host),
}

/// Keeps a counter incremented until dropped.
struct CountGuard<'a>(&'a AtomicUsize);

impl<'a> CountGuard<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
