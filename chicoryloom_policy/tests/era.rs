//! Copies of a store that is restored from a copy of its own, checked over generated histories.
//!
//! Hosts learn of a restoration at different times, from late answers and from each other.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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

const HOSTS: usize = 3;
const TARGETS: u8 = 4;
const CONFIG: &str = "main";

type Objects = BTreeMap<(Kind, SmolStr), Record>;

/// A store, its history in the present era, and the processes that write to it.
#[derive(Clone, Debug, Default)]
struct Store {
    era: u64,
    revision: u64,
    objects: Objects,
    history: Vec<Record>,
    /// Oldest revision after which a watch is answered.
    oldest: u64,
    /// State from which the store is restored.
    copy: Option<(u64, Objects)>,
    /// Latest version that the operator has written.
    version: u64,
    /// Live targets by name: start time, and whether they are leaving.
    live: BTreeMap<u8, (u64, bool)>,
    started: u64,
}

impl Store {
    fn position(&self) -> Position {
        Position::new(Era(self.era), self.revision)
    }

    fn write(&mut self, kind: Kind, name: &str, generation: Generation) {
        let value = Bytes::from(format!("{} {}", generation.number, generation.is_leaving));
        let known = self.objects.get(&(kind, name.into()));
        if known.is_some_and(|known| known.value.as_ref() == Some(&value)) {
            return;
        }
        self.revision += 1;
        let position = self.position();
        let record = Record { kind, name: name.into(), position, generation, value: Some(value) };
        self.objects.insert((kind, name.into()), record.clone());
        self.history.push(record);
    }

    fn write_config(&mut self) {
        let generation = Generation { number: self.version, is_leaving: false };
        self.write(Kind::Catalog, CONFIG, generation);
    }

    fn write_target(&mut self, name: u8) {
        if let Some((number, is_leaving)) = self.live.get(&name).copied() {
            self.write(Kind::Target, &name.to_string(), Generation { number, is_leaving });
        }
    }

    fn start(&mut self, name: u8) {
        self.started += 1;
        self.live.insert(name, (self.started, false));
        self.write_target(name);
    }

    fn leave(&mut self, name: u8) {
        if let Some((_, is_leaving)) = self.live.get_mut(&name) {
            *is_leaving = true;
        }
        self.write_target(name);
    }

    fn stop(&mut self, name: u8) {
        self.live.remove(&name);
        self.expire(name);
    }

    /// Removes the entry of a target that no longer writes it.
    fn expire(&mut self, name: u8) {
        let key = (Kind::Target, SmolStr::from(name.to_string()));
        if self.live.contains_key(&name) {
            return;
        }
        if let Some(record) = self.objects.remove(&key) {
            self.revision += 1;
            let position = self.position();
            self.history.push(Record { position, value: None, ..record });
        }
    }

    fn restore(&mut self) {
        let Some((revision, objects)) = self.copy.clone() else { return };
        self.era += 1;
        self.revision = revision;
        self.oldest = revision;
        let era = Era(self.era);
        let move_to = |(key, record): (&(Kind, SmolStr), &Record)| {
            let position = Position::new(era, record.position.revision);
            (key.clone(), Record { position, ..record.clone() })
        };
        self.objects = objects.iter().map(move_to).collect();
        self.history.clear();
    }

    /// All writers notice the restoration and write again what the store lacks.
    fn repair(&mut self) {
        self.write_config();
        for name in 0..TARGETS {
            self.write_target(name);
            self.expire(name);
        }
    }

    fn list(&self, kind: Kind) -> Update {
        let records = self.objects.values().filter(|record| record.kind == kind);
        self.update(kind, records.cloned().collect(), true)
    }

    /// Returns the changes after a revision; `None` if this history is gone.
    fn watch(&self, kind: Kind, after: Position) -> Option<Update> {
        if after.revision < self.oldest || after.revision > self.revision {
            return None;
        }
        let is_later =
            |record: &&Record| record.kind == kind && record.position.revision > after.revision;
        let records = self.history.iter().filter(is_later).cloned().collect();
        Some(self.update(kind, records, false))
    }

    fn update(&self, kind: Kind, records: Vec<Record>, whole: bool) -> Update {
        let (kept, lapsed) = (Vec::new(), Vec::new());
        Update { kind, records, kept, lapsed, whole, position: self.position() }
    }
}

/// What one host has known since its start.
#[derive(Clone, Debug, Default)]
struct Host {
    replica: Replica,
    version: u64,
    /// Targets that were leaving or deleted, by name and start time.
    gone: BTreeSet<(SmolStr, u64)>,
    /// Relay whose changes the copy has, and the number of the latest one.
    cursor: Option<(usize, u64)>,
}

impl Host {
    fn config(&self) -> u64 {
        let configs = self.replica.records(Kind::Catalog);
        configs.map(|record| record.generation.number).max().unwrap_or_default()
    }

