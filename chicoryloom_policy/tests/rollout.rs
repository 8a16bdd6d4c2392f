//! Histories of configurations that reach hosts late.

use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::catalog::Version;
use chicoryloom_policy::rollout::MAX_LAG;
use chicoryloom_policy::rollout::Origin;
use chicoryloom_policy::rollout::Rollout;
use proptest::prelude::*;

/// Time within which a change must be in force, from its acknowledgement.
const LIMIT: Duration = Duration::from_secs(2);
/// Longest time from the acknowledgement of a change to its arrival at the first host.
const MAX_FIRST: u64 = 400;
/// Interval at which a holder announces its version, and the longest time that it takes to arrive.
const ANNOUNCE_INTERVAL: u64 = 100;
const MAX_TRANSIT: u64 = 150;
/// Step of the simulation, in milliseconds.
const STEP: u64 = 10;

/// A change of the configuration, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Change {
    /// Time since the acknowledgement of the change before it.
    after: u64,
    /// Time from its acknowledgement until the first host holds it.
    first: u64,
    /// Time from then until the slow host holds it, if it ever does.
    slow: Option<u64>,
}

fn change() -> impl Strategy<Value = Change> {
    (30u64..4000, 0..MAX_FIRST, prop::option::weighted(0.8, 0u64..6000))
        .prop_map(|(after, first, slow)| Change { after, first, slow })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// However long a transfer takes, and however announcements are delayed and lost, no request is
    /// handled by a version older than one acknowledged two seconds before; and a host that holds the latest
    /// version takes requests.
    #[test]
    fn host_that_lacks_an_acknowledged_version_takes_no_requests(
        changes in prop::collection::vec(change(), 1..6),
        transit in prop::collection::vec(0..MAX_TRANSIT, 1..8),
        lost in prop::collection::vec(any::<bool>(), 1..7),
    ) {
        let mut acknowledged = Vec::new();
        let mut at = 1000;
        for change in &changes {
            at += change.after;
            acknowledged.push(at);
        }
        let mut rollout = Rollout::default();
        rollout.hold(Version(1), Origin::Host, Moment::from_millis(500));
        let mut on_the_way: Vec<(u64, Version, u64)> = Vec::new();
        for step in 0..(at + 6000) / STEP {
            let now = step * STEP;
            let instant = Moment::from_millis(now);
            for (index, change) in changes.iter().enumerate() {
                let version = Version(index as u64 + 2);
                let first = acknowledged[index] + change.first;
                if now < first {
                    continue;
                }
                if change.slow.is_some_and(|slow| now >= first + slow) {
                    rollout.hold(version, Origin::Host, instant);
                }
                if (now - first) % ANNOUNCE_INTERVAL < STEP {
                    let sent = ((now - first) / ANNOUNCE_INTERVAL) as usize;
                    // Two losses in a row at most.
                    let is_lost = lost[sent % lost.len()] && sent % 3 != 2;
                    if !is_lost {
                        on_the_way.push((now + transit[sent % transit.len()], version, now - first));
                    }
                }
            }
            on_the_way.retain(|(arrives, version, held_for)| {
                if now >= *arrives {
                    rollout.announce(*version, Duration::from_millis(*held_for), instant);
                }
                now < *arrives
            });
            let held = rollout.held().unwrap().0;
            let due = acknowledged.iter().filter(|at| now >= **at + LIMIT.as_millis() as u64).count();
            let latest = Version(due as u64 + 1);
            prop_assert!(
                held >= latest || rollout.is_behind(instant),
                "at {now} ms by {held}, {latest} was acknowledged before: {acknowledged:?}"
            );
            let is_latest = held.0 == 1 + acknowledged.iter().filter(|at| now >= **at).count() as u64;
            prop_assert!(!is_latest || !rollout.is_behind(instant));
        }
    }
}

/// Announcements of a host that was lost must not keep all others from serving for good.
#[test]
fn version_that_nobody_announces_any_more_is_forgotten() {
    let mut rollout = Rollout::default();
    let start = Moment::from_millis(1000);
    rollout.hold(Version(3), Origin::Host, start);
    assert!(rollout.announce(Version(5), Duration::ZERO, start));
    assert!(!rollout.announce(Version(5), Duration::ZERO, start));
    assert_eq!(rollout.missing(start), Some(Version(5)));
    assert!(!rollout.is_behind(start));
    let late = start.after(MAX_LAG);
    assert!(rollout.is_behind(late));
    let much_later = start.after(Duration::from_secs(15));
    assert!(!rollout.is_behind(much_later));
    assert_eq!(rollout.missing(much_later), None);
}

/// A host that starts is told for how long the others have had a version.
#[test]
fn time_counts_from_the_first_host_that_got_the_version() {
    let mut rollout = Rollout::default();
    let start = Moment::from_millis(5000);
    rollout.hold(Version(3), Origin::Host, start);
    rollout.announce(Version(4), Duration::from_millis(100), start);
    rollout.announce(Version(4), Duration::from_secs(2), start);
    assert!(rollout.is_behind(start));
    rollout.hold(Version(4), Origin::Host, start);
    assert!(!rollout.is_behind(start));
    rollout.hold(Version(3), Origin::Host, start);
    assert_eq!(rollout.held(), Some((Version(4), start)));
}

/// Many hosts begin to watch at once when a data centre loses its watchers.
#[test]
fn fleet_is_told_at_once_only_of_versions_that_came_from_the_platform() {
    let mut rollout = Rollout::default();
    let now = Moment::from_millis(1000);
    assert!(!rollout.take_news());
    rollout.hold(Version(3), Origin::Host, now);
    assert!(!rollout.take_news());
    rollout.hold(Version(3), Origin::Platform, now);
    assert!(!rollout.take_news());
    rollout.hold(Version(4), Origin::Platform, now);
    assert!(rollout.take_news());
    assert!(!rollout.take_news());
}
