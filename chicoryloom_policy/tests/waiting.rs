//! Requests that are queued again with another rank.

use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::unit::Priority;
use chicoryloom_policy::waiting::Queue;
use chicoryloom_policy::waiting::Rank;

fn rank(priority: u64) -> Rank {
    Rank { priority: Priority(priority), route: Priority(1) }
}

/// Guards against requests that have waited and are rejected as they move, since the queue has stalled for a
/// moment and all of them move at once.
#[test]
fn request_that_is_queued_again_is_not_rejected() {
    let (start, latest) = (Moment::ZERO, Moment::from_millis(5_000));
    let mut queue = Queue::default();
    let tickets: Vec<_> = (0..20).map(|_| queue.enqueue(rank(1), latest, start).unwrap()).collect();
    let now = start.after(Duration::from_millis(400));
    assert!(queue.enqueue(rank(2), latest, now).is_err(), "a new request would come too late");
    for ticket in tickets {
        assert!(queue.remove(ticket));
        queue.requeue(ticket, rank(2), latest, now);
    }
    assert_eq!(queue.len(), 20);
}

#[test]
fn requests_keep_their_order_by_arrival() {
    let (now, latest) = (Moment::ZERO, Moment::from_millis(5_000));
    let mut queue = Queue::default();
    let mut tickets: Vec<_> =
        (0..4).map(|_| queue.enqueue(rank(3), latest, now).unwrap()).collect();
    let last = queue.enqueue(rank(2), latest, now).unwrap();
    tickets.reverse();
    let mut moved = Vec::new();
    for ticket in tickets {
        assert!(queue.remove(ticket));
        moved.insert(0, queue.requeue(ticket, rank(2), latest, now));
    }
    moved.push(last);
    assert_eq!(queue.tickets().collect::<Vec<_>>(), moved);
}
