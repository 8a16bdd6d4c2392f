//! Bodies that arrive in other pieces each time.

use chicoryloom_policy::holdback::Fingerprint;
use futures::stream;
use http_body_util::StreamBody;
use rstest::rstest;

use super::*;

/// Returns a body that arrives in pieces of the given length, the first of which is shorter.
fn body(bytes: &[u8], first: usize, piece: usize) -> Body {
    let (first, rest) = bytes.split_at(first.min(bytes.len()));
    let pieces: Vec<_> =
        [first].into_iter().chain(rest.chunks(piece)).map(<[u8]>::to_vec).collect();
    let frames = pieces.into_iter().map(|piece| Ok(Frame::data(Bytes::from(piece))));
    StreamBody::new(stream::iter(frames)).boxed_unsync()
}

async fn fingerprint(body: Body) -> Fingerprint {
    let payload = Payload::read(body).await.unwrap();
    Fingerprint::of("prairie", "POST", "/frames/x", payload.start())
}

/// Guards against an upload that is another request each time that it comes, as its bytes arrive in other
/// pieces, in chunks or behind a longer head.
#[rstest]
#[tokio::test]
async fn body_has_one_fingerprint_however_it_arrives(
    #[values(0, 300, MAX_BUFFERED_BYTES - 1, MAX_BUFFERED_BYTES, MAX_BUFFERED_BYTES + 1, 150_000)]
    length: usize,
    #[values(1, 1_399, 8_192, 65_536, 100_000)] first: usize,
    #[values(701, 14_000, 65_537)] piece: usize,
) {
    let bytes: Vec<u8> = (0..length).map(|at| (at * 31 + at / 251) as u8).collect();
    let whole = fingerprint(sized_body(Bytes::from(bytes.clone()))).await;
    assert_eq!(fingerprint(body(&bytes, first, piece)).await, whole);
}

/// The whole body is passed on, whatever part of it is fingerprinted.
#[tokio::test]
async fn bytes_beyond_the_fingerprint_are_passed_on() {
    let bytes: Vec<u8> = (0..200_000).map(|at| (at % 251) as u8).collect();
    let payload = Payload::read(body(&bytes, 60_000, 90_000)).await.unwrap();
    assert!(!payload.is_replayable());
    let passed = payload.body().unwrap().collect().await.unwrap().to_bytes();
    assert!(passed == bytes, "the body was changed");
}
