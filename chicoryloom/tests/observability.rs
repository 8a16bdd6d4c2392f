//! Tests that logs, metrics and administration responses of a host contain no keys, and that its
//! calls ignore proxies of the environment.

use std::env;
use std::fs;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use chicoryloom_policy::id;
use chicoryloom_standin::platform::Platform;
use chicoryloom_standin::target::Switches;
use chicoryloom_standin::target::Target;
use reqwest::Client;
use reqwest::Method;
use reqwest::RequestBuilder;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const TOKEN: &str = "operator-token";
/// Address of a proxy that is not listening; every call through it fails.
const UNREACHABLE_PROXY: &str = "http://127.0.0.1:1";
/// Maximum wait for a condition, well above what a working host needs.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A host process that logs to a file.
struct Host {
    child: Child,
    caller: String,
    admin: String,
    folder: PathBuf,
    client: Client,
}

impl Drop for Host {
    fn drop(&mut self) {
        // The process may have ended already, and a leftover folder does no harm.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Host {
    fn start(platform: &Platform, name: &str, format: &str) -> Self {
        let folder = env::temp_dir().join(format!("chicoryloom-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let settings = json!({
            "host": { "name": "host-1", "data_centre": "regina" },
            "listen": { "caller": ANY, "peer": ANY, "admin": ANY },
            "platform": { "url": format!("http://{}", platform.address()) },
            "peers": { "secret": "peer-secret" },
            "admin": { "tokens": [{ "name": "ada", "token": TOKEN }] },
            "log": { "level": "trace", "format": format },
        });
        fs::write(folder.join("settings.yaml"), settings.to_string()).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_chicoryloom"))
            .arg("--settings")
            .arg(folder.join("settings.yaml"))
            .envs(
                ["http_proxy", "HTTP_PROXY", "all_proxy", "ALL_PROXY"]
                    .map(|n| (n, UNREACHABLE_PROXY)),
            )
            .stdout(Stdio::piped())
            .stderr(File::create(folder.join("log")).unwrap())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let address = |name: &str| {
            let pair = line.split_whitespace().find_map(|word| word.strip_prefix(name));
            pair.unwrap_or_else(|| panic!("{line}")).to_owned()
        };
        let (caller, admin) = (address("caller="), address("admin="));
        Self { child, caller, admin, folder, client: Client::builder().no_proxy().build().unwrap() }
    }

    fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap()
    }

    fn admin(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("http://{}{path}", self.admin);
        self.client.request(method, url).bearer_auth(TOKEN)
    }

    fn get(&self, path: &str) -> RequestBuilder {
        self.client.get(format!("http://{}{path}", self.caller))
    }

    async fn admin_text(&self, path: &str) -> String {
        self.admin(Method::GET, path).send().await.unwrap().text().await.unwrap()
    }

