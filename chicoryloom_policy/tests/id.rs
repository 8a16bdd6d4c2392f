//! Names of other systems.

use std::collections::HashSet;

use chicoryloom_policy::id::Workspace;
use rstest::rstest;

#[rstest]
#[case::plain("prairie-2", "prairie-2")]
#[case::longest(
    "a23456789-b23456789-c23456789-d23456789-e23456789-f23456789-g23",
    "a23456789-b23456789-c23456789-d23456789-e23456789-f23456789-g23"
)]
#[case::capitals("PRAIRIE", "prairie--05f9c4cdde909ae675ed1ace6f3ede57")]
fn alias_keeps_what_it_can(#[case] text: &str, #[case] wanted: &str) {
    assert_eq!(Workspace::alias(text).as_str(), wanted);
}

/// Guards against names of the platform that keep a configuration out, or that become one.
#[test]
fn aliases_are_valid_and_differ() {
    let long = "x".repeat(200);
    let longer = "x".repeat(201);
    let texts = [
        "",
        " ",
        "prairie",
        "PRAIRIE",
        "Prairie",
        "prairie ",
        "a.b",
        "a/b",
        "a_b",
        "ab",
        "a b",
        "A--B",
        "Степь",
        "草原",
        "草",
        "a\nb",
        "_other",
        &long,
        &longer,
        "--",
        "-",
    ];
    let mut names: Vec<_> = texts.map(|text| Workspace::alias(text).to_string()).into();
    // An alias as a name of its own, and the alias of that.
    let (first, second) = (names[3].clone(), Workspace::alias(&names[3]).to_string());
    names.extend([second.clone(), Workspace::alias(&second).to_string()]);
    assert_ne!(first, second);
    let distinct: HashSet<_> = names.iter().collect();
    assert_eq!(distinct.len(), names.len());
    assert!(names.iter().all(|name| name.parse::<Workspace>().is_ok()));
}
