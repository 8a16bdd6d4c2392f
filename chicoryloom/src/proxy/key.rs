//! Reads callers' keys from requests and keeps them from reaching targets.
//!
//! A key is accepted in `authorization: Bearer KEY` only. Before a request is sent to a target,
//! copies of the key are removed from headers, query fields and cookies, and so are those whose
//! name is reserved for keys. Bodies are not searched.

use chicoryloom_policy::id;
use chicoryloom_wire::caller::Code;
use chicoryloom_wire::caller::Refusal;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header::AUTHORIZATION;
use http::header::COOKIE;

use super::path;
use crate::control::View;

/// Scheme of the authorization header.
const SCHEME: &str = "bearer ";
/// Shortest key, in bytes; shorter texts are not searched for outside the authorization header.
pub(crate) const MIN_KEY_LENGTH: usize = 16;
/// Longest key, in bytes.
pub(crate) const MAX_KEY_LENGTH: usize = 256;
/// Names of query fields and cookies that are never sent to a target.
const SECRET_NAMES: [&str; 4] = ["access_token", "api_key", "apikey", "chicory_key"];
/// Headers that are never sent to a target, since they carry keys by convention.
const SECRET_HEADERS: [&str; 3] = ["x-api-key", "x-access-token", "x-auth-token"];

/// Returns the key in the authorization header, or refuses a request with two such headers.
pub(super) fn from_headers(headers: &HeaderMap) -> Result<Option<&str>, Refusal> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let first = values.next();
    if values.next().is_some() {
        return Err(Refusal::not_run(Code::Malformed, "two authorization headers"));
    }
    Ok(first.and_then(from_bearer))
}

/// Returns the key within the value of an authorization header.
pub(super) fn from_bearer(value: &HeaderValue) -> Option<&str> {
    let (scheme, key) = value.to_str().ok()?.split_at_checked(SCHEME.len())?;
    scheme.eq_ignore_ascii_case(SCHEME).then(|| key.trim())
}

/// Removes keys from one request before it is sent to a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Redactor<'a> {
    /// The caller's own key.
    key: Option<&'a str>,
    view: &'a View,
}

impl<'a> Redactor<'a> {
    pub(super) fn new(key: Option<&'a str>, view: &'a View) -> Self {
        let key = key.filter(|key| key.len() >= MIN_KEY_LENGTH);
        Self { key, view }
    }

    /// Returns whether a text contains the caller's key, or any key known to this host.
    pub(super) fn finds_key(&self, text: &str) -> bool {
        self.finds_key_decoded(text)
            || text.contains('%') && self.finds_key_decoded(&path::percent_decode(text).text)
    }

    fn finds_key_decoded(&self, text: &str) -> bool {
        let own = self.key.is_some_and(|key| text.contains(key));
        own || text.split(is_separator).any(|word| self.is_known(word))
    }

    fn is_known(&self, word: &str) -> bool {
        let fits = (MIN_KEY_LENGTH..=MAX_KEY_LENGTH).contains(&word.len());
        fits && self.view.keys.contains_key(&id::Digest::of(word))
    }

    /// Returns a path and query without the query fields that hold a key.
    ///
    /// A request with a key in the path itself is refused, since it can't be removed there.
    pub(super) fn strip_path(&self, path: String) -> Result<String, Refusal> {
        let (bare, query) = match path.split_once('?') {
            Some((bare, query)) => (bare, Some(query)),
            None => (path.as_str(), None),
        };
        if self.finds_key(bare) {
            let detail = "the path holds a key; show it in the authorization header only";
            return Err(Refusal::not_run(Code::Key, detail));
        }
        let Some(query) = query else {
            return Ok(path);
        };
        let kept: Vec<_> = query.split('&').filter(|pair| !self.is_secret_pair(pair)).collect();
        if kept.is_empty() {
            return Ok(bare.to_owned());
        }
        Ok(format!("{bare}?{}", kept.join("&")))
    }

    fn is_secret_pair(&self, pair: &str) -> bool {
        let name = pair.split('=').next().unwrap_or_default().trim();
        let name = path::percent_decode(name).text.to_ascii_lowercase();
        SECRET_NAMES.contains(&name.as_str()) || self.finds_key(pair)
    }

