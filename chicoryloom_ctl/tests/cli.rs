//! Command line of chicoryctl; its calls are tested in the harness, against real hosts.
//!
//! Cargo builds a program for a test run only if its own package has an integration test.

use std::process::Command;

#[test]
fn version_is_printed() {
    let output = Command::new(env!("CARGO_BIN_EXE_chicoryctl")).arg("--version").output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(0));
    assert!(text.starts_with("chicoryctl "), "{text}");
}