    async fn wait_until_answered(&self, key: &str) {
        let started = Instant::now();
        let ask = async || self.get("/calendar/a").bearer_auth(key).send().await.unwrap().status();
        while ask().await != 200 {
            assert!(started.elapsed() < TIMEOUT, "no request was answered:\n{}", self.log());
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

async fn list_host(platform: &Platform, host: &Host) {
    let url = format!("http://{}/standin/hosts", platform.address());
    let listed = json!({
        "name": "host-1", "data_centre": "regina", "caller": host.caller, "peer": "127.0.0.1:9",
    });
    let client = Client::builder().no_proxy().build().unwrap();
    client.put(url).json(&json!({ "hosts": [listed] })).send().await.unwrap();
}

#[rstest]
#[case("text")]
#[case("json")]
#[tokio::test]
async fn logs_metrics_and_admin_responses_hold_no_key_or_digest(#[case] format: &str) {
    let platform = Platform::start(ANY).await.unwrap();
    let target = Target::start(ANY, ANY, Switches::default()).await.unwrap();
    let host = Host::start(&platform, &format!("quiet-{format}"), format);
    list_host(&platform, &host).await;
    let document = json!({
        "service": "calendar",
        "routes": [{ "name": "all", "path": "/" }, { "name": "open", "path": "/open", "open": true }],
        "workspaces": [{ "workspace": "prairie", "rate": 1000, "burst": 1000 }],
        "targets": [{
            "address": target.address(), "data_centre": "regina", "slots": 2, "connections": 350,
        }],
    });
    let put = host.admin(Method::PUT, "/v1/documents/calendar").body(document.to_string());
    assert_eq!(put.send().await.unwrap().status(), 200);
    let body = json!({ "workspace": "prairie" });
    let granted = host.admin(Method::POST, "/v1/keys").json(&body).send().await.unwrap();
    let granted: Value = granted.json().await.unwrap();
    let key = granted["key"].as_str().unwrap().to_owned();
    let digest = granted["digest"].as_str().unwrap().to_owned();
    host.wait_until_answered(&key).await;

    for path in ["/calendar/open", "/calendar/a/", "/", "/chicory/v1/hosts?service="] {
        host.get(&format!("{path}{key}")).bearer_auth(&key).send().await.unwrap();
        host.get(&format!("{path}?key={key}")).header("cookie", &key).send().await.unwrap();
    }
    let again = json!({ "workspace": "prairie", "key": key });
    host.admin(Method::POST, "/v1/keys").json(&again).send().await.unwrap();
    let misplaced = host.admin(Method::PUT, &format!("/v1/documents/{key}"));
    misplaced.body(document.to_string()).send().await.unwrap();
    let withdraw = host.admin(Method::DELETE, &format!("/v1/keys/{digest}")).send().await.unwrap();
    assert_eq!(withdraw.status(), 200);
    let started = Instant::now();
    while host.get("/calendar/a").bearer_auth(&key).send().await.unwrap().status() != 401 {
        assert!(started.elapsed() < TIMEOUT, "the key was not withdrawn");
    }

    let log = host.log();
    for line in
        ["audit: ada: put document", "audit: ada: grant a key", "audit: ada: withdraw a key"]
    {
        assert!(log.contains(line), "{line} is not in\n{log}");
    }
    let mut outputs = vec![("log".to_owned(), log)];
    for path in ["/metrics", "/v1/status", "/v1/explain", "/v1/histograms", "/v1/documents"] {
        outputs.push((path.to_owned(), host.admin_text(path).await));
    }
    for (place, text) in outputs {
        let line = text.lines().find(|line| line.contains(&key));
        assert!(line.is_none(), "the key is in {place}: {line:?}");
        assert!(!text.contains(&digest), "the digest is in {place}");
        assert!(!text.contains(&id::Digest::of(&key).to_string()), "the digest is in {place}");
        assert!(!text.contains(TOKEN), "the operator's token is in {place}");
        assert!(!text.contains("peer-secret"), "the peers' secret is in {place}");
    }
}

#[tokio::test]
async fn metrics_show_histograms_gauges_and_refusals() {
    let platform = Platform::start(ANY).await.unwrap();
    let host = Host::start(&platform, "metrics", "json");
    list_host(&platform, &host).await;
    // A host that is not fresh yet can't know that the service does not exist.
    let started = Instant::now();
    while host.get("/none/a").send().await.unwrap().status() != 404 {
        assert!(started.elapsed() < TIMEOUT, "the host never became fresh:\n{}", host.log());
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let page = host.admin_text("/metrics").await;
    for name in ["chicory_connections", "chicory_in_flight", "chicory_fresh", "chicory_revision"] {
        let has = page.lines().any(|line| line.starts_with(name));
        assert!(has, "{name} is not in\n{page}");
    }
    assert!(page.contains("code=\"route\""), "{page}");
    for line in host.log().lines() {
        let line: Value = serde_json::from_str(line).expect("each line is JSON");
        assert!(line.is_object());
    }
}