    /// Removes headers and cookies that hold a key, except for the authorization header.
    pub(super) fn strip_headers(&self, headers: &mut HeaderMap) {
        for name in SECRET_HEADERS {
            headers.remove(name);
        }
        self.strip_cookies(headers);
        let holds = |value: &HeaderValue| {
            let text = String::from_utf8_lossy(value.as_bytes());
            self.finds_key(&text)
        };
        let names: Vec<HeaderName> = headers
            .iter()
            .filter(|(name, value)| **name != AUTHORIZATION && holds(value))
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            headers.remove(name);
        }
    }

    fn strip_cookies(&self, headers: &mut HeaderMap) {
        let cookies: Vec<_> = headers.get_all(COOKIE).iter().cloned().collect();
        if cookies.is_empty() {
            return;
        }
        headers.remove(COOKIE);
        for value in cookies {
            // A cookie header that isn't ASCII text can't be searched pair by pair and is dropped.
            let Ok(text) = value.to_str() else { continue };
            let pairs = text.split(';').map(str::trim);
            let kept: Vec<_> = pairs.filter(|pair| !self.is_secret_pair(pair)).collect();
            if let Ok(value) = HeaderValue::from_str(&kept.join("; "))
                && !kept.is_empty()
            {
                headers.append(COOKIE, value);
            }
        }
    }
}

/// Returns whether a character separates words in a header, cookie, query or path.
fn is_separator(character: char) -> bool {
    !character.is_ascii_alphanumeric() && !matches!(character, '-' | '_' | '.' | '~' | '+')
}

/// Returns whether a text may be granted as a key: one word of an allowed length.
pub(crate) fn is_grantable(key: &str) -> bool {
    (MIN_KEY_LENGTH..=MAX_KEY_LENGTH).contains(&key.len()) && !key.contains(is_separator)
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    const KEY: &str = "0123456789abcdef";

    fn redactor(view: &View) -> Redactor<'_> {
        Redactor::new(Some(KEY), view)
    }

    #[rstest]
    #[case("/a?x=1&access_token=foreign&y=2", "/a?x=1&y=2")]
    #[case("/a?x=0123456789abcdef", "/a")]
    #[case("/a?x=%30123456789abcdef&y", "/a?y")]
    #[case("/a?Api_Key=1", "/a")]
    #[case("/a?x=0123456789", "/a?x=0123456789")]
    fn query_fields_with_keys_are_removed(#[case] path: &str, #[case] expected: &str) {
        let stripped = redactor(&View::default()).strip_path(path.to_owned()).unwrap();
        assert_eq!(stripped, expected);
    }

    #[test]
    fn key_in_the_path_is_refused() {
        let refused = redactor(&View::default()).strip_path(format!("/a/{KEY}"));
        assert_eq!(refused.unwrap_err().code, Code::Key);
    }

    #[test]
    fn headers_and_cookies_with_keys_are_removed() {
        let mut headers = HeaderMap::new();
        headers.append(COOKIE, HeaderValue::from_static("a=1; k=0123456789abcdef; b=2"));
        headers.append(COOKIE, HeaderValue::from_static("chicory_key=z"));
        headers.append("referer", HeaderValue::from_static("http://h/?k=0123456789abcdef"));
        headers.append("x-api-key", HeaderValue::from_static("z"));
        headers.append("accept", HeaderValue::from_static("text/html"));
        redactor(&View::default()).strip_headers(&mut headers);
        let mut left: Vec<_> = headers.iter().map(|(n, v)| (n.as_str(), v.as_bytes())).collect();
        left.sort_unstable();
        assert_eq!(left, [("accept", &b"text/html"[..]), ("cookie", &b"a=1; b=2"[..])]);
    }

    #[test]
    fn key_of_another_caller_is_removed() {
        let mut view = View::default();
        let workspace = "prairie".parse().unwrap();
        let key = chicoryloom_wire::key::Key { workspace, withdrawn: true };
        let keys = std::sync::Arc::make_mut(&mut view.keys);
        keys.insert(id::Digest::of("fedcba9876543210"), key);
        let mut headers = HeaderMap::new();
        headers.append("x-note", HeaderValue::from_static("token=\"fedcba9876543210\""));
        Redactor::new(None, &view).strip_headers(&mut headers);
        assert!(headers.is_empty());
    }

    #[test]
    fn two_authorization_headers_are_refused() {
        let mut headers = HeaderMap::new();
        headers.append(AUTHORIZATION, HeaderValue::from_static("Bearer a"));
        headers.append(AUTHORIZATION, HeaderValue::from_static("Bearer b"));
        assert_eq!(from_headers(&headers).unwrap_err().code, Code::Malformed);
    }
}
