//! Validates and decodes request paths.
//!
//! Routes are matched on the decoded path. A path that a target might interpret differently is
//! refused, since it could use an open route to reach one that requires a key.

use std::borrow::Cow;

use chicoryloom_wire::caller::Code;
use chicoryloom_wire::caller::Refusal;

/// Decodes a path for matching it with routes, or refuses an ambiguous one.
pub(super) fn decode(path: &str) -> Result<Cow<'_, str>, Refusal> {
    let Decoded { text: decoded, valid } = percent_decode(path);
    if !valid {
        return Err(malformed("a percent sign without two hexadecimal digits"));
    }
    if slashes(path) != slashes(&decoded) {
        return Err(malformed("a percent-encoded slash"));
    }
    if decoded.contains('\\') {
        return Err(malformed("a backslash"));
    }
    if decoded.chars().any(char::is_control) {
        return Err(malformed("a control character"));
    }
    if decoded.contains("//") {
        return Err(malformed("an empty segment"));
    }
    if decoded.split('/').any(is_dots) {
        return Err(malformed("a dot segment"));
    }
    Ok(decoded)
}

fn malformed(what: &str) -> Refusal {
    Refusal::not_run(Code::Malformed, format!("the path holds {what}"))
}

fn slashes(text: &str) -> usize {
    text.bytes().filter(|byte| *byte == b'/').count()
}

/// Returns whether a target might treat a segment as `.` or `..`, ignoring its parameters.
fn is_dots(segment: &str) -> bool {
    let bare = segment.split(';').next().unwrap_or_default();
    matches!(bare, "." | "..")
}

/// The result of percent-decoding a text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Decoded<'a> {
    /// The decoded text; invalid UTF-8 is replaced by replacement characters.
    pub(super) text: Cow<'a, str>,
    /// Whether two hexadecimal digits follow each percent sign; other percent signs are kept.
    pub(super) valid: bool,
}

/// Decodes percent-encoded bytes.
pub(super) fn percent_decode(text: &str) -> Decoded<'_> {
    if !text.contains('%') {
        return Decoded { text: Cow::Borrowed(text), valid: true };
    }
    let mut valid = true;
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        rest = tail;
        let encoded = if *first == b'%' { encoded_byte(tail) } else { None };
        valid &= *first != b'%' || encoded.is_some();
        bytes.push(encoded.unwrap_or(*first));
        if encoded.is_some() {
            rest = &tail[2..];
        }
    }
    Decoded { text: String::from_utf8_lossy(&bytes).into_owned().into(), valid }
}

fn encoded_byte(digits: &[u8]) -> Option<u8> {
    let digits = digits.get(..2)?;
    Some(hex(digits[0])? << 4 | hex(digits[1])?)
}

fn hex(digit: u8) -> Option<u8> {
    char::from(digit).to_digit(16).and_then(|value| u8::try_from(value).ok())
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[rstest]
    #[case("/seats/1", "/seats/1")]
    #[case("/%73eats", "/seats")]
    #[case("/a%20b", "/a b")]
    #[case("/.well-known/x", "/.well-known/x")]
    fn safe_paths_are_decoded(#[case] path: &str, #[case] decoded: &str) {
        assert_eq!(decode(path).unwrap(), decoded);
    }

    #[rstest]
    #[case("/open/../seats")]
    #[case("/open/%2e%2E/seats")]
    #[case("/open/.%2e;x=1/seats")]
    #[case("/open/./seats")]
    #[case("//seats")]
    #[case("/open%2fseats")]
    #[case("/open%5cseats")]
    #[case("/open\\seats")]
    #[case("/seats%00")]
    #[case("/seats%0d%0a")]
    #[case("/seats%")]
    #[case("/seats%zz")]
    fn ambiguous_paths_are_refused(#[case] path: &str) {
        assert_eq!(decode(path).unwrap_err().code, Code::Malformed);
    }
}
