//! The operators' command line, with real processes.

use std::env;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

use chicoryloom_harness::Fleet;
use chicoryloom_harness::Plan;
use chicoryloom_harness::until;
use chicoryloom_standin::platform;
use rstest::rstest;
use serde_json::Value;

const ROUTES: &str = "  - { name: all, path: / }";
const WORKSPACES: &str = "  - { workspace: prairie, rate: 1, burst: 1 }";

/// A fleet of one host and a folder to work in.
struct Desk {
    fleet: Fleet,
    folder: PathBuf,
}

impl Drop for Desk {
    fn drop(&mut self) {
        // A folder that stays behind does no harm.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Desk {
    async fn new(name: &str) -> Self {
        let fleet = Fleet::start(Plan { hosts: 1, ..Plan::default() }).await.unwrap();
        let folder = env::temp_dir().join(format!("chicoryctl-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        Self { fleet, folder }
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.folder.join(name), text).unwrap();
    }

    fn read(&self, name: &str) -> String {
        fs::read_to_string(self.folder.join(name)).unwrap()
    }

    fn command(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(program());
        command
            .args(arguments)
            .current_dir(&self.folder)
            .env("CHICORY_ADMIN", self.fleet.hosts[0].admin.to_string())
            .env("CHICORY_TOKEN", "operator")
            .stdin(Stdio::null());
        command
    }

    fn run(&self, arguments: &[&str]) -> Output {
        self.command(arguments).output().unwrap()
    }

    fn good(&self, arguments: &[&str]) -> String {
        let output = self.run(arguments);
        assert!(output.status.success(), "{arguments:?}: {}", error(&output));
        String::from_utf8(output.stdout).unwrap()
    }
}

fn program() -> PathBuf {
    let own = env::current_exe().unwrap();
    let folders = own.ancestors().skip(1).take(2);
    let found = folders.map(|folder| folder.join("chicoryctl")).find(|path| path.is_file());
    found.expect("cargo build --workspace builds chicoryctl")
}

fn error(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[tokio::test]
async fn document_goes_through_check_put_get_edit_conflict_and_delete() {
    let desk = Desk::new("document").await;
    let text = desk.fleet.document("calendar", ROUTES, WORKSPACES);
    desk.write("mine.yaml", &text);
    assert!(desk.good(&["check", "mine.yaml"]).starts_with("calendar: valid: 1 routes"));

    desk.write("bad.yaml", &text.replace("burst: 1", "burst: 0"));
    for verb in ["check", "put"] {
        let output = desk.run(&[verb, "bad.yaml"]);
        assert_eq!(output.status.code(), Some(4));
        assert!(error(&output).contains("workspaces[0].burst: must be 1 or more"));
        assert!(error(&output).contains("next: "));
    }

    desk.good(&["put", "mine.yaml"]);
    desk.good(&["get", "calendar", "--output", "theirs.yaml"]);
    assert_eq!(desk.good(&["get", "calendar"]).trim_end(), text.trim_end());
    desk.write("mine.yaml", &format!("{}# mine\n", desk.read("mine.yaml")));
    desk.good(&["put", "mine.yaml"]);
    desk.write("theirs.yaml", &format!("{}# theirs\n", desk.read("theirs.yaml")));
    let lost = desk.run(&["put", "theirs.yaml"]);
    assert_eq!(lost.status.code(), Some(3), "{}", error(&lost));
    let kept = fs::read_dir(&desk.folder).unwrap().map(|entry| entry.unwrap().file_name());
    let kept = kept.map(|name| name.into_string().unwrap());
    let kept = kept.into_iter().find(|name| name.starts_with("calendar.")).unwrap();
    assert!(error(&lost).contains(&kept), "{}", error(&lost));
    desk.write(&kept, &format!("{}# theirs\n", desk.read(&kept)));
    desk.good(&["put", &kept]);
    let merged = desk.good(&["get", "calendar"]);
    assert!(merged.contains("# mine\n# theirs"), "{merged}");

    edit(&desk).await;
    let got: Value = serde_json::from_str(&desk.good(&["--json", "get", "calendar"])).unwrap();
    let version = got["version"].to_string();
    desk.good(&["delete", "calendar", "--expect", &version]);
    let gone = desk.run(&["get", "calendar"]);
    assert!(error(&gone).contains("next: status lists the documents"), "{}", error(&gone));
}

/// Edits the file while the program waits for Enter.
async fn edit(desk: &Desk) {
    let mut command = desk.command(&["edit", "calendar"]);
    let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().unwrap();
    let path = desk.folder.join("calendar.yaml");
    until("the file is there", async || path.is_file() && !read(&path).is_empty()).await;
    desk.write("calendar.yaml", &format!("{}# edited\n", read(&path)));
    std::io::Write::write_all(&mut child.stdin.take().unwrap(), b"\n").unwrap();
    assert!(child.wait().unwrap().success());
    assert!(desk.good(&["get", "calendar"]).contains("# edited"));
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap()
}

#[tokio::test]
async fn key_is_granted_listed_and_withdrawn() {
    let desk = Desk::new("key").await;
    let granted = desk.good(&["--json", "grant", "prairie"]);
    let granted: Value = serde_json::from_str(&granted).unwrap();
    let digest = granted["digest"].as_str().unwrap();
    until("the key is listed", async || {
        desk.good(&["keys", "--workspace", "prairie"]).contains(digest)
    })
    .await;
    assert!(!desk.good(&["keys"]).contains(granted["key"].as_str().unwrap()));
    desk.good(&["withdraw", digest]);
    until("the key is listed as withdrawn", async || {
        let keys: Value = serde_json::from_str(&desk.good(&["--json", "keys"])).unwrap();
        keys["keys"][0]["withdrawn"] == true
    })
    .await;
    desk.write("key.txt", "prairie-own-key-1\n");
    let own = desk.good(&["grant", "prairie", "--key-file", "key.txt"]);
    assert!(own.contains("prairie-own-key-1"));
}

#[tokio::test]
async fn looks_print_tables_and_json() {
    let desk = Desk::new("look").await;
    let text = desk.fleet.document("calendar", ROUTES, WORKSPACES);
    desk.fleet.put_document(0, "calendar", 0, &text).await.unwrap();
    let granted = desk.fleet.grant_key(0, "prairie").await.unwrap();
    desk.fleet.in_force(granted.version).await;
    let url = format!("http://{}/calendar/a", desk.fleet.hosts[0].caller);
    until("a request is answered", async || {
        let call = desk.fleet.client().get(&url).bearer_auth(&granted.key).send().await.unwrap();
        call.status() == 200
    })
    .await;
    desk.fleet.client().get(&url).send().await.unwrap();
    let status = desk.good(&["status"]);
    assert!(status.contains("serves       yes"), "{status}");
    assert!(status.contains("host-1"), "{status}");
    let histograms = desk.good(&["histograms", "--workspace", "prairie"]);
    assert!(histograms.contains("calendar  prairie    default  2xx"), "{histograms}");
    let explained = desk.good(&["explain", "--service", "calendar"]);
    assert!(explained.contains("the key is missing, unknown or withdrawn"), "{explained}");
    for verb in ["status", "histograms", "explain"] {
        let json = desk.good(&["--json", verb]);
        assert!(serde_json::from_str::<Value>(&json).unwrap().is_object());
    }
}

#[rstest]
#[case(&["--token", "wrong", "status"], 1, "CHICORY_TOKEN")]
#[case(&["--admin", "127.0.0.1:1", "status"], 1, "name another host")]
#[case(&["--admin", "::", "status"], 2, "no address")]
#[case(&["put", "absent.yaml"], 1, "absent.yaml")]
#[case(&["withdraw", "12"], 4, "64 hex digits")]
#[case(&[], 2, "name a command")]
#[tokio::test]
async fn error_says_what_to_do_next(
    #[case] arguments: &[&str],
    #[case] code: i32,
    #[case] expected: &str,
) {
    let desk = Desk::new(&format!("error-{}", arguments.join("-"))).await;
    let output = desk.run(arguments);
    assert_eq!(output.status.code(), Some(code), "{}", error(&output));
    assert!(error(&output).contains(expected), "{}", error(&output));
}

#[tokio::test]
async fn platform_that_is_away_is_named() {
    let desk = Desk::new("away").await;
    let down = platform::Switches { down: true, ..platform::Switches::default() };
    desk.fleet.switch_platform(&down).await.unwrap();
    let output = desk.run(&["grant", "prairie"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(error(&output).contains("the platform is away"), "{}", error(&output));
}
