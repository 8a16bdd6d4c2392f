//! Tests of the command line and the settings of the entry host.

use std::env;
use std::fs;
use std::process::Command;
use std::process::Output;

use rstest::rstest;

const GOOD: &str = "\
host: { name: host-1, data_centre: regina }
listen:
  caller: '127.0.0.1:0'
  peer: '127.0.0.1:0'
platform: { url: 'http://127.0.0.1:1' }
peers: { secret: s }
";

/// Runs the program with `--check` on a settings file.
fn check(name: &str, text: &str) -> Output {
    let path = env::temp_dir().join(format!("chicoryloom-cli-{}-{name}.yaml", std::process::id()));
    fs::write(&path, text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_chicoryloom"))
        .arg("--settings")
        .arg(&path)
        .arg("--check")
        .output()
        .unwrap();
    fs::remove_file(path).unwrap();
    output
}

#[test]
fn good_settings_pass() {
    let output = check("good", GOOD);
    assert_eq!(output.status.code(), Some(0));
}

#[rstest]
#[case("address", GOOD.replace("caller: '127.0.0.1:0'", "caller: here"), "line 3: listen.caller")]
#[case("name", GOOD.replace("host-1", "Host"), "host.name")]
#[case("type", GOOD.replace("peers: { secret: s }", "peers: 4"), "line 6")]
fn bad_settings_name_the_line_and_field(
    #[case] name: &str,
    #[case] text: String,
    #[case] expected: &str,
) {
    let output = check(name, &text);
    let error = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(error.contains(expected), "{error}");
}

#[test]
fn unknown_fields_warn() {
    let output = check("unknown", &format!("{GOOD}prox: {{}}\n"));
    let error = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(0));
    assert!(error.contains("unknown field prox"), "{error}");
}
