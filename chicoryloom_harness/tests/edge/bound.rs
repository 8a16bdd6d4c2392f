//! Bounds on heads, bodies and connections.

use std::net::SocketAddr;

use chicoryloom_harness::until;
use chicoryloom_standin::target::Outcome;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::Edge;
use crate::support::raw;

const ROUTES: &str = "  - { name: all, path: / }";
/// Length of a long body, in bytes.
const LONG: u64 = 128 * 1024 * 1024;

#[tokio::test]
async fn too_long_head_is_refused() {
    let edge = Edge::start("proxy: { header_bytes: 8192 }", ROUTES).await;
    let headers = format!("host: h\r\nconnection: close\r\nx-long: {}\r\n", "x".repeat(9000));
    let answer = edge.raw("GET /calendar/long HTTP/1.1", &headers).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    assert!(answer.contains("chicory-run: not-run"), "{answer}");
}

#[tokio::test]
async fn announced_body_past_the_bound_is_not_run() {
    let edge = Edge::start("proxy: { body_bytes: 100000 }", ROUTES).await;
    let body = "x".repeat(2_000_000);
    let url = edge.url("/announced");
    let request = edge.fleet.client().post(url).bearer_auth(&edge.key).body(body);
    let answer = request.send().await.unwrap();
    assert_eq!(answer.status(), 413);
    assert_eq!(answer.headers()["chicory-run"], "not-run");
    let runs = edge.fleet.journals().await.unwrap();
    assert!(!runs.iter().any(|run| run.path == "/announced"));
}

/// A close with unread bytes would reset the connection and take the refusal with it.
#[tokio::test]
async fn refusal_reaches_a_caller_that_sends_its_whole_body_first() {
    let edge = Edge::start("proxy: { body_bytes: 100000 }", ROUTES).await;
    let body = "x".repeat(8_000_000);
    let headers = format!("host: h\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    let answer = edge.raw("POST /calendar/whole HTTP/1.1", &headers).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(answer.contains("chicory-run: not-run"), "{answer}");
}

#[tokio::test]
async fn body_that_passes_the_bound_midway_is_unknown() {
    let edge = Edge::start("proxy: { body_bytes: 100000 }", ROUTES).await;
    let chunk = format!("8000\r\n{}\r\n", "x".repeat(0x8000));
    let headers = "host: h\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n";
    let text = format!("{headers}{}0\r\n\r\n", chunk.repeat(8));
    let answer = edge.raw("POST /calendar/midway HTTP/1.1", &text).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(answer.contains("chicory-run: unknown"), "{answer}");
    let runs = edge.fleet.journals().await.unwrap();
    let done = |run: &&chicoryloom_standin::target::Run| run.outcome == Outcome::Done;
    let whole = runs.iter().filter(|run| run.path == "/midway").filter(done).count();
    assert_eq!(whole, 0, "a cut body was taken for a whole one");
}

#[tokio::test]
async fn body_that_pauses_ends_with_a_refusal() {
    let edge = Edge::start("proxy: { idle_timeout_ms: 300 }", ROUTES).await;
    let headers = "host: h\r\nconnection: close\r\ncontent-length: 10\r\n\r\nhalf";
    let answer = edge.raw("POST /calendar/paused HTTP/1.1", headers).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(answer.contains("chicory-run: not-run"), "{answer}");
    assert!(answer.contains("paused"), "{answer}");
    let runs = edge.fleet.journals().await.unwrap();
    assert!(runs.iter().all(|run| run.path != "/paused"), "a target saw the request");
}

#[tokio::test]
async fn answer_past_its_deadline_is_unknown() {
    let routes = "  - { name: all, path: /, deadline_ms: 300 }";
    let edge = Edge::start("", routes).await;
    let slow = chicoryloom_standin::target::Switches {
        // The target does not know that it is slow, so it can't refuse the deadline.
        slow_factor: 100_000.0,
        ..edge.fleet.targets[0].switches.clone()
    };
    edge.fleet.switch_target(0, &slow).await.unwrap();
    let request = edge.fleet.client().get(edge.url("/slow")).bearer_auth(&edge.key);
    let answer = request.send().await.unwrap();
    assert_eq!(answer.status(), 504);
    assert_eq!(answer.headers()["chicory-run"], "unknown");
}

#[tokio::test]
async fn slow_head_ends_the_connection() {
    let edge = Edge::start("proxy: { header_timeout_ms: 300 }", ROUTES).await;
    let answer = raw(edge.caller(), b"GET /calendar/a HTTP/1.1\r\nhost: h\r\n").await;
    assert_eq!(answer, "", "a request without an end got an answer");
}

#[tokio::test]
async fn connection_past_the_cap_is_told_so() {
    let edge = Edge::start("proxy: { connections: 2 }", ROUTES).await;
    until("the cap is free of earlier connections", async || {
        open(edge.caller(), &edge.key).await.1.starts_with("HTTP/1.1 200")
    })
    .await;
    until("a connection is refused", async || {
        let (_held, answer) = open(edge.caller(), &edge.key).await;
        let (_second, second) = open(edge.caller(), &edge.key).await;
        let (_third, third) = open(edge.caller(), &edge.key).await;
        [answer, second, third].iter().any(|answer| {
            answer.starts_with("HTTP/1.1 503")
                && answer.contains("chicory-run: not-run")
                && answer.contains("\"code\":\"busy\"")
                && answer.contains("retry-after: 1")
        })
    })
    .await;
    until("connections are taken again", async || {
        open(edge.caller(), &edge.key).await.1.starts_with("HTTP/1.1 200")
    })
    .await;
}

/// Sends a request on a new connection and keeps it open.
async fn open(address: SocketAddr, key: &str) -> (TcpStream, String) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let text =
        format!("GET /calendar/a HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {key}\r\n\r\n");
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut bytes = vec![0; 4096];
    let length = stream.read(&mut bytes).await.unwrap_or(0);
    (stream, String::from_utf8_lossy(&bytes[..length]).into_owned())
}