    fn in_use(&self) -> BTreeSet<(SmolStr, u64)> {
        let records = self.replica.records(Kind::Target);
        let usable = records.filter(|record| !record.generation.is_leaving);
        usable.map(|record| (record.name.clone(), record.generation.number)).collect()
    }

    /// Asks the store as the gateway does: for changes, or for all objects if that fails.
    fn learn(&mut self, store: &Store, kind: Kind, whole: bool, now: Moment) {
        self.cursor = None;
        let after = self.replica.position(kind);
        let watched = (!whole && !after.is_start()).then(|| store.watch(kind, after)).flatten();
        let watched = watched.filter(|update| self.replica.accepts(update));
        self.replica.apply(watched.unwrap_or_else(|| store.list(kind)), now);
    }

    fn follow(&mut self, relay: &Host, index: usize, now: Moment) {
        let after = self.cursor.filter(|(one, _)| *one == index).map_or(0, |(_, number)| number);
        let updates = relay.replica.updates_after(after, self.replica.positions());
        let accepted = updates.iter().all(|update| self.replica.accepts_relayed(update));
        for update in updates {
            self.replica.apply_relayed(update, now);
        }
        self.cursor = accepted.then(|| (index, relay.replica.latest_change()));
    }
}

#[derive(Clone, Debug)]
enum Step {
    WriteConfig,
    Start(u8),
    Leave(u8),
    Stop(u8),
    /// A target writes its entry, or the store expires it.
    Heartbeat(u8),
    Copy,
    Restore,
    Repair,
    /// A host gets an answer of the store, in its state some steps ago.
    Learn {
        host: usize,
        targets: bool,
        whole: bool,
        ago: usize,
    },
    Follow {
        host: usize,
        relay: usize,
    },
    Restart(usize),
    Wait,
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    prop_oneof![
        2 => Just(Step::WriteConfig),
        2 => (0..TARGETS).prop_map(Step::Start),
        2 => (0..TARGETS).prop_map(Step::Leave),
        2 => (0..TARGETS).prop_map(Step::Stop),
        2 => (0..TARGETS).prop_map(Step::Heartbeat),
        2 => Just(Step::Copy),
        2 => Just(Step::Restore),
        1 => Just(Step::Repair),
        8 => (host.clone(), any::<bool>(), any::<bool>(), 0..4usize)
            .prop_map(|(host, targets, whole, ago)| Step::Learn { host, targets, whole, ago }),
        6 => (host.clone(), host.clone()).prop_map(|(host, relay)| Step::Follow { host, relay }),
        1 => host.prop_map(Step::Restart),
        1 => Just(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(10_000))]

    /// No host goes back to an earlier configuration, or uses a target again that it knew to be
    /// leaving or gone; afterwards all hosts agree with the store.
    #[test]
    fn nothing_reverts_through_restorations(steps in prop::collection::vec(step(), 1..60)) {
        let mut now = Moment::from_millis(1);
        let mut store = Store::default();
        let mut past = vec![store.clone()];
        let mut hosts = vec![Host::default(); HOSTS];
        for step in steps {
            let mut before: Vec<_> = hosts.iter().map(Host::in_use).collect();
            match step {
                Step::WriteConfig => {
                    store.version += 1;
                    store.write_config();
                }
                Step::Start(name) => store.start(name),
                Step::Leave(name) => store.leave(name),
                Step::Stop(name) => store.stop(name),
                Step::Heartbeat(name) => {
                    store.write_target(name);
                    store.expire(name);
                }
                Step::Copy => store.copy = Some((store.revision, store.objects.clone())),
                Step::Restore => store.restore(),
                Step::Repair => store.repair(),
                Step::Learn { host, targets, whole, ago } => {
                    let seen = &past[past.len().saturating_sub(1 + ago)];
                    let kind = if targets { Kind::Target } else { Kind::Catalog };
                    hosts[host].learn(seen, kind, whole, now);
                }
                Step::Follow { host, relay } if host != relay => {
                    let relay_state = hosts[relay].clone();
                    hosts[host].follow(&relay_state, relay, now);
                }
                Step::Follow { .. } => {}
                Step::Restart(host) => {
                    hosts[host] = Host::default();
                    before[host].clear();
                    // A relay that starts anew numbers its changes from the beginning.
                    for other in &mut hosts {
                        other.cursor = other.cursor.filter(|(relay, _)| *relay != host);
                    }
                }
                Step::Wait => {
                    now = now.after(LAPSE_GRACE + Duration::from_millis(1));
                    for host in &mut hosts {
                        host.replica.expire(now);
                    }
                }
            }
            past.push(store.clone());
            for (host, before) in hosts.iter_mut().zip(before) {
                prop_assert!(host.config() >= host.version, "{} < {}", host.config(), host.version);
                host.version = host.config();
                let in_use = host.in_use();
                let dead = |(name, born): &&(SmolStr, u64)| {
                    let live = name.parse().ok().and_then(|name: u8| store.live.get(&name));
                    live != Some(&(*born, false))
                };
                let again: Vec<_> = in_use.intersection(&host.gone).filter(dead).collect();
                prop_assert!(again.is_empty(), "{again:?} in use again");
                // A live target may be dropped at the end of the grace period, and found again.
                host.gone.extend(before.difference(&in_use).filter(dead).cloned());
            }
        }
        store.repair();
        for _ in 0..2 {
            for host in &mut hosts {
                for kind in Kind::ALL {
                    host.learn(&store, kind, true, now);
                }
            }
            now = now.after(LAPSE_GRACE + Duration::from_millis(1));
            for host in &mut hosts {
                host.replica.expire(now);
            }
        }
        let live = store.live.iter().filter(|(_, (_, is_leaving))| !is_leaving);
        let live: BTreeSet<_> =
            live.map(|(name, (born, _))| (SmolStr::from(name.to_string()), *born)).collect();
        for host in &hosts {
            prop_assert_eq!(host.config(), store.version);
            prop_assert!(host.in_use().is_subset(&live));
        }
    }
}

