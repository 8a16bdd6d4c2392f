//! Attempts of a request at targets.

use std::sync::Arc;
use std::time::Duration;

use chicoryloom_policy::document::Target;
use chicoryloom_policy::id;
use chicoryloom_policy::pick;
use chicoryloom_wire::caller::Code;
use chicoryloom_wire::caller::Refusal;
use http::Request;
use http::Response;
use http::Uri;
use http::Version;
use http_body_util::BodyExt;
use tokio::time::Instant;

use super::Proxy;
use super::SOON;
use super::headers;
use super::request::Asked;
use crate::target::Backend;
use crate::target::Body;
use crate::target::Failure;
use crate::target::exchange;

impl Proxy {
    /// Sends a request to a target and returns the answer.
    pub(super) async fn attempt(
        &self,
        request: Request<Body>,
        asked: &Asked,
        workspace: Option<id::Workspace>,
    ) -> Result<Response<Body>, Refusal> {
        let deadline = Instant::now() + asked.route.deadline;
        let (target, backend) = self.pick(asked)?;
        let cap = self.connection_cap(asked, target);
        let lease = backend.lease(cap).await.map_err(|failure| refusal(&failure))?;
        let request = self.request(request, asked, &backend, workspace.as_ref())?;
        // The host may have slept since it admitted the request.
        self.check_fresh()?;
        let started = Instant::now();
        let exchange = exchange(lease, request, self.settings.idle_timeout);
        let answer = match tokio::time::timeout_at(deadline, exchange).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(failure)) => {
                log::debug!("proxy: target {}: {failure}", backend.target());
                return Err(refusal(&failure));
            }
            Err(_) => {
                let detail = "the target did not answer before the deadline";
                return Err(Refusal::unknown(Code::Deadline, detail));
            }
        };
        backend.sample(started.elapsed());
        let mut response = answer.map(BodyExt::boxed_unsync);
        *response.version_mut() = Version::HTTP_11;
        headers::to_caller(response.headers_mut());
        Ok(response)
    }

    fn pick<'a>(&self, asked: &'a Asked) -> Result<(&'a Target, Arc<Backend>), Refusal> {
        let targets: Vec<_> = asked.document.targets.iter().filter(|t| !t.leaving).collect();
        let backends: Vec<_> = targets.iter().map(|target| self.targets.backend(target)).collect();
        let loads: Vec<_> =
            targets.iter().zip(&backends).map(|(t, backend)| backend.load(t.slots.0)).collect();
        let chosen = pick::choose(&loads, &mut rand::rng());
        let chosen = chosen.ok_or_else(|| {
            Refusal::not_run(Code::NoCapacity, "no target is live").retry_after(SOON)
        })?;
        Ok((targets[chosen], backends[chosen].clone()))
    }

    /// Returns how many connections this host may hold to a target.
    fn connection_cap(&self, asked: &Asked, target: &Target) -> u32 {
        let homes = self.published.view().homes(&asked.document.service).len();
        let homes = u32::try_from(homes.max(1)).unwrap_or(u32::MAX);
        (target.connections.0 / homes).max(1)
    }

    fn request(
        &self,
        request: Request<Body>,
        asked: &Asked,
        backend: &Backend,
        workspace: Option<&id::Workspace>,
    ) -> Result<Request<Body>, Refusal> {
        let (mut parts, body) = request.into_parts();
        let uri: Result<Uri, _> = asked.path.parse();
        parts.uri = uri.map_err(|error| Refusal::not_run(Code::Route, error.to_string()))?;
        let id = format!("{:016x}", rand::random::<u64>());
        let left: Duration = asked.route.deadline;
        headers::to_target(&mut parts.headers, backend.target(), workspace, &id, left);
        // A caller's older version would have the target answer in it.
        parts.version = Version::HTTP_11;
        Ok(Request::from_parts(parts, body))
    }
}

/// Turns a failed attempt into the caller's answer.
fn refusal(failure: &Failure) -> Refusal {
    if failure.is_not_run() {
        Refusal::not_run(Code::NoCapacity, failure.to_string()).retry_after(SOON)
    } else if let Failure::Body(reason) = failure {
        Refusal::unknown(Code::Bound, reason.clone())
    } else {
        Refusal::unknown(Code::Answer, failure.to_string())
    }
}
