//! Evacuations, checked over generated histories: several at once, taken back early, a store that is
//! restored, and hosts that watch, follow another one, start late or restart.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use chicoryloom_policy::Moment;
use chicoryloom_policy::evacuation::Evacuations;
use chicoryloom_policy::id;
use chicoryloom_policy::position::Era;
use chicoryloom_policy::position::Generation;
use chicoryloom_policy::position::Position;
use chicoryloom_policy::replica::EVACUATION_GRACE;
use chicoryloom_policy::replica::Kind;
use chicoryloom_policy::replica::Record;
use chicoryloom_policy::replica::Replica;
use chicoryloom_policy::replica::Update;
use proptest::prelude::*;
use smol_str::SmolStr;

const HOSTS: usize = 3;
const CENTRES: [&str; 3] = ["north", "south", "west"];

#[derive(Clone, Debug, Default)]
struct Store {
    era: u64,
    revision: u64,
    /// Evacuated data centres, with the revision of each object.
    objects: BTreeMap<SmolStr, u64>,
    copy: Option<(u64, BTreeMap<SmolStr, u64>)>,
}

impl Store {
    fn list(&self) -> Update {
        let record = |(name, revision): (&SmolStr, &u64)| Record {
            kind: Kind::Evacuation,
            name: name.clone(),
            position: Position::new(Era(self.era), *revision),
            generation: Generation::default(),
            value: Some(Bytes::from_static(b"{}")),
        };
        let records = self.objects.iter().map(record).collect();
        let position = Position::new(Era(self.era), self.revision);
        let (kept, lapsed) = (Vec::new(), Vec::new());
        Update { kind: Kind::Evacuation, records, kept, lapsed, whole: true, position }
    }

    fn listed(&self) -> BTreeSet<SmolStr> {
        self.objects.keys().cloned().collect()
    }
}

fn known(replica: &Replica) -> BTreeSet<SmolStr> {
    replica.records(Kind::Evacuation).map(|record| record.name.clone()).collect()
}

/// Returns the known evacuations with the position of each.
fn positions(replica: &Replica) -> BTreeMap<SmolStr, Position> {
    let records = replica.records(Kind::Evacuation);
    records.map(|record| (record.name.clone(), record.position)).collect()
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Begin(usize),
    End(usize),
    Copy,
    Restore,
    Restart(usize),
    Learn(usize),
    /// One host follows another.
    Follow(usize, usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..CENTRES.len()).prop_map(Step::Begin),
        (0..CENTRES.len()).prop_map(Step::End),
        Just(Step::Copy),
        Just(Step::Restore),
        (0..HOSTS).prop_map(Step::Restart),
        (0..HOSTS).prop_map(Step::Learn),
        ((0..HOSTS), (0..HOSTS)).prop_map(|(from, to)| Step::Follow(from, to)),
        (0..40_000u64).prop_map(Step::Wait),
    ]
}

