//! Key endpoints of the administration API. A key is returned only once, when it is granted.

use std::sync::Arc;

use chicoryloom_policy::id;
use serde::Deserialize;
use serde_json::json;
use warp::Filter;
use warp::filters::BoxedFilter;
use warp::reply::Response;

use super::Admin;
use super::Route;
use super::access;
use super::access::Call;
use super::audit;
use super::audit::Applied;
use super::audit::Change;
use super::change;
use super::response;

/// Maximum body size of a request to grant a key, in bytes.
const MAX_BODY_BYTES: u64 = 4096;

/// Filter of the listed keys.
#[derive(Clone, Debug, Default, Deserialize)]
struct Query {
    /// Workspace of the keys; all workspaces if absent.
    workspace: Option<String>,
}

/// Returns the key routes.
pub(super) fn routes(admin: &BoxedFilter<(Arc<Admin>,)>) -> Route {
    let path = warp::path!("v1" / "keys");
    let call = access::authenticate(admin);
    let body = warp::body::content_length_limit(MAX_BODY_BYTES).and(warp::body::json());
    let list = path.and(warp::get()).and(call.clone()).and(warp::query()).map(list);
    let grant = path.and(warp::post()).and(call.clone()).and(body).then(grant);
    let withdraw = warp::path!("v1" / "keys" / String).and(warp::delete()).and(call).then(withdraw);
    list.or(grant).unify().or(withdraw).unify().boxed()
}

/// Lists digests and workspaces of the keys that this host knows.
fn list(call: Call, query: Query) -> Response {
    let view = call.admin.published.view();
    let matches = |workspace: &id::Workspace| {
        query.workspace.as_ref().is_none_or(|wanted| wanted == workspace.as_str())
    };
    let mut keys: Vec<_> = view.keys.iter().filter(|(_, key)| matches(&key.workspace)).collect();
    keys.sort_by(|a, b| (&a.1.workspace, a.0).cmp(&(&b.1.workspace, b.0)));
    let key = |(digest, key): (&id::Digest, &chicoryloom_wire::key::Key)| {
        json!({
            "digest": digest.to_string(),
            "workspace": key.workspace,
            "withdrawn": key.withdrawn,
        })
    };
    let keys: Vec<_> = keys.into_iter().map(key).collect();
    response::json(&json!({ "revision": view.revision, "keys": keys }))
}

async fn grant(call: Call, grant: change::Grant) -> Response {
    let workspace = grant.workspace.clone();
    let granted = change::grant_key(&call.admin, grant).await;
    let applied =
        granted.as_ref().map(|granted| Applied { version: granted.version, workspace: None });
    audit::write(&call.operator, &Change::GrantKey { workspace }, applied.as_ref().map_err(|e| *e));
    response::reply(granted.map(|granted| response::json(&granted)))
}

async fn withdraw(digest: String, call: Call) -> Response {
    let applied = change::withdraw_key(&call.admin, &digest).await;
    audit::write(&call.operator, &Change::WithdrawKey, applied.as_ref());
    response::reply(applied.map(|applied| {
        response::json(&json!({ "version": applied.version, "workspace": applied.workspace }))
    }))
}
