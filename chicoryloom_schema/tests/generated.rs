//! Checks that the committed code is what the schemas generate.

use std::fs;

use rstest::rstest;

#[rstest]
#[case("caller")]
#[case("document")]
#[case("frame")]
#[case("key")]
#[case("ledger")]
#[case("platform")]
#[case("scenario")]
#[case("settings")]
fn committed_code_is_current(#[case] name: &str) {
    let path = chicoryloom_schema::code(name);
    let expected = chicoryloom_schema::generate(name).expect("schema generates code");
    let committed = fs::read_to_string(&path).expect("generated code is committed");
    assert!(committed == expected, "{name}.rs is behind: run cargo run -p chicoryloom_schema");
}

#[test]
fn every_schema_is_covered() {
    let folder = chicoryloom_schema::schema("caller");
    let folder = folder.parent().expect("schemas have a folder");
    let count = fs::read_dir(folder).expect("schemas are readable").count();
    assert_eq!(count, chicoryloom_schema::NAMES.len());
}
