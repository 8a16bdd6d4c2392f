//! The path of a request from its caller to a target and back.

mod answer;
mod attempt;
mod body;
mod form;
mod forward;
mod headers;
pub(crate) mod key;
mod listener;
mod path;
mod request;
mod stream;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use chicoryloom_policy::id;
use chicoryloom_wire::caller::Code;
use chicoryloom_wire::caller::Refusal;
use http::Request;
use http::Response;
use hyper::body::Incoming;

pub(crate) use listener::Listener;

use crate::clock::Clock;
use crate::config;
use crate::control::Published;
use crate::control::View;
use crate::grant::Grants;
use crate::locator;
use crate::metrics::Labels;
use crate::metrics::Metrics;
use crate::refusals::Refusals;
use crate::target::Body;
use crate::target::Targets;

use self::request::Asked;
use self::request::Resource;

/// Wait that a caller is told after a refusal that ends by itself soon.
const SOON: Duration = Duration::from_secs(1);

/// Everything that the request path uses.
#[derive(Debug)]
pub(crate) struct Proxy {
    pub(crate) name: id::Host,
    pub(crate) settings: config::proxy::Proxy,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) published: Arc<Published>,
    pub(crate) grants: Grants,
    pub(crate) targets: Targets,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) refusals: Refusals,
    /// Connections of callers that are open.
    pub(crate) open: AtomicUsize,
    /// Requests that have no head of an answer yet.
    pub(crate) in_flight: AtomicUsize,
}

impl Proxy {
    /// Answers one request of a caller.
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let _counted = Counted::new(&self.in_flight);
        let origin = request::Origin::of(&request);
        let answered = self.checked_answer(request).await;
        answered.unwrap_or_else(|refusal| {
            self.metrics.refusal(refusal.code);
            let kind = origin.kind(&self.published.view(), refusal.code);
            self.refusals.record(kind, &refusal, self.clock.now());
            answer::refuse(&refusal)
        })
    }

    /// Returns how many connections of callers are open.
    pub(crate) fn connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    async fn checked_answer(&self, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
        form::check(&request, &self.settings)?;
        match Resource::of(request.uri())? {
            Resource::Hosts { service } => self.hosts(&request, &service),
            Resource::Service { service, path } => self.serve(request, service, path).await,
        }
    }

    fn hosts(
        &self,
        request: &Request<Incoming>,
        service: &id::Service,
    ) -> Result<Response<Body>, Refusal> {
        let view = self.published.view();
        let max_age = u32::try_from(self.settings.max_age.as_secs()).unwrap_or(u32::MAX);
        let seed = request::seed(request.headers());
        let standing = self.published.standing();
        let hosts = locator::locate(&view, &standing, service, seed, max_age);
        if hosts.is_none() {
            // A host that may lack the document can't tell that there is none.
            self.check_fresh()?;
        }
        let hosts =
            hosts.ok_or_else(|| Refusal::not_run(Code::Route, "no service of this name"))?;
        Ok(answer::json(&hosts))
    }

    async fn serve(
        &self,
        mut request: Request<Incoming>,
        service: id::Service,
        path: String,
    ) -> Result<Response<Body>, Refusal> {
        let started = Instant::now();
        let view = self.published.view();
        self.check_fresh()?;
        let asked = Asked::new(&request, &view, service, path)?;
        headers::strip_keys(request.headers_mut(), &view);
        if !view.homes(&asked.document.service).contains(&self.name) {
            return self.forward(request, &view, &asked).await;
        }
        let workspace = self.admit(&view, &asked)?;
        let labels = Labels {
            service: asked.document.service.clone(),
            workspace: workspace.clone(),
            class: asked.route.class.clone(),
        };
        let response = self.attempt(request, &asked, workspace).await?;
        self.metrics.request(&labels, response.status().as_u16(), started.elapsed());
        Ok(response)
    }

    /// Refuses if the host may have missed a change.
    fn check_fresh(&self) -> Result<(), Refusal> {
        if self.published.is_fresh(self.clock.now()) {
            return Ok(());
        }
        let detail = "this host may have missed a change; use another one";
        Err(Refusal::not_run(Code::NotFresh, detail).retry_after(SOON))
    }

    /// Refuses unless the key's workspace may use the service now.
    ///
    /// Returns the workspace, or `None` on an open route without a key.
    fn admit(&self, view: &View, asked: &Asked) -> Result<Option<id::Workspace>, Refusal> {
        let workspace = asked.workspace(view)?;
        let Some(workspace) = workspace else {
            return Ok(None);
        };
        let service = &asked.document.service;
        let Some(grant) = asked.document.grants.get(&workspace) else {
            let detail = format!("workspace {workspace} has no grant for {service}");
            return Err(Refusal::not_run(Code::Grant, detail));
        };
        let homes = view.homes(service).len();
        let admitted = self.grants.admit(service, &workspace, grant, homes, self.clock.now());
        admitted.map_err(|wait| {
            let detail = format!("workspace {workspace} is past its rate and burst");
            Refusal::not_run(Code::Rate, detail).retry_after(wait)
        })?;
        Ok(Some(workspace))
    }
}

/// Counts something while it lives.
struct Counted<'a>(&'a AtomicUsize);

impl<'a> Counted<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