proptest! {
    /// No host that has heard of an evacuation drops it before it has ended, but for the end of the
    /// grace of one that a restored store lacks; and in the end all hosts agree with the store.
    #[test]
    fn hosts_keep_what_is_in_force(steps in prop::collection::vec(step(), 1..80)) {
        let mut now = Moment::from_millis(1);
        let mut store = Store { revision: 1, ..Store::default() };
        let mut hosts = vec![Replica::default(); HOSTS];
        // Evacuations of the operator that haven't ended, since which position of the store, and
        // until when a restoration that lost them may not end them.
        let mut asked: BTreeMap<SmolStr, (Position, Option<Moment>)> = BTreeMap::new();
        for step in steps {
            let before: Vec<_> = hosts.iter().map(positions).collect();
            match step {
                Step::Begin(at) => {
                    store.revision += 1;
                    let revision = store.revision;
                    let begun = *store.objects.entry(CENTRES[at].into()).or_insert(revision);
                    let begun = Position::new(Era(store.era), begun);
                    asked.insert(CENTRES[at].into(), (begun, None));
                }
                Step::End(at) => {
                    store.revision += 1;
                    store.objects.remove(CENTRES[at]);
                    asked.remove(CENTRES[at]);
                }
                Step::Copy => store.copy = Some((store.revision, store.objects.clone())),
                Step::Restore => if let Some((revision, objects)) = store.copy.clone() {
                    store = Store { era: store.era + 1, revision, objects, copy: store.copy };
                    let until = now.after(EVACUATION_GRACE);
                    for (name, (_, lost)) in &mut asked {
                        if !store.objects.contains_key(name) {
                            lost.get_or_insert(until);
                        }
                    }
                },
                Step::Restart(at) => hosts[at] = Replica::default(),
                Step::Learn(at) => {
                    let update = store.list();
                    hosts[at].apply(update, now);
                }
                Step::Follow(from, to) => if from != to && !hosts[from].position(Kind::Evacuation).is_start() {
                    let update = hosts[from].snapshot(Kind::Evacuation, hosts[to].position(Kind::Evacuation));
                    hosts[to].apply_relayed(update, now);
                },
                Step::Wait(millis) => {
                    now = now.after(Duration::from_millis(millis));
                    for host in &mut hosts {
                        host.expire(now);
                    }
                }
            }
            if matches!(step, Step::Restart(_)) {
                continue;
            }
            for (host, before) in hosts.iter().zip(before) {
                let after = known(host);
                for (name, position) in before.iter().filter(|(name, _)| !after.contains(*name)) {
                    // An earlier evacuation of the data centre, which has ended, may be dropped.
                    let may_end = asked.get(name).is_none_or(|(begun, lost)| {
                        position < begun || lost.is_some_and(|until| now >= until)
                    });
                    prop_assert!(may_end, "{name} dropped at {now:?}: {step:?}");
                }
            }
        }
        for _ in 0..2 {
            for host in &mut hosts {
                let update = store.list();
                host.apply(update, now);
            }
            now = now.after(EVACUATION_GRACE + Duration::from_millis(1));
            for host in &mut hosts {
                host.expire(now);
                prop_assert!(known(host).is_superset(&store.listed()));
            }
        }
        for host in &hosts {
            prop_assert_eq!(known(host), store.listed());
        }
    }
}

#[test]
fn evacuation_that_a_restored_store_lists_is_in_force_for_all_hosts() {
    let now = Moment::from_millis(1);
    let mut store = Store { revision: 1, ..Store::default() };
    store.objects.insert("north".into(), 1);
    let copy = store.clone();
    let mut old = Replica::default();
    old.apply(store.list(), now);
    store.revision = 2;
    store.objects.clear();
    old.apply(store.list(), now);
    assert!(known(&old).is_empty());
    let restored = Store { era: 1, ..copy };
    let mut new = Replica::default();
    for host in [&mut old, &mut new] {
        host.apply(restored.list(), now);
        assert_eq!(known(host), restored.listed());
    }
}

/// A host that follows another one and then watches keeps what the restored store has lost.
#[test]
fn lost_evacuation_outlives_a_change_of_source() {
    let now = Moment::from_millis(1);
    let mut store = Store { revision: 1, ..Store::default() };
    store.objects.insert("north".into(), 1);
    let mut hosts = [Replica::default(), Replica::default()];
    for host in &mut hosts {
        host.apply(store.list(), now);
    }
    let restored = Store { era: 1, revision: 1, ..Store::default() };
    for host in &mut hosts {
        host.apply(restored.list(), now);
    }
    let [one, other] = &mut hosts;
    other.apply_relayed(one.snapshot(Kind::Evacuation, other.position(Kind::Evacuation)), now);
    other.apply(restored.list(), now);
    assert_eq!(known(other), store.listed());
    other.expire(now.after(EVACUATION_GRACE));
    assert!(known(other).is_empty());
}

#[test]
fn set_tells_what_began_and_ended() {
    let centre = |name: &str| name.parse::<id::DataCentre>().unwrap();
    let (north, south) = (centre("north"), centre("south"));
    let mut evacuations = Evacuations::default();
    let all = BTreeSet::from([north.clone(), south.clone()]);
    let change = evacuations.set(&all, Moment::from_millis(1));
    assert_eq!((change.begun.len(), change.ended.len()), (2, 0));
    assert!(evacuations.set(&all, Moment::from_millis(2)).is_empty());
    let change = evacuations.set(&BTreeSet::from([south.clone()]), Moment::from_millis(3));
    assert_eq!(change.ended, std::slice::from_ref(&north));
    assert!(!evacuations.is_in_force(&north) && evacuations.is_in_force(&south));
    assert_eq!(evacuations.ended(&north), Some(Moment::from_millis(3)));
    assert_eq!(evacuations.in_force().next(), Some((&south, Moment::from_millis(1))));
}
