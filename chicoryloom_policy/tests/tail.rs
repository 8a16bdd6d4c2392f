//! Rests of responses, for any times at which targets send and callers read.

use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::tail::Tail;
use proptest::prelude::*;
use rstest::rstest;

const DEADLINE: Moment = Moment::from_millis(3_000);
/// Time after its deadline at which a request must have its final answer, unless its caller reads slowly.
const MAX_LATE: Duration = Duration::from_millis(500);
/// Bytes that are on their way between two hosts at most, by the default limits of Linux on both ends.
const IN_TRANSIT: u64 = (6 + 4) * 1024 * 1024;

/// A frame of a response.
#[derive(Clone, Copy, Debug)]
struct Frame {
    /// Time for which the caller held up the response before it.
    held_ms: u64,
    /// Time for which the target was awaited then.
    awaited_ms: u64,
    bytes: u64,
}

fn frame() -> impl Strategy<Value = Frame> {
    (0_u64..400, 0_u64..400, 0_u64..1_000_000).prop_map(|(held_ms, awaited_ms, bytes)| Frame {
        held_ms,
        awaited_ms,
        bytes,
    })
}

/// Passes frames on until one must not be; returns how long the target was awaited, and how many bytes
/// were passed on, after the deadline.
fn pass_on(tail: &mut Tail, frames: &[Frame]) -> (Duration, u64) {
    let mut now = Moment::from_millis(0);
    let (mut awaited, mut bytes) = (Duration::ZERO, 0);
    for frame in frames {
        now = now.after(Duration::from_millis(frame.held_ms));
        let begun = now;
        let until = tail.wait(now);
        let ready = now.after(Duration::from_millis(frame.awaited_ms));
        now = ready.min(until).max(now);
        awaited += now.since(begun.max(DEADLINE));
        tail.end_wait(now);
        if ready > until || !tail.admit(frame.bytes, now) {
            break;
        }
        if now >= DEADLINE {
            bytes += frame.bytes;
        }
    }
    (awaited, bytes)
}

proptest! {
    /// A response went on past its request's time-out, as its target sent without end or hung.
    #[test]
    fn response_that_is_overdue_ends(frames in prop::collection::vec(frame(), 1..200), has_length: bool) {
        let mut tail = Tail::new(DEADLINE, has_length);
        let (awaited, bytes) = pass_on(&mut tail, &frames);
        prop_assert!(awaited <= MAX_LATE);
        prop_assert!(has_length || bytes <= IN_TRANSIT);
    }

    /// A target counted as silent though its response was held up by a slow caller.
    #[test]
    fn target_that_is_always_ready_is_not_blamed(held in prop::collection::vec(0_u64..400, 1..100)) {
        let frames: Vec<_> =
            held.iter().map(|&held_ms| Frame { held_ms, awaited_ms: 0, bytes: 1_000 }).collect();
        let mut tail = Tail::new(DEADLINE, false);
        pass_on(&mut tail, &frames);
        prop_assert!(!tail.is_targets_fault());
    }
}

/// A response without a length was cut at the deadline though its target had sent all of it.
#[rstest]
#[case::length(true)]
#[case::no_length(false)]
fn response_that_is_ready_is_delivered_late(#[case] has_length: bool) {
    let mut tail = Tail::new(DEADLINE, has_length);
    let frame = Frame { held_ms: 100, awaited_ms: 2, bytes: 64 * 1024 };
    let frames = [frame; 100];
    let (_, bytes) = pass_on(&mut tail, &frames);
    assert_eq!(bytes, 71 * frame.bytes, "the frames from 3 s on");
    assert!(!tail.is_targets_fault());
}

#[rstest]
#[case::hangs(Frame { held_ms: 0, awaited_ms: 9_000, bytes: 0 })]
#[case::trickles(Frame { held_ms: 0, awaited_ms: 90, bytes: 1 })]
#[case::has_no_end(Frame { held_ms: 1, awaited_ms: 0, bytes: 64 * 1024 })]
fn target_that_sends_too_late_is_blamed(#[case] frame: Frame) {
    let mut tail = Tail::new(DEADLINE, false);
    pass_on(&mut tail, &vec![frame; 10_000]);
    assert!(tail.is_targets_fault());
}
