//! The frame decoder against random and mutated bytes.

use chicoryloom_policy::id;
use chicoryloom_wire::frame;
use chicoryloom_wire::frame::Body;
use chicoryloom_wire::frame::Frame;
use chicoryloom_wire::frame::Secret;
use chicoryloom_wire::generated::frame as raw;
use proptest::prelude::*;
use proptest::test_runner::Config;

/// Cases of each property; three properties make up some 100,000 frames.
const CASES: u32 = 33_400;

fn config() -> Config {
    Config { cases: CASES, failure_persistence: None, ..Config::default() }
}

fn frame() -> impl Strategy<Value = Frame> {
    let heartbeat = (any::<[u64; 4]>(), any::<[bool; 3]>()).prop_map(|(numbers, flags)| {
        Body::Heartbeat(raw::Heartbeat {
            caller: String::new(),
            challenge: numbers[0],
            echo: numbers[1],
            revision: numbers[2],
            status: numbers[2],
            vouched: numbers[3],
            confirmed: flags[0],
            leaving: flags[1],
            serving: flags[2],
        })
    });
    let pull = any::<[u64; 2]>().prop_map(|[nonce, since]| Body::Pull(raw::Pull { nonce, since }));
    let body = prop_oneof![heartbeat, pull];
    (body, any::<u64>(), any::<u64>()).prop_map(|(body, incarnation, sequence)| Frame {
        sender: "host-1".parse().unwrap(),
        incarnation: id::Incarnation(incarnation),
        sequence,
        body,
    })
}

proptest! {
    #![proptest_config(config())]

    /// Random bytes are never taken for a frame.
    #[test]
    fn random_bytes_are_refused(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let secret = Secret::derive("s");
        prop_assert!(frame::decode(&bytes, &secret).is_err());
        prop_assert!(frame::decode_stream(&bytes, &secret).is_err());
    }

    /// A genuine frame with changed, missing or added bytes is refused.
    #[test]
    fn mutated_frames_are_refused(
        frame in frame(),
        at in any::<prop::sample::Index>(),
        change in 1u8..,
        kind in 0..3,
    ) {
        let secret = Secret::derive("s");
        let mut bytes = frame::encode(&frame, &secret).unwrap();
        prop_assert_eq!(frame::decode(&bytes, &secret), Ok(frame.clone()));
        match kind {
            0 => bytes[at.index(frame::encode(&frame, &secret).unwrap().len())] ^= change,
            1 => bytes.truncate(at.index(bytes.len())),
            _ => bytes.insert(at.index(bytes.len()), change),
        }
        let decoded = frame::decode(&bytes, &secret);
        prop_assert!(decoded.is_err(), "{:?}", decoded);
    }

    /// Garbage under a genuine MAC, as from a host of another version, harms nothing either.
    #[test]
    fn signed_garbage_does_no_harm(frame in frame(), garbage in any::<[u8; 8]>(), at in any::<prop::sample::Index>()) {
        let secret = Secret::derive("s");
        let bytes = frame::encode(&frame, &secret).unwrap();
        let mut body = bytes[1..bytes.len() - 16].to_vec();
        let start = at.index(body.len());
        let end = (start + garbage.len()).min(body.len());
        body[start..end].copy_from_slice(&garbage[..end - start]);
        // A body that still makes sense may be read; nothing may panic.
        if let Ok((raw, _)) = postcard::take_from_bytes::<raw::Frame>(&body) {
            let _ = Frame::try_from(raw);
        }
    }
}