#[tokio::test]
async fn long_bodies_stream_both_ways_within_flat_memory() {
    // The default deadline is too short for the bodies on a busy machine.
    let edge = Edge::start("", "  - { name: all, path: /, deadline_ms: 60000 }").await;
    let before = edge.memory();
    let url = edge.url(&format!("/bytes/7/{LONG}"));
    let mut answer = edge.fleet.client().get(url).bearer_auth(&edge.key).send().await.unwrap();
    let mut received = 0;
    while let Some(piece) = answer.chunk().await.unwrap() {
        received += piece.len() as u64;
    }
    assert_eq!(received, LONG);
    let body = vec![b'x'; LONG as usize];
    let request = edge.fleet.client().post(edge.url("/upload")).bearer_auth(&edge.key).body(body);
    let sent = request.send().await.unwrap();
    assert_eq!(sent.status(), 200);
    let grown = edge.memory() - before;
    assert!(grown < LONG / 4, "memory grew by {grown} bytes");
}

#[tokio::test]
async fn caller_that_stops_reading_frees_its_target() {
    let edge = Edge::start("proxy: { idle_timeout_ms: 300 }", ROUTES).await;
    let mut stream = TcpStream::connect(edge.caller()).await.unwrap();
    let key = &edge.key;
    let text = format!(
        "GET /calendar/bytes/7/{LONG} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {key}\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).await.unwrap();
    // The one connection to the target, idle before, carries the answer and is then closed.
    until("the connection to the target is closed", async || {
        edge.fleet.target_counts(0).await.unwrap().connections_open == 0
    })
    .await;
    let runs = edge.fleet.journals().await.unwrap();
    assert!(runs.iter().any(|run| run.path.starts_with("/bytes/")));
}
