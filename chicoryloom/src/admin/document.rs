//! Calls about documents.

use std::sync::Arc;

use bytes::Bytes;
use chicoryloom_policy::document::Document;
use chicoryloom_policy::id;
use http::HeaderMap;
use http::header::IF_MATCH;
use http::header::IF_NONE_MATCH;
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
use super::answer;
use super::audit;
use super::audit::Change;
use super::change;
use super::change::Error;

/// Largest document, in bytes.
const MAX_DOCUMENT: u64 = 1024 * 1024;

/// Returns the routes of documents.
pub(super) fn routes(admin: &BoxedFilter<(Arc<Admin>,)>) -> Route {
    let path = warp::path!("v1" / "documents" / String);
    let call = access::call(admin);
    let body = warp::body::content_length_limit(MAX_DOCUMENT).and(warp::body::bytes());
    let headers = warp::header::headers_cloned();
    let list = warp::path!("v1" / "documents").and(warp::get()).and(call.clone()).map(list);
    let get = path.and(warp::get()).and(call.clone()).then(get);
    let put = path.and(warp::put()).and(call.clone()).and(headers).and(body).then(put);
    let delete = path.and(warp::delete()).and(call.clone()).and(headers).then(delete);
    let check = warp::path!("v1" / "check").and(warp::post()).and(call).and(body).map(check);
    list.or(get).unify().or(put).unify().or(delete).unify().or(check).unify().boxed()
}

/// Lists the documents in force on this host.
fn list(call: Call) -> Response {
    let view = call.admin.published.view();
    let mut documents: Vec<_> = view.documents.values().collect();
    documents.sort_by(|a, b| a.service.cmp(&b.service));
    let documents: Vec<_> = documents.into_iter().map(|document| summary(document)).collect();
    answer::json(&json!({ "documents": documents }))
}

fn summary(document: &Document) -> Value {
    json!({
        "service": document.service,
        "routes": document.routes.len(),
        "workspaces": document.grants.len(),
        "targets": document.targets.len(),
        "slots": document.slots(),
        "floor": document.floor,
    })
}

async fn get(name: String, call: Call) -> Response {
    let read = change::document(&call.admin, &name).await;
    answer::reply(read.map(|object| answer::tagged(object.value.into_response(), object.version)))
}

async fn put(name: String, call: Call, headers: HeaderMap, body: Bytes) -> Response {
    let expected = match expected(&headers) {
        Ok(expected) => expected,
        Err(error) => return answer::reply(Err(error)),
    };
    let made = change::put_document(&call.admin, &name, expected, &body).await;
    let name = shown(&call, &name, made.is_ok());
    audit::write(&call.operator, &Change::PutDocument { name, expected }, made.as_ref());
    answer::reply(made.map(|made| written(made.version)))
}

async fn delete(name: String, call: Call, headers: HeaderMap) -> Response {
    let expected = match expected(&headers) {
        Ok(expected) => expected,
        Err(error) => return answer::reply(Err(error)),
    };
    let made = change::delete_document(&call.admin, &name, expected).await;
    let name = shown(&call, &name, made.is_ok());
    audit::write(&call.operator, &Change::DeleteDocument { name, expected }, made.as_ref());
    answer::reply(made.map(|made| written(made.version)))
}

/// Returns a name for an audit line; one that no document has could be a misplaced key.
fn shown(call: &Call, name: &str, made: bool) -> String {
    let documents = &call.admin.published.view().documents;
    let known = documents.keys().any(|service| service.as_str() == name);
    if made || known { name.to_owned() } else { "unknown".to_owned() }
}

fn written(version: id::Revision) -> Response {
    answer::tagged(answer::json(&json!({ "version": version })), version)
}

fn check(_: Call, body: Bytes) -> Response {
    let checked = change::check(&body);
    answer::reply(checked.map(|checked| {
        let mut summary = summary(&checked.document);
        summary["unknown"] = json!(checked.unknown);
        answer::json(&summary)
    }))
}

/// Reads the version that a change expects; 0 means that there is no object yet.
fn expected(headers: &HeaderMap) -> Result<id::Revision, Error> {
    let Some(value) = headers.get(IF_MATCH) else {
        return Ok(id::Revision::default());
    };
    if headers.contains_key(IF_NONE_MATCH) {
        return Err(Error::Invalid("both if-match and if-none-match".to_owned()));
    }
    let text = value.to_str().unwrap_or_default().trim();
    let quoted = text.strip_prefix('"').and_then(|text| text.strip_suffix('"'));
    let version = quoted.unwrap_or(text).parse::<id::Revision>();
    let version = version.ok().filter(|version| *version > id::Revision::default());
    version.ok_or_else(|| Error::Invalid("if-match: must be one version in quotes".to_owned()))
}
