//! Copies of the platform's objects, checked over generated histories.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use chicoryloom_policy::Moment;
use chicoryloom_policy::position::Era;
use chicoryloom_policy::position::Generation;
use chicoryloom_policy::position::Position;
use chicoryloom_policy::replica::Kind;
use chicoryloom_policy::replica::LAPSE_GRACE;
use chicoryloom_policy::replica::Record;
use chicoryloom_policy::replica::Replica;
use chicoryloom_policy::replica::Update;
use proptest::prelude::*;
use rstest::rstest;
use smol_str::SmolStr;

/// A platform with objects of one kind and the history of all their changes.
#[derive(Clone, Debug, Default)]
struct Platform {
    revision: u64,
    objects: BTreeMap<SmolStr, (u64, Bytes)>,
    history: Vec<Record>,
}

impl Platform {
    fn put(&mut self, name: &str) {
        self.revision += 1;
        let value = Bytes::from(self.revision.to_string());
        self.objects.insert(name.into(), (self.revision, value.clone()));
        self.log(name, Some(value));
    }

    fn delete(&mut self, name: &str) {
        if self.objects.remove(name).is_some() {
            self.revision += 1;
            self.log(name, None);
        }
    }

    fn log(&mut self, name: &str, value: Option<Bytes>) {
        let name = name.into();
        let (position, generation) = (self.position(self.revision), Generation::default());
        self.history.push(Record { kind: Kind::Target, name, position, generation, value });
    }

    /// Returns the position of a revision in the store's only era.
    fn position(&self, revision: u64) -> Position {
        Position::new(Era::default(), revision)
    }

    fn list(&self) -> Update {
        let record = |(name, (revision, value)): (&SmolStr, &(u64, Bytes))| Record {
            kind: Kind::Target,
            name: name.clone(),
            position: self.position(*revision),
            generation: Generation::default(),
            value: Some(value.clone()),
        };
        let records = self.objects.iter().map(record).collect();
        Update {
            kind: Kind::Target,
            records,
            kept: Vec::new(),
            lapsed: Vec::new(),
            whole: true,
            position: self.position(self.revision),
        }
    }

    /// Returns what has changed after a position. Like the users' platform, it does not tell when an
    /// object was deleted, so that deletions carry the position of the answer.
    fn watch(&self, after: Position) -> Update {
        let records = self.history.iter().filter(|record| record.position > after);
        let position = self.position(self.revision);
        let stamp = |record: &Record| match record.value {
            Some(_) => record.clone(),
            None => Record { position, ..record.clone() },
        };
        Update {
            kind: Kind::Target,
            records: records.map(stamp).collect(),
            kept: Vec::new(),
            lapsed: Vec::new(),
            whole: false,
            position: self.position(self.revision),
        }
    }
}

fn stored(replica: &Replica) -> BTreeMap<SmolStr, u64> {
    let records = replica.records(Kind::Target);
    records.map(|record| (record.name.clone(), record.position.revision)).collect()
}

fn listed(platform: &Platform) -> BTreeMap<SmolStr, u64> {
    platform.objects.iter().map(|(name, (revision, _))| (name.clone(), *revision)).collect()
}

#[derive(Clone, Debug)]
enum Step {
    Put(u8),
    Delete(u8),
    /// A host lists or watches the platform in its state some steps ago.
    Learn {
        host: usize,
        whole: bool,
        ago: usize,
    },
    /// A host watches the platform, and gets the answer later.
    Watch {
        host: usize,
    },
    /// The answer arrives.
    Receive {
        host: usize,
    },
    /// A host asks another one for its changes.
    Follow {
        host: usize,
        relay: usize,
    },
}

