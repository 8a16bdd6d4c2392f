//! Read-only endpoints: status, explanations of targets and refusals, histograms and metrics.

use std::sync::Arc;

use chicoryloom_policy::Moment;
use chicoryloom_policy::document::Document;
use chicoryloom_policy::health::Explanation;
use chicoryloom_policy::health::Standing;
use chicoryloom_policy::id;
use chicoryloom_wire::platform::Host;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use warp::Filter;
use warp::Reply;
use warp::filters::BoxedFilter;
use warp::reply::Response;

use super::Admin;
use super::Route;
use super::access;
use super::access::Call;
use super::histogram;
use super::response;
use crate::control::Report;
use crate::refusals::Entry;
use crate::refusals::Kind;

/// Filter of the explained refusals and targets; an absent field matches all.
#[derive(Clone, Debug, Default, Deserialize)]
struct Query {
    service: Option<String>,
    workspace: Option<String>,
    code: Option<String>,
}

impl Query {
    fn matches_service(&self, service: &str) -> bool {
        self.service.as_ref().is_none_or(|wanted| wanted == service)
    }

    fn matches(&self, kind: &Kind) -> bool {
        let workspace = kind.workspace.as_ref().map_or("", id::Workspace::as_str);
        self.matches_service(kind.service.as_ref().map_or("", id::Service::as_str))
            && self.workspace.as_ref().is_none_or(|wanted| wanted == workspace)
            && self.code.as_ref().is_none_or(|wanted| wanted == kind.code.as_str())
    }
}

/// Returns the read-only routes.
pub(super) fn routes(admin: &BoxedFilter<(Arc<Admin>,)>) -> Route {
    let call = access::authenticate(admin);
    let status = warp::path!("v1" / "status").and(warp::get()).and(call.clone()).map(status);
    let explain = warp::path!("v1" / "explain")
        .and(warp::get())
        .and(call.clone())
        .and(warp::query())
        .map(explain);
    let histograms =
        warp::path!("v1" / "histograms").and(warp::get()).and(call).map(|call: Call| {
            response::json(&json!({ "histograms": histogram::all(&call.admin.metrics) }))
        });
    let metrics = warp::path!("metrics")
        .and(warp::get())
        .and(admin.clone())
        .map(|admin: Arc<Admin>| admin.metrics.render().into_response());
    status.or(explain).unify().or(histograms).unify().or(metrics).unify().boxed()
}

fn status(call: Call) -> Response {
    let admin = &call.admin;
    let view = admin.published.view();
    let now = admin.clock.now();
    let state = Report::new(&view, &admin.published.fleet_state(), &admin.proxy.name, now);
    let mut documents: Vec<_> = view.documents.keys().collect();
    documents.sort();
    let mut hosts: Vec<_> = view.hosts.values().collect();
    hosts.sort_by(|a, b| a.name.cmp(&b.name));
    let hosts: Vec<_> = hosts.into_iter().map(host).collect();
    response::json(&json!({
        "host": admin.proxy.name,
        "revision": view.revision,
        "fresh": admin.published.is_fresh(now),
        "leaving": admin.published.is_leaving(),
        "suspects_itself": admin.published.is_suspect(),
        "connections": admin.proxy.connections(),
        "documents": documents,
        "keys": view.keys.len(),
        "hosts": view.hosts.len(),
        "roster": hosts,
        "state": state,
    }))
}

fn host(host: &Host) -> Value {
    json!({
        "name": host.name,
        "data_centre": host.data_centre,
        "caller": host.caller.to_string(),
        "leaving": host.leaving,
    })
}

fn explain(call: Call, query: Query) -> Response {
    let admin = &call.admin;
    let view = admin.published.view();
    let mut services: Vec<_> = view.documents.values().collect();
    services.retain(|document| query.matches_service(document.service.as_str()));
    services.sort_by(|a, b| a.service.cmp(&b.service));
    let services: Vec<_> = services.into_iter().map(|document| service(admin, document)).collect();
    let now = admin.clock.now();
    let refusals = admin.proxy.refusals.latest(|kind| query.matches(kind));
    let refusals: Vec<_> = refusals.iter().map(|(kind, entry)| refusal(kind, entry, now)).collect();
    response::json(&json!({ "services": services, "refusals": refusals }))
}

fn service(admin: &Admin, document: &Document) -> Value {
    let view = admin.published.view();
    let target = |target: &chicoryloom_policy::document::Target| {
        let backend = admin.proxy.targets.backend(target);
        let load = backend.load(target.slots.0);
        let state = if target.leaving { "leaving, as its document says" } else { "in" };
        json!({
            "target": target.id.to_string(),
            "data_centre": target.data_centre,
            "state": state,
            "slots": target.slots,
            "in_flight": load.in_flight,
            "latency_s": load.latency,
        })
    };
    json!({
        "service": document.service,
        "homes": view.homes(&document.service),
        "targets": document.targets.iter().map(target).collect::<Vec<_>>(),
        "health": admin.proxy.targets.explain(&document.service).iter().map(health).collect::<Vec<_>>(),
    })
}

/// Returns the health of a target or of one of its routes, with the evidence behind it.
fn health(line: &Explanation) -> Value {
    let (standing, weight) = match line.standing {
        Standing::In(weight) => ("in", weight),
        Standing::Trial => ("trial", 0.0),
        Standing::Out => ("out", 0.0),
    };
    json!({
        "target": line.target.to_string(),
        "route": line.route,
        "standing": standing,
        "weight": weight,
        "since_s": line.since.as_secs_f64(),
        "hold_left_s": line.hold_left.as_secs_f64(),
        "evidence": line.score,
        "evidence_of_peers": line.peers,
        "ejections": line.ejections,
        "leaving": line.leaving,
        "draining": line.draining,
        "ok": line.tally.ok,
        "slow": line.tally.slow,
        "error": line.tally.error,
        "refused": line.tally.refused,
        "reset": line.tally.reset,
        "timeout": line.tally.timeout,
    })
}

fn refusal(kind: &Kind, entry: &Entry, now: Moment) -> Value {
    let age = now.since_start().saturating_sub(entry.at.since_start());
    json!({
        "service": kind.service,
        "workspace": kind.workspace,
        "code": kind.code.as_str(),
        "count": entry.count,
        "detail": entry.detail,
        "age_s": age.as_secs_f64(),
    })
}
