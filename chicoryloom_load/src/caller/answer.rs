//! Paths of requests, and the check that an answer is whole and the request's own.

use chicoryloom_standin::content::Content;
use serde_json::Value;

use crate::arrival::Kind;

/// Path prefix of reads.
pub(crate) const READ_PATH: &str = "/read";
/// Path prefix of bookings.
pub(crate) const BOOK_PATH: &str = "/book";
/// Path prefix of downloads.
pub(crate) const DOWNLOAD_PATH: &str = "/bytes";
/// Path prefix of reads that take down each target that runs them.
pub(crate) const POISON_PATH: &str = "/poison";
/// Query field that carries a request's number.
const ID: &str = "id=";

/// Returns the path of a request below its service.
pub(super) fn path(kind: Kind, id: u64, length: u64) -> String {
    match kind {
        Kind::Read => format!("{READ_PATH}?{ID}{id}"),
        Kind::Book => format!("{BOOK_PATH}?{ID}{id}"),
        Kind::Download => format!("{DOWNLOAD_PATH}/{id}/{length}?{ID}{id}"),
        Kind::Poison => POISON_PATH.to_owned(),
    }
}

/// Reads a request's number from the path that a target saw.
pub(crate) fn identity(path: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(ID))?.parse().ok()
}

/// Tells whether a whole answer is the one that belongs to a request.
pub(super) fn is_genuine(
    kind: Kind,
    id: u64,
    length: u64,
    workspace: Option<&str>,
    body: &[u8],
) -> bool {
    match kind {
        Kind::Download => blake3::hash(body) == digest(id, length),
        Kind::Read | Kind::Book | Kind::Poison => {
            let echo: Value = serde_json::from_slice(body).unwrap_or_default();
            let own_path = echo["path"] == path(kind, id, length);
            own_path && workspace.is_none_or(|workspace| echo["workspace"] == workspace)
        }
    }
}

fn digest(seed: u64, length: u64) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new();
    for piece in Content::new(seed, length) {
        hasher.update(&piece);
    }
    hasher.finalize()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn answer_of_another_request_is_not_genuine() {
        let echo = br#"{"path":"/read?id=8"}"#;
        assert!(is_genuine(Kind::Read, 8, 0, None, echo));
        assert!(!is_genuine(Kind::Read, 9, 0, None, echo));
    }

    #[test]
    fn short_download_is_not_genuine() {
        let body: Vec<u8> = Content::new(5, 100).flatten().collect();
        assert!(is_genuine(Kind::Download, 5, 100, None, &body));
        assert!(!is_genuine(Kind::Download, 5, 100, None, &body[..99]));
    }

    #[test]
    fn identity_survives_the_path() {
        assert_eq!(identity(&path(Kind::Download, 41, 10)), Some(41));
        assert_eq!(identity(POISON_PATH), None);
    }
}