const HOSTS: usize = 3;

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    prop_oneof![
        3 => (0..6u8).prop_map(Step::Put),
        2 => (0..6u8).prop_map(Step::Delete),
        3 => (host.clone(), any::<bool>(), 0..4usize)
            .prop_map(|(host, whole, ago)| Step::Learn { host, whole, ago }),
        2 => host.clone().prop_map(|host| Step::Watch { host }),
        2 => host.clone().prop_map(|host| Step::Receive { host }),
        4 => (host.clone(), host).prop_map(|(host, relay)| Step::Follow { host, relay }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(10_000))]

    /// Whatever outdated or repeated updates a host gets, no object returns to an earlier revision,
    /// no deleted object returns, and all hosts agree once they have received the last change.
    #[test]
    fn copies_never_regress_and_converge(steps in prop::collection::vec(step(), 1..40)) {
        let now = Moment::from_millis(1);
        let mut platform = Platform::default();
        let mut past = vec![platform.clone()];
        let mut hosts = vec![Replica::default(); HOSTS];
        let mut answers: [Option<Update>; HOSTS] = Default::default();
        // Number of the latest change of each relay that each host has applied.
        let mut cursors = [[0u64; HOSTS]; HOSTS];
        for step in steps {
            let before: Vec<_> = hosts.iter().map(stored).collect();
            match step {
                Step::Put(name) => platform.put(&name.to_string()),
                Step::Delete(name) => platform.delete(&name.to_string()),
                Step::Learn { host, whole, ago } => {
                    let seen = &past[past.len().saturating_sub(1 + ago)];
                    let after = hosts[host].position(Kind::Target);
                    let update = if whole { seen.list() } else { seen.watch(after) };
                    hosts[host].apply(update, now);
                    // A relay's changes only apply to a copy that came from it alone.
                    cursors[host] = [0; HOSTS];
                }
                Step::Watch { host } => {
                    answers[host] = Some(platform.watch(hosts[host].position(Kind::Target)));
                }
                Step::Receive { host } => {
                    if let Some(answer) = answers[host].take() {
                        hosts[host].apply(answer, now);
                        cursors[host] = [0; HOSTS];
                    }
                }
                Step::Follow { host, relay } if host != relay => {
                    let after = cursors[host][relay];
                    cursors[host] = [0; HOSTS];
                    let updates = hosts[relay].updates_after(after, hosts[host].positions());
                    if updates.iter().all(|update| hosts[host].accepts_relayed(update)) {
                        cursors[host][relay] = hosts[relay].latest_change();
                    }
                    for update in updates {
                        hosts[host].apply_relayed(update, now);
                    }
                }
                Step::Follow { .. } => {}
            }
            past.push(platform.clone());
            for (host, before) in hosts.iter().zip(&before) {
                let after = stored(host);
                for (name, revision) in &after {
                    prop_assert!(before.get(name).is_none_or(|known| known <= revision));
                    let was_deleted = platform.history.iter().any(|record| {
                        record.name == *name
                            && record.value.is_none()
                            && record.position.revision > *revision
                            && record.position <= host.position(Kind::Target)
                    });
                    prop_assert!(!was_deleted, "{name} at {revision} was deleted");
                }
            }
        }
        let mut watching = hosts[0].clone();
        hosts[0].apply(platform.list(), now);
        for host in 1..HOSTS {
            let reached = hosts[host].positions();
            for update in hosts[0].updates_after(cursors[host][0], reached) {
                hosts[host].apply_relayed(update, now);
            }
        }
        for host in &hosts {
            prop_assert_eq!(stored(host), listed(&platform));
        }
        // A watch goes on from where the copy is, and repairs nothing before that.
        if !watching.position(Kind::Target).is_start() {
            watching.apply(platform.watch(watching.position(Kind::Target)), now);
            prop_assert_eq!(stored(&watching), listed(&platform));
        }
    }
}

/// A host copies another one's newer state while the answer to its watch is on the way.
#[test]
fn target_that_was_written_again_survives_a_late_answer() {
    let now = Moment::from_millis(1000);
    let mut platform = Platform::default();
    platform.put("a");
    let mut first = Replica::default();
    first.apply(platform.list(), now);
    let mut second = first.clone();
    platform.delete("a");
    platform.put("a");
    platform.put("b");
    let answer = first.position(Kind::Target);
    let answer = platform.watch(answer);
    second.apply(platform.list(), now);
    for update in second.updates_after(0, first.positions()) {
        first.apply_relayed(update, now);
    }
    first.apply(answer, now);
    assert_eq!(stored(&first), listed(&platform));
}

/// A host that copied lapsed entries turns to the platform, which does not list them yet.
#[rstest]
#[case::listing(true)]
#[case::watch(false)]
fn copied_lapsed_entries_are_kept_when_the_platform_is_asked(#[case] whole: bool) {
    let start = Moment::from_millis(1000);
    let mut platform = Platform::default();
    platform.put("a");
    platform.put("b");
    let mut first = Replica::default();
    first.apply(platform.list(), start);
    let mut second = first.clone();
    let known = second.position(Kind::Target);
    platform.delete("a");
    first.platform_returned(start);
    first.apply(platform.list(), start);
    for update in first.updates_after(0, second.positions()) {
        second.apply_relayed(update, start);
    }
    let update = if whole { platform.list() } else { platform.watch(known) };
    second.apply(update, start.after(Duration::from_millis(100)));
    assert_eq!(stored(&second).len(), 2);
    assert_eq!(second.expire(start.after(LAPSE_GRACE)).targets, ["a"]);
}

