//! Fleets of one host, raw callers and scripted targets for the tests of the edge.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use chicoryloom_harness::Fleet;
use chicoryloom_harness::Plan;
use chicoryloom_harness::until;
use chicoryloom_standin::target;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const WORKSPACES: &str = "  - { workspace: prairie, rate: 100000, burst: 1000 }";

/// A fleet that serves the service `calendar`.
pub(crate) struct Edge {
    pub(crate) fleet: Fleet,
    pub(crate) key: String,
}

impl Edge {
    /// Starts one host before one target stand-in.
    pub(crate) async fn start(settings: &str, routes: &str) -> Self {
        let targets = vec![target::Switches::default()];
        let settings = settings.to_owned();
        let plan = Plan { hosts: 1, targets, settings, ..Plan::default() };
        let fleet = Fleet::start(plan).await.unwrap();
        let text = fleet.document("calendar", routes, WORKSPACES);
        Self::serve(fleet, &text).await
    }

    /// Starts one host before a scripted target.
    pub(crate) async fn before(target: &Scripted, settings: &str, routes: &str) -> Self {
        let plan =
            Plan { hosts: 1, targets: vec![], settings: settings.to_owned(), ..Plan::default() };
        let fleet = Fleet::start(plan).await.unwrap();
        let text = format!(
            "{}  - {{ address: '{}', data_centre: regina, slots: 4, connections: 40 }}\n",
            fleet.document("calendar", routes, WORKSPACES),
            target.address,
        );
        Self::serve(fleet, &text).await
    }

    async fn serve(fleet: Fleet, text: &str) -> Self {
        fleet.put_document(0, "calendar", 0, text).await.unwrap();
        let granted = fleet.grant_key(0, "prairie").await.unwrap();
        fleet.in_force(granted.version).await;
        let edge = Self { fleet, key: granted.key };
        until("the workspace's bucket fills", async || {
            let url = edge.url("/ready");
            let answer = edge.fleet.client().get(url).bearer_auth(&edge.key).send().await;
            answer.is_ok_and(|answer| answer.status() != 429)
        })
        .await;
        edge
    }

    pub(crate) fn caller(&self) -> SocketAddr {
        self.fleet.hosts[0].caller
    }

    pub(crate) fn url(&self, path: &str) -> String {
        format!("http://{}/calendar{path}", self.caller())
    }

    /// Sends a request line and headers as they are, with the key, and reads to the end.
    pub(crate) async fn raw(&self, line: &str, headers: &str) -> String {
        let key = &self.key;
        let text = format!("{line}\r\nauthorization: Bearer {key}\r\n{headers}\r\n");
        raw(self.caller(), text.as_bytes()).await
    }

    /// Returns the resident memory of the host, in bytes.
    pub(crate) fn memory(&self) -> u64 {
        let pid = self.fleet.hosts[0].process.pid().unwrap();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() * 1024
    }
}

/// Sends bytes on a connection of their own and reads until it ends.
pub(crate) async fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    // A connection that is cut ends the answer as well.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// A target that answers each request by a function of its head.
pub(crate) struct Scripted {
    pub(crate) address: SocketAddr,
    heads: Arc<Mutex<Vec<String>>>,
}

impl Scripted {
    /// Starts a target; an answer of `None` closes the connection.
    pub(crate) async fn start(answer: fn(&str) -> Option<&'static str>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let heads: Arc<Mutex<Vec<String>>> = Arc::default();
        let shared = heads.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, answer, shared.clone()));
            }
        });
        Self { address, heads }
    }

    /// Returns the heads of the requests whose first line holds a text.
    pub(crate) fn heads(&self, path: &str) -> Vec<String> {
        let heads = self.heads.lock().unwrap();
        let holds = |head: &&String| head.lines().next().unwrap_or_default().contains(path);
        heads.iter().filter(holds).cloned().collect()
    }
}

async fn serve(
    mut stream: TcpStream,
    answer: fn(&str) -> Option<&'static str>,
    heads: Arc<Mutex<Vec<String>>>,
) {
    let mut read = Vec::new();
    loop {
        let end = loop {
            if let Some(end) = read.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end + 4;
            }
            if stream.read_buf(&mut read).await.unwrap_or(0) == 0 {
                return;
            }
        };
        let head = String::from_utf8_lossy(&read[..end]).into_owned();
        read.drain(..end);
        heads.lock().unwrap().push(head.clone());
        let Some(text) = answer(&head) else { return };
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}
