//! HTTP side of the administration API.

use std::sync::Arc;

use bytes::Bytes;
use chicoryloom_policy::id;
use http::HeaderMap;
use http::StatusCode;
use http::header::AUTHORIZATION;
use http::header::ETAG;
use http::header::IF_MATCH;
use serde_json::json;
use warp::Filter;
use warp::Reply;
use warp::filters::BoxedFilter;
use warp::reply::Response;

use super::Admin;
use super::change;
use super::change::Error;
use crate::control::Report;

/// Largest document, in bytes.
const MAX_DOCUMENT: u64 = 1024 * 1024;
/// Largest key request, in bytes.
const MAX_KEY: u64 = 4096;

/// Returns the routes of the administration API.
pub(super) fn routes(admin: Arc<Admin>) -> BoxedFilter<(impl Reply,)> {
    let admin = warp::any().map(move || admin.clone()).boxed();
    documents(&admin)
        .or(keys(&admin))
        .unify()
        .or(status(&admin))
        .unify()
        .or(metrics(&admin))
        .unify()
        .boxed()
}

type Shared = BoxedFilter<(Arc<Admin>,)>;

fn documents(admin: &Shared) -> BoxedFilter<(Response,)> {
    let path = warp::path!("v1" / "documents" / String);
    let headers = warp::header::headers_cloned();
    let get = path.and(warp::get()).and(headers).and(admin.clone()).then(
        |name: String, headers: HeaderMap, admin: Arc<Admin>| async move {
            guarded(&admin, &headers, get_document(&admin, &name)).await
        },
    );
    let put = path
        .and(warp::put())
        .and(headers)
        .and(warp::body::content_length_limit(MAX_DOCUMENT))
        .and(warp::body::bytes())
        .and(admin.clone())
        .then(|name: String, headers: HeaderMap, body: Bytes, admin: Arc<Admin>| async move {
            guarded(&admin, &headers, put_document(&admin, &name, &headers, &body)).await
        });
    get.or(put).unify().boxed()
}

fn keys(admin: &Shared) -> BoxedFilter<(Response,)> {
    let headers = warp::header::headers_cloned();
    let body = warp::body::content_length_limit(MAX_KEY).and(warp::body::json::<change::Grant>());
    let grant = warp::path!("v1" / "keys")
        .and(warp::post())
        .and(headers)
        .and(body)
        .and(admin.clone())
        .then(|headers: HeaderMap, grant: change::Grant, admin: Arc<Admin>| async move {
            guarded(&admin, &headers, grant_key(&admin, grant)).await
        });
    let withdraw = warp::path!("v1" / "keys" / String)
        .and(warp::delete())
        .and(headers)
        .and(admin.clone())
        .then(|digest: String, headers: HeaderMap, admin: Arc<Admin>| async move {
            guarded(&admin, &headers, withdraw_key(&admin, &digest)).await
        });
    grant.or(withdraw).unify().boxed()
}

fn status(admin: &Shared) -> BoxedFilter<(Response,)> {
    warp::path!("v1" / "status")
        .and(warp::get())
        .and(warp::header::headers_cloned())
        .and(admin.clone())
        .then(|headers: HeaderMap, admin: Arc<Admin>| async move {
            guarded(&admin, &headers, async { Ok(show_status(&admin)) }).await
        })
        .boxed()
}

fn metrics(admin: &Shared) -> BoxedFilter<(Response,)> {
    warp::path!("metrics")
        .and(warp::get())
        .and(admin.clone())
        .map(|admin: Arc<Admin>| admin.metrics.page().into_response())
        .boxed()
}

/// Runs a call if its headers show an operator token.
async fn guarded<F>(admin: &Admin, headers: &HeaderMap, call: F) -> Response
where
    F: Future<Output = Result<Response, Error>>,
{
    if !is_operator(admin, headers) {
        return problem(StatusCode::UNAUTHORIZED, "an operator token is needed");
    }
    call.await.unwrap_or_else(|error| refuse(&error))
}

fn is_operator(admin: &Admin, headers: &HeaderMap) -> bool {
    let value = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let Some(token) = value.and_then(|value| value.strip_prefix("Bearer ")) else {
        return false;
    };
    // Comparing hashes takes constant time; comparing texts would not.
    let shown = blake3::hash(token.as_bytes());
    admin.settings.tokens.iter().any(|token| blake3::hash(token.as_bytes()) == shown)
}

async fn get_document(admin: &Admin, name: &str) -> Result<Response, Error> {
    let object = change::document(admin, name).await?;
    let mut response = object.value.into_response();
    response.headers_mut().insert(ETAG, etag(object.version));
    Ok(response)
}

async fn put_document(
    admin: &Admin,
    name: &str,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<Response, Error> {
    let expected = expected(headers)?;
    let version = change::put_document(admin, name, expected, body).await?;
    let mut response = warp::reply::json(&json!({ "version": version })).into_response();
    response.headers_mut().insert(ETAG, etag(version));
    Ok(response)
}

async fn grant_key(admin: &Admin, grant: change::Grant) -> Result<Response, Error> {
    let granted = change::grant_key(admin, grant).await?;
    Ok(warp::reply::json(&granted).into_response())
}

async fn withdraw_key(admin: &Admin, digest: &str) -> Result<Response, Error> {
    let version = change::withdraw_key(admin, digest).await?;
    Ok(warp::reply::json(&json!({ "version": version })).into_response())
}

fn show_status(admin: &Admin) -> Response {
    let view = admin.published.view();
    let now = admin.clock.now();
    let state = Report::new(&view, &admin.published.standing(), &admin.name, now);
    let documents: Vec<_> = view.documents.keys().map(id::Service::as_str).collect();
    warp::reply::json(&json!({
        "revision": view.revision,
        "fresh": admin.published.is_fresh(admin.clock.now()),
        "documents": documents,
        "keys": view.keys.len(),
        "hosts": view.hosts.len(),
        "state": state,
    }))
    .into_response()
}

fn etag(version: id::Revision) -> http::HeaderValue {
    http::HeaderValue::from_str(&format!("\"{version}\"")).expect("a number is a valid header")
}

/// Reads the version that an update expects; none means a new object.
fn expected(headers: &HeaderMap) -> Result<id::Revision, Error> {
    let Some(value) = headers.get(IF_MATCH) else {
        return Ok(id::Revision::default());
    };
    let text = value.to_str().unwrap_or_default().trim_matches('"');
    text.parse().map_err(|_| Error::Invalid("if-match: not a version".to_owned()))
}

fn refuse(error: &Error) -> Response {
    let status = match error {
        Error::Invalid(_) => StatusCode::UNPROCESSABLE_ENTITY,
        Error::Unknown => StatusCode::NOT_FOUND,
        Error::Conflict { .. } => StatusCode::CONFLICT,
        Error::Store(_) => StatusCode::SERVICE_UNAVAILABLE,
    };
    problem(status, &error.to_string())
}

fn problem(status: StatusCode, detail: &str) -> Response {
    let body = warp::reply::json(&json!({ "status": status.as_u16(), "detail": detail }));
    warp::reply::with_status(body, status).into_response()
}
