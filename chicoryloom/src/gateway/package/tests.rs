//! Tests of packages.

use bytes::Bytes;
use chicoryloom_policy::position::Era;
use chicoryloom_policy::position::Generation;
use chicoryloom_policy::position::Position;
use chicoryloom_policy::replica::Kind;
use chicoryloom_policy::replica::Record;
use chicoryloom_policy::replica::Update;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rstest::rstest;

use super::Archive;
use super::Digest;
use super::Package;

/// Returns a configuration with routes of random names, `changed` of which lead elsewhere.
fn contents(routes: usize, changed: usize) -> Bytes {
    let mut rng = Pcg64::seed_from_u64(7);
    let mut text = String::new();
    for route in 0..routes {
        let name: u64 = rng.random();
        let service = if route < changed { "other" } else { "booking" };
        text.push_str(&format!(
            "{{\"name\":\"r-{name:x}\",\"matchCriteria\":{{\"pathPrefix\":\"/{:x}/\"}},\
             \"routeAction\":{{\"service\":\"{service}\",\"timeoutMs\":3000}}}},",
            name.rotate_left(32)
        ));
    }
    text.into()
}

fn update(contents: &Bytes) -> Update {
    let position = Position::new(Era(0), 9);
    let generation = Generation { number: 4, is_leaving: false };
    let value = Some(contents.clone());
    let record = Record { kind: Kind::Catalog, name: "main".into(), position, generation, value };
    Update {
        kind: Kind::Catalog,
        records: vec![record],
        kept: Vec::new(),
        lapsed: Vec::new(),
        whole: true,
        position,
    }
}

#[rstest]
#[case::change_of_a_route(4000, 4000, 1, 1000)]
#[case::new_routes(4000, 5400, 0, 80_000)]
fn package_is_about_as_large_as_the_change(
    #[case] before: usize,
    #[case] after: usize,
    #[case] changed: usize,
    #[case] most: usize,
) {
    let (old, new) = (contents(before, 0), contents(after, changed));
    let base = Digest::of(&old);
    let update = update(&new);
    let package = Package::pack(&update, Some((base, &old))).unwrap();
    assert!(package.size() <= most, "{} bytes", package.size());
    assert_eq!(package.unpack(Some((base, &old))).unwrap(), update);
    assert!(package.unpack(None).is_err());
    assert!(package.unpack(Some((Digest::of(&new), &new))).is_err());
    let whole = Package::pack(&update, None).unwrap();
    assert!(whole.size() * 3 < new.len(), "{} of {} bytes", whole.size(), new.len());
    assert_eq!(whole.unpack(Some((base, &old))).unwrap(), update);
}

#[test]
fn package_that_was_damaged_is_refused() {
    let new = contents(100, 0);
    let package = Package::pack(&update(&new), None).unwrap();
    for at in [0, package.size() / 2, package.size() - 1] {
        let mut bytes = package.bytes.to_vec();
        bytes[at] ^= 0x10;
        let damaged = Package { bytes: bytes.into(), ..package.clone() };
        assert!(damaged.unpack(None).is_err(), "byte {at}");
    }
    assert!(Package { length: u32::MAX, ..package }.unpack(None).is_err());
}

#[test]
fn earlier_configurations_are_bases_for_a_while() {
    let mut archive = Archive::default();
    let all: Vec<_> = (0..8).map(|number| contents(10, number)).collect();
    all.iter().for_each(|contents| archive.add(contents.clone()));
    assert_eq!(archive.latest().unwrap().1, all[7]);
    assert!(archive.base(Digest::of(&all[3])).is_some());
    assert!(archive.base(Digest::of(&all[2])).is_none());
}
