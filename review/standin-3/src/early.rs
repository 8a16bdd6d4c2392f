//! A server answers an upload before it has read the body, keeps the connection and reads on.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::http::Connection;
use crate::record::Record;
use crate::server::Manner;
use crate::site::HOST;
use crate::site::KEY;
use crate::site::Site;
use crate::site::config;
use crate::site::rule;

const UPLOADERS: usize = 8;
const UPLOADS: usize = 5;
const LENGTH: usize = 600_000;
const PIECE: usize = 20_000;
const PIECE_PAUSE: Duration = Duration::from_millis(60);

/// An upload as its client saw it.
struct Upload {
    id: String,
    body: Vec<u8>,
    is_sent: bool,
    status: u16,
}

fn body(seed: usize) -> Vec<u8> {
    (0..LENGTH).map(|at| (at * 31 + at / 251 + seed) as u8).collect()
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let rules =
        [rule("/frames/", "upload", "skyframe", 6000), rule("/state/", "safe", "skyframe", 4000)];
    let config = config(7, &rules, &["skyframe"]);
    let manner = if trouble { Manner::Early(64 * 1024) } else { Manner::Sound };
    let work = Duration::from_millis(30);
    let servers = [("skyframe", work, manner), ("skyframe", work, Manner::Sound)];
    let Some(site) = Site::start(record, config, 3, &servers) else { return Verdict::NotRun };
    let hosts: Vec<_> = site.gateways.iter().map(|gateway| gateway.caller()).collect();
    let uploads = Arc::new(Mutex::new(Vec::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut tasks = Vec::new();
    for number in 0..UPLOADERS {
        let (hosts, uploads, record) = (hosts.clone(), uploads.clone(), record.clone());
        tasks.push(thread::spawn(move || {
            for index in 0..UPLOADS {
                let id = format!("u{number}-{index}");
                let body = body(number * 100 + index);
                let host = hosts[(number + index) % hosts.len()];
                let (is_sent, status) = upload(host, &id, &body);
                record.line(format!(
                    "client: {id} to {host}: body sent {}, answer {status}",
                    if is_sent { "whole" } else { "in part" }
                ));
                uploads.lock().unwrap().push(Upload { id, body, is_sent, status });
            }
        }));
    }
    // Other requests of the same service.
    for (number, host) in hosts.iter().copied().enumerate() {
        let (is_over, record) = (is_over.clone(), record.clone());
        thread::spawn(move || {
            for index in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("s{number}-{index}");
                let status = read(host, &id).unwrap_or_default();
                if status != 200 {
                    record.line(format!("client: {id} to {host}: answer {status}"));
                }
                thread::sleep(Duration::from_millis(150));
            }
        });
    }
    for task in tasks {
        let _ = task.join();
    }
    is_over.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(3));
    judge(record, &site, &uploads.lock().unwrap())
}

fn head(method: &str, path: &str, id: &str, length: usize) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Chicoryloom-Attempt-Id: {id}\r\n\
         X-Chicoryloom-Deadline-Remaining-Ms: 8000\r\nApi-Key: {KEY}\r\n\
         Content-Length: {length}\r\n\r\n"
    )
}

/// Sends a body evenly, and then reads the answer; returns whether the body was sent whole.
fn upload(host: std::net::SocketAddr, id: &str, body: &[u8]) -> (bool, u16) {
    let Ok(mut connection) = Connection::connect(host) else { return (false, 0) };
    connection.set_timeout(Duration::from_secs(8));
    let mut is_sent =
        connection.write(head("POST", "/frames/sky", id, body.len()).as_bytes()).is_ok();
    for piece in body.chunks(PIECE) {
        is_sent = is_sent && connection.write(piece).is_ok();
        if !is_sent {
            break;
        }
        thread::sleep(PIECE_PAUSE);
    }
    let answer = connection.read_head().ok().flatten();
    let status = answer.and_then(|head| {
        let status = head.status();
        connection.read_body(&head).ok().map(|_| status)
    });
    // Leaves the gateway time to pass on the rest.
    thread::sleep(Duration::from_millis(500));
    (is_sent, status.unwrap_or_default())
}

fn read(host: std::net::SocketAddr, id: &str) -> Option<u16> {
    let mut connection = Connection::connect(host).ok()?;
    connection.set_timeout(Duration::from_secs(5));
    connection.write(head("GET", "/state/now", id, 0).as_bytes()).ok()?;
    let head = connection.read_head().ok()??;
    connection.read_body(&head).ok()?;
    Some(head.status())
}

/// A request ran with another body than its client sent.
fn judge(record: &Record, site: &Site, uploads: &[Upload]) -> Verdict {
    let runs = site.runs.lock().unwrap();
    let mut broken = 0;
    for upload in uploads {
        for run in runs.iter().filter(|run| run.id == upload.id) {
            if run.body != upload.body {
                broken += 1;
                record.line(format!(
                    "{}: the client sent {} bytes ({}) and got {}; server {} ran it with {} of them",
                    upload.id,
                    upload.body.len(),
                    if upload.is_sent { "all" } else { "in part" },
                    upload.status,
                    run.server,
                    run.body.len()
                ));
            }
        }
    }
    let answered = uploads.iter().filter(|upload| upload.status == 200).count();
    record
        .line(format!("{} uploads, {answered} answered 200, {broken} ran cut off", uploads.len()));
    if answered == 0 {
        return Verdict::NotRun;
    }
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}
