//! Command line of `chicoryloom-standin`.

use std::process::Command;

#[test]
fn command_must_be_named() {
    let output = Command::new(env!("CARGO_BIN_EXE_chicoryloom-standin")).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
}
