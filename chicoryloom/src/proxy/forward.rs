//! Forwards a request that this host can't serve itself to another host, at most once.

use std::time::Duration;

use chicoryloom_policy::document::Target;
use chicoryloom_policy::id;
use chicoryloom_policy::unit::Connections;
use chicoryloom_policy::unit::Slots;
use chicoryloom_wire::caller::Code;
use chicoryloom_wire::caller::Refusal;
use chicoryloom_wire::header;
use chicoryloom_wire::platform::Host;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::Uri;
use http::Version;
use http_body_util::BodyExt;
use rand::seq::IndexedRandom;

use super::Proxy;
use super::SHORT_RETRY_AFTER;
use super::headers;
use super::request::RoutedRequest;
use crate::control::View;
use crate::target::Body;
use crate::target::Failure;
use crate::target::Protocol;
use crate::target::exchange;

/// Most connections to one home host for forwarding.
const MAX_CONNECTIONS: u32 = 64;

impl Proxy {
    /// Forwards a request to a home host, which admits it by the key that it still carries.
    pub(super) async fn forward(
        &self,
        request: Request<Body>,
        view: &View,
        routed: &RoutedRequest,
    ) -> Result<Response<Body>, Refusal> {
        if request.headers().contains_key(header::HOP) {
            let detail = "this host serves the service no more; ask for its hosts again";
            return Err(Refusal::not_run(Code::NoCapacity, detail).retry_after(SHORT_RETRY_AFTER));
        }
        let home = choose_home(view, &routed.document.service);
        self.forward_to(request, home, routed.route.deadline).await
    }

    /// Forwards a request to a given host.
    pub(super) async fn forward_to(
        &self,
        request: Request<Body>,
        home: Option<&Host>,
        deadline: Duration,
    ) -> Result<Response<Body>, Refusal> {
        let Some(home) = home else {
            let detail = "the service has no live host";
            return Err(Refusal::not_run(Code::NoCapacity, detail).retry_after(SHORT_RETRY_AFTER));
        };
        let backend = self.targets.backend(&as_target(home));
        backend.set_cap(MAX_CONNECTIONS);
        let lease = backend.lease().await.map_err(|failure| {
            Refusal::not_run(Code::NoCapacity, failure.to_string()).retry_after(SHORT_RETRY_AFTER)
        })?;
        let (mut parts, body) = request.into_parts();
        headers::strip_hop_by_hop(&mut parts.headers);
        parts.headers.insert(header::HOP, HeaderValue::from_static("1"));
        parts.uri = origin_form(&parts.uri)?;
        parts.version = Version::HTTP_11;
        let request = Request::from_parts(parts, body);
        let sent = exchange(lease, request, Some(self.settings.idle_timeout), Protocol::own());
        match tokio::time::timeout(deadline, sent).await {
            Ok(Ok(answer)) => {
                let mut response = answer.map(BodyExt::boxed_unsync);
                headers::strip_hop_by_hop(response.headers_mut());
                Ok(response)
            }
            Ok(Err(failure)) if failure.is_not_run() => {
                Err(Refusal::not_run(Code::NoCapacity, failure.to_string())
                    .retry_after(SHORT_RETRY_AFTER))
            }
            Ok(Err(Failure::Body(reason))) => Err(Refusal::unknown(Code::Bound, reason)),
            Ok(Err(failure)) => Err(Refusal::unknown(Code::Answer, failure.to_string())),
            Err(_) => Err(Refusal::unknown(Code::Deadline, "the home host did not answer")),
        }
    }
}

/// Returns the path and query of a URI, without scheme and authority.
fn origin_form(uri: &Uri) -> Result<Uri, Refusal> {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().map_err(|_| Refusal::not_run(Code::Malformed, "the path can't be read"))
}

/// Returns a random home host of a service.
fn choose_home<'a>(view: &'a View, service: &id::Service) -> Option<&'a Host> {
    let home = view.homes(service).choose(&mut rand::rng())?;
    view.hosts.get(home)
}

/// Describes a home host so that connections to it can be pooled like those to a target.
fn as_target(home: &Host) -> Target {
    Target {
        id: id::Target(home.caller),
        data_centre: home.data_centre.clone(),
        slots: Slots(1),
        connections: Connections(MAX_CONNECTIONS),
        leaving: false,
    }
}