/// A host that has a configuration and two targets from a store, of which a copy was taken.
fn learned() -> (Store, Host, Moment) {
    let now = Moment::from_millis(1);
    let mut store = Store { version: 1, ..Store::default() };
    store.write_config();
    store.start(0);
    store.start(1);
    store.copy = Some((store.revision, store.objects.clone()));
    let mut host = Host::default();
    for kind in Kind::ALL {
        host.learn(&store, kind, true, now);
    }
    (store, host, now)
}

fn names(host: &Host) -> Vec<String> {
    host.in_use().iter().map(|(name, _)| name.to_string()).collect()
}

#[test]
fn configuration_that_the_copy_lacks_stays_in_force() {
    let (mut store, mut host, now) = learned();
    store.version = 5;
    store.write_config();
    host.learn(&store, Kind::Catalog, false, now);
    store.restore();
    host.learn(&store, Kind::Catalog, false, now);
    assert_eq!((host.config(), host.replica.era()), (5, Era(1)));
    store.version = 6;
    store.write_config();
    host.learn(&store, Kind::Catalog, false, now);
    assert_eq!(host.config(), 6);
}

/// The host watches from the revision that the restored store is at, so that it neither waits for
/// one that was lost nor lists again and again.
#[test]
fn watch_continues_from_the_revision_of_the_restored_store() {
    let (mut store, mut host, now) = learned();
    for _ in 0..5 {
        store.start(2);
    }
    host.learn(&store, Kind::Target, false, now);
    store.restore();
    host.learn(&store, Kind::Target, false, now);
    assert_eq!(host.replica.position(Kind::Target), store.position());
    assert!(store.watch(Kind::Target, host.replica.position(Kind::Target)).is_some());
    store.start(3);
    host.learn(&store, Kind::Target, false, now);
    assert!(names(&host).contains(&"3".to_owned()));
}

#[rstest]
#[case::leaves(true)]
#[case::ended(false)]
fn target_that_left_gets_nothing_when_the_copy_lists_it(#[case] leaves: bool) {
    let (mut store, mut host, now) = learned();
    if leaves {
        store.leave(0);
    } else {
        store.stop(0);
    }
    host.learn(&store, Kind::Target, false, now);
    store.live.remove(&0);
    store.restore();
    for whole in [false, true, true] {
        host.learn(&store, Kind::Target, whole, now);
        assert_eq!(names(&host), ["1"]);
    }
    // A new process under the same name is used.
    store.start(0);
    host.learn(&store, Kind::Target, false, now);
    assert_eq!(names(&host), ["0", "1"]);
}

#[test]
fn target_that_the_copy_lacks_is_kept_until_it_is_written_again() {
    let (mut store, mut host, now) = learned();
    store.start(2);
    store.start(3);
    host.learn(&store, Kind::Target, false, now);
    store.restore();
    host.learn(&store, Kind::Target, false, now);
    assert_eq!(names(&host), ["0", "1", "2", "3"]);
    store.write_target(2);
    host.learn(&store, Kind::Target, false, now);
    host.replica.expire(now.after(LAPSE_GRACE));
    assert_eq!(names(&host), ["0", "1", "2"]);
}

#[test]
fn update_of_an_earlier_era_is_refused() {
    let (mut store, mut host, now) = learned();
    let mut cut_off = host.clone();
    for _ in 0..5 {
        store.start(2);
    }
    let late = store.list(Kind::Target);
    cut_off.learn(&store, Kind::Target, false, now);
    store.restore();
    host.learn(&store, Kind::Target, false, now);
    let before = host.replica.positions();
    assert!(!host.replica.accepts(&late));
    assert!(host.replica.apply(late, now).is_empty());
    host.follow(&cut_off, 0, now);
    assert_eq!(host.replica.positions(), before);
    assert_eq!(names(&host), ["0", "1"]);
}
