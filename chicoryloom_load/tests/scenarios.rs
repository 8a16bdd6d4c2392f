//! The scenarios of the repository.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

use chicoryloom_load::Scenario;
use rstest::rstest;
use serde_json::Value;

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../scenarios")
}

#[test]
fn every_scenario_is_valid() {
    let files: Vec<_> = fs::read_dir(folder()).unwrap().map(|file| file.unwrap().path()).collect();
    assert!(files.len() >= 5);
    for file in files {
        Scenario::read(&file).unwrap();
    }
}

#[rstest]
#[case::service("service: calendar, switches", "service: foreign, switches")]
#[case::switch("slow_factor", "slow_faktor")]
#[case::data_centre("from: regina", "from: brandon")]
#[case::host("index: 1, signal", "index: 5, signal")]
#[case::workspace("workspace: wind", "workspace: none")]
#[case::field("seed: 11", "sead: 11")]
#[case::target("index: 3 }", "index: 4 }")]
#[case::size("targets: 4", "targets: 400")]
fn fault_in_a_scenario_is_refused(#[case] from: &str, #[case] to: &str) {
    let text = fs::read_to_string(folder().join("smoke.yaml")).unwrap();
    assert!(text.contains(from));
    let name = from.replace([' ', ':', '}'], "");
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.yaml"));
    fs::write(&file, text.replace(from, to)).unwrap();
    assert!(Scenario::read(&file).is_err());
}

/// Bounds on correctness alone: each invariant was put to the test and held.
#[test]
fn smoke_run_holds_every_invariant() {
    let out = Path::new(env!("CARGO_TARGET_TMPDIR")).join("smoke");
    let run = Command::new(env!("CARGO_BIN_EXE_chicoryloom-load"))
        .arg("run")
        .arg(folder().join("smoke.yaml"))
        .arg(format!("--out={}", out.display()))
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&run.stdout);
    assert!(run.status.success(), "{text}\n{}", String::from_utf8_lossy(&run.stderr));
    let result = fs::read(out.join("smoke-demand-sequential.json")).unwrap();
    let result: Value = serde_json::from_slice(&result).unwrap();
    for verdict in result["verdicts"].as_array().unwrap() {
        assert_ne!(verdict["judged"], 0, "{} was not put to the test", verdict["invariant"]);
    }
}
