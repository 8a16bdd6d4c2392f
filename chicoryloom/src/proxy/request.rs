//! Parses callers' requests and matches them with routes.

use std::sync::Arc;
use std::time::Duration;

use chicoryloom_policy::document::Document;
use chicoryloom_policy::document::Route;
use chicoryloom_policy::id;
use chicoryloom_wire::caller::Code;
use chicoryloom_wire::caller::Refusal;
use chicoryloom_wire::header;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Uri;
use http::header::AUTHORIZATION;

use super::key;
use super::key::Redactor;
use super::path;
use crate::control::View;
use crate::refusals::Kind;

/// Path prefix of the proxy's own API.
const API_PREFIX: &str = "/chicory/v1/";

/// A resource that a caller can request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Resource {
    /// The hosts to use for a service.
    Hosts { service: id::Service },
    /// A new series of run keys for a service.
    Runs { service: id::Service },
    /// A request for a service; `path` includes the query.
    Service { service: id::Service, path: String },
}

impl Resource {
    /// Parses the resource from a request's URI.
    pub(super) fn parse(uri: &Uri) -> Result<Self, Refusal> {
        if let Some(api) = uri.path().strip_prefix(API_PREFIX) {
            return Self::parse_api(api, uri.query().unwrap_or_default());
        }
        let whole = uri.path_and_query().map_or("/", |path| path.as_str());
        let rest = whole.strip_prefix('/').unwrap_or(whole);
        let end = rest.find(['/', '?']).unwrap_or(rest.len());
        let service =
            rest[..end].parse().map_err(|_| no_route("the path starts with no service's name"))?;
        let path = match &rest[end..] {
            "" => "/".to_owned(),
            query if query.starts_with('?') => format!("/{query}"),
            path => path.to_owned(),
        };
        Ok(Self::Service { service, path })
    }

    fn parse_api(path: &str, query: &str) -> Result<Self, Refusal> {
        if !["hosts", "runs"].contains(&path) {
            return Err(no_route("the fleet has no such resource"));
        }
        let service = query.split('&').find_map(|pair| pair.strip_prefix("service="));
        let service = service.ok_or_else(|| no_route("name a service: ?service=NAME"))?;
        let service = service.parse().map_err(|_| no_route("service: not a name"))?;
        Ok(match path {
            "runs" => Self::Runs { service },
            _ => Self::Hosts { service },
        })
    }
}

fn no_route(detail: &str) -> Refusal {
    Refusal::not_run(Code::Route, detail)
}

/// URI and key of a request, kept to record a refusal under its service and workspace.
#[derive(Clone, Debug)]
pub(super) struct Origin {
    uri: Uri,
    authorization: Option<HeaderValue>,
}

impl Origin {
    pub(super) fn of<B>(request: &Request<B>) -> Self {
        let authorization = request.headers().get(AUTHORIZATION).cloned();
        Self { uri: request.uri().clone(), authorization }
    }

    /// Returns the kind under which a refusal of the request is recorded.
    pub(super) fn kind(&self, view: &View, code: Code) -> Kind {
        // A segment that is no known service is left out, since it could hold anything, even a key.
        let service = self.uri.path().split('/').nth(1).and_then(|name| name.parse().ok());
        let service = service.filter(|service| view.documents.contains_key(service));
        let key = self.authorization.as_ref().and_then(key::from_bearer);
        let digest = key.map(id::Digest::of);
        let workspace = digest.and_then(|digest| view.workspace(&digest).cloned());
        Kind { service, workspace, code }
    }
}

/// A request for a service, with the route that matches it.
#[derive(Clone, Debug)]
pub(super) struct RoutedRequest {
    pub(super) document: Arc<Document>,
    pub(super) route: Arc<Route>,
    /// Path and query as sent to the target.
    pub(super) path: String,
    key: Option<id::Digest>,
}

impl RoutedRequest {
    pub(super) fn new<B>(
        request: &Request<B>,
        view: &View,
        service: id::Service,
        path: String,
    ) -> Result<Self, Refusal> {
        let document = view.documents.get(&service);
        let document = document.ok_or_else(|| no_route("no service of this name"))?.clone();
        let key = key::from_headers(request.headers())?;
        let path = Redactor::new(key, view).strip_path(path)?;
        let bare = path::decode(path.split('?').next().unwrap_or_default())?;
        let route = document.route(request.method().as_str(), &bare);
        let route = route.ok_or_else(|| no_route(&format!("no route of {service}")))?.clone();
        let key = key.map(id::Digest::of);
        Ok(Self { document, route, path, key })
    }

    /// Returns the workspace of the request's key, or `None` on an open route without a key.
    pub(super) fn workspace(&self, view: &View) -> Result<Option<id::Workspace>, Refusal> {
        let workspace = self.key.as_ref().and_then(|key| view.workspace(key));
        match workspace {
            Some(workspace) => Ok(Some(workspace.clone())),
            None if self.route.open => Ok(None),
            None => Err(Refusal::not_run(Code::Key, "the key is missing, unknown or withdrawn")),
        }
    }
}

/// Returns the time that a request may take: its route's deadline, or the caller's if shorter.
pub(super) fn budget(headers: &HeaderMap, route: Duration) -> Duration {
    let value = headers.get(header::DEADLINE_MS).and_then(|value| value.to_str().ok());
    let requested = value.and_then(|value| value.trim().parse().ok()).map(Duration::from_millis);
    requested.map_or(route, |requested| requested.min(route))
}

/// Returns the seed for the locator's order: a hash of the key, or random without a key.
pub(super) fn seed(headers: &HeaderMap) -> u64 {
    let key = key::from_headers(headers).ok().flatten();
    let hash = key.map(|key| blake3::hash(key.as_bytes()));
    hash.map_or_else(rand::random, |hash| {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_le_bytes(bytes)
    })
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[rstest]
    #[case("/calendar/seats?x=1", "/seats?x=1")]
    #[case("/calendar", "/")]
    #[case("/calendar?x=1", "/?x=1")]
    fn service_is_removed_from_the_path(#[case] uri: &str, #[case] path: &str) {
        let resource = Resource::parse(&uri.parse().unwrap()).unwrap();
        let service = "calendar".parse().unwrap();
        assert_eq!(resource, Resource::Service { service, path: path.to_owned() });
    }
}
