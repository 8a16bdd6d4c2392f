//! Document endpoints of the administration API.

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
use super::audit;
use super::audit::Change;
use super::change;
use super::change::Error;
use super::response;

/// Maximum size of a document, in bytes.
const MAX_DOCUMENT_BYTES: u64 = 1024 * 1024;

/// Returns the document routes.
pub(super) fn routes(admin: &BoxedFilter<(Arc<Admin>,)>) -> Route {
    let path = warp::path!("v1" / "documents" / String);
    let call = access::authenticate(admin);
    let body = warp::body::content_length_limit(MAX_DOCUMENT_BYTES).and(warp::body::bytes());
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
    response::json(&json!({ "documents": documents }))
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
    response::reply(
        read.map(|object| response::with_etag(object.value.into_response(), object.version)),
    )
}

async fn put(name: String, call: Call, headers: HeaderMap, body: Bytes) -> Response {
    let expected = match expected_version(&headers) {
        Ok(expected) => expected,
        Err(error) => return response::reply(Err(error)),
    };
    let applied = change::put_document(&call.admin, &name, expected, &body).await;
    let name = loggable_name(&call, &name, applied.is_ok());
    audit::write(&call.operator, &Change::PutDocument { name, expected }, applied.as_ref());
    response::reply(applied.map(|applied| version_response(applied.version)))
}

async fn delete(name: String, call: Call, headers: HeaderMap) -> Response {
    let expected = match expected_version(&headers) {
        Ok(expected) => expected,
        Err(error) => return response::reply(Err(error)),
    };
    let applied = change::delete_document(&call.admin, &name, expected).await;
    let name = loggable_name(&call, &name, applied.is_ok());
    audit::write(&call.operator, &Change::DeleteDocument { name, expected }, applied.as_ref());
    response::reply(applied.map(|applied| version_response(applied.version)))
}

/// Returns the name to write to the audit log.
///
/// A failed call's name that matches no document becomes `unknown`, as it may be a key that was
/// put into the path by mistake.
fn loggable_name(call: &Call, name: &str, applied: bool) -> String {
    let documents = &call.admin.published.view().documents;
    let known = documents.keys().any(|service| service.as_str() == name);
    if applied || known { name.to_owned() } else { "unknown".to_owned() }
}

fn version_response(version: id::Revision) -> Response {
    response::with_etag(response::json(&json!({ "version": version })), version)
}

fn check(_: Call, body: Bytes) -> Response {
    let checked = change::check(&body);
    response::reply(checked.map(|checked| {
        let mut summary = summary(&checked.document);
        summary["unknown"] = json!(checked.unknown);
        response::json(&summary)
    }))
}

/// Returns the expected version from `If-Match`; without it 0, which means no object yet.
fn expected_version(headers: &HeaderMap) -> Result<id::Revision, Error> {
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
