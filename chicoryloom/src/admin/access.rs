//! Authentication of operators.

use std::sync::Arc;

use http::HeaderMap;
use http::header::AUTHORIZATION;
use smol_str::SmolStr;
use warp::Filter;
use warp::filters::BoxedFilter;

use super::Admin;

/// Scheme of the `Authorization` header, compared without regard to case.
const SCHEME: &str = "bearer ";

/// An authenticated call of an operator.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) operator: SmolStr,
    pub(super) admin: Arc<Admin>,
}

/// Rejection of a call that carries no valid operator token.
#[derive(Debug)]
pub(super) struct Unauthorized;

impl warp::reject::Reject for Unauthorized {}

/// Accepts calls whose bearer token belongs to an operator; rejects others as [`Unauthorized`].
pub(super) fn authenticate(admin: &BoxedFilter<(Arc<Admin>,)>) -> BoxedFilter<(Call,)> {
    warp::header::headers_cloned()
        .and(admin.clone())
        .and_then(async |headers: HeaderMap, admin: Arc<Admin>| {
            let operator = token(&headers).and_then(|token| admin.settings.operator(token));
            let Some(operator) = operator.map(|operator| operator.name.clone()) else {
                return Err(warp::reject::custom(Unauthorized));
            };
            Ok(Call { operator, admin })
        })
        .boxed()
}

fn token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_at_checked(SCHEME.len())?;
    scheme.eq_ignore_ascii_case(SCHEME).then(|| token.trim())
}