/// Lapsed entries that a watch reports as deleted are kept like those that a listing lacks.
#[test]
fn lapsed_entries_are_kept_if_a_watch_reports_them() {
    let start = Moment::from_millis(1000);
    let mut platform = Platform::default();
    platform.put("a");
    platform.put("b");
    let mut replica = Replica::default();
    replica.apply(platform.list(), start);
    let known = replica.position(Kind::Target);
    platform.delete("a");
    platform.delete("b");
    platform.put("b");
    replica.platform_returned(start);
    replica.apply(platform.watch(known), start);
    assert_eq!(stored(&replica).len(), 2);
    let expired = start.after(LAPSE_GRACE + Duration::from_millis(1));
    assert_eq!(replica.expire(expired).targets, ["a"]);
    assert_eq!(stored(&replica), listed(&platform));
}

/// A host that copies lapsed entries from a relay and then watches the platform itself drops them
/// in time as well.
#[test]
fn lapsed_entries_are_dropped_by_a_host_that_copied_them() {
    let start = Moment::from_millis(1000);
    let mut platform = Platform::default();
    platform.put("a");
    platform.put("b");
    let mut first = Replica::default();
    first.apply(platform.list(), start);
    let mut second = first.clone();
    platform.delete("a");
    first.platform_returned(start);
    first.apply(platform.list(), start);
    for update in first.updates_after(0, second.positions()) {
        second.apply_relayed(update, start);
    }
    assert_eq!(stored(&second).len(), 2);
    let later = start.after(Duration::from_millis(100));
    second.apply(platform.watch(second.position(Kind::Target)), later);
    let expired = later.after(LAPSE_GRACE);
    assert_eq!(second.expire(expired).targets, ["a"]);
    assert_eq!(stored(&second), listed(&platform));
}

/// Entries that lapse during an outage of the platform are kept for the grace period, and a host
/// that follows a relay drops them with it.
#[test]
fn lapsed_entries_are_kept_for_the_grace_and_then_dropped() {
    let start = Moment::from_millis(1000);
    let mut platform = Platform::default();
    platform.put("a");
    platform.put("b");
    let mut relay = Replica::default();
    relay.apply(platform.list(), start);
    let mut follower = Replica::default();
    for update in relay.updates_after(0, follower.positions()) {
        follower.apply_relayed(update, start);
    }
    let cursor = relay.latest_change();

    relay.platform_returned(start);
    platform.delete("a");
    platform.delete("b");
    assert!(relay.apply(platform.list(), start).is_empty());
    platform.put("b");
    relay.apply(platform.watch(relay.position(Kind::Target)), start);
    assert_eq!(stored(&relay).len(), 2);

    let expired = start.after(LAPSE_GRACE + Duration::from_millis(1));
    assert_eq!(relay.expire(expired).targets, ["a"]);
    for update in relay.updates_after(cursor, follower.positions()) {
        follower.apply_relayed(update, expired);
    }
    assert_eq!(stored(&follower), listed(&platform));
}

/// Without an outage of the platform, a host keeps nothing that is no longer listed, even if the
/// host itself was cut off.
#[test]
fn without_an_outage_missing_entries_are_deleted_at_once() {
    let now = Moment::from_millis(1000);
    let mut platform = Platform::default();
    platform.put("a");
    let mut replica = Replica::default();
    replica.apply(platform.list(), now);
    platform.delete("a");
    assert_eq!(replica.apply(platform.list(), now).targets, ["a"]);
    assert!(stored(&replica).is_empty());
}

#[test]
fn listing_shows_what_the_copy_lacks() {
    let now = Moment::from_millis(1000);
    let mut platform = Platform::default();
    platform.put("a");
    platform.put("b");
    let mut replica = Replica::default();
    let whole = Update { records: platform.list().records[1..].to_vec(), ..platform.list() };
    replica.apply(whole, now);
    platform.put("c");
    assert_eq!(replica.lacked_count(&platform.list()), 1);
    replica.apply(platform.list(), now);
    assert_eq!(replica.lacked_count(&platform.list()), 0);
}
