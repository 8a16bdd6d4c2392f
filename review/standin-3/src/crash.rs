//! An upload that crashes each server that begins to run it comes again and again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::http::Connection;
use crate::record::Record;
use crate::server::FATAL_PATH;
use crate::server::Manner;
use crate::site::BORN;
use crate::site::HOST;
use crate::site::KEY;
use crate::site::Site;
use crate::site::config;
use crate::site::entry;
use crate::site::rule;

const SERVERS: usize = 8;
/// Time for which a server is down after a crash.
const DOWN: Duration = Duration::from_secs(3);
/// How often the upload comes, and the time from one to the next.
const REPEATS: usize = 24;
const INTERVAL: Duration = Duration::from_millis(1500);
const LENGTH: usize = 150_000;
const DEADLINE: Duration = Duration::from_secs(8);
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Bytes of a packet, and the most that arrive together.
const PACKET: usize = 1400;
const MOST_PACKETS: usize = 10;
/// Pause between two such pieces.
const PIECE_PAUSE: Duration = Duration::from_millis(2);
/// Retries that the rule allows.
const ALLOWED: usize = 3;
/// Clients beside it, and the pause between their requests.
const CLIENTS: usize = 12;
const PAUSE: Duration = Duration::from_millis(150);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let rules = [rule("/frames/", "upload", "skyframe", 6000)];
    let config = config(7, &rules, &["skyframe"]);
    let manner = if trouble { Manner::Fragile(DOWN) } else { Manner::Sound };
    let servers = [("skyframe", Duration::from_millis(390), manner); SERVERS];
    let Some(site) = Site::start(record, config, 3, &servers) else { return Verdict::NotRun };
    let hosts: Vec<_> = site.gateways.iter().map(|gateway| gateway.caller()).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    register_returns(&site, &is_over);
    let answers = Arc::new(Mutex::new(Vec::new()));
    for number in 0..CLIENTS {
        let (hosts, is_over, answers) = (hosts.clone(), is_over.clone(), answers.clone());
        let record = record.clone();
        thread::spawn(move || {
            for index in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("u{number}-{index}");
                let body = vec![index as u8; 4000];
                let host = hosts[(number + index) % hosts.len()];
                let status = upload(host, "/frames/sky", &id, &body, &Link::default());
                let status = status.unwrap_or_default();
                if status != 200 {
                    record.line(format!("client: {id} to {host}: answer {status}"));
                }
                answers.lock().unwrap().push(status);
                thread::sleep(PAUSE);
            }
        });
    }
    thread::sleep(Duration::from_secs(2));
    let body: Vec<u8> = (0..LENGTH).map(|at| (at * 31 + at / 251) as u8).collect();
    for index in 0..REPEATS {
        let begun = Instant::now();
        let (id, host) = (format!("torn-{index:02}"), hosts[index % hosts.len()]);
        let link = Link { seed: index as u64 + 1 };
        let status = upload(host, FATAL_PATH, &id, &body, &link).unwrap_or_default();
        record.line(format!("client: {id} to {host}: answer {status}"));
        thread::sleep(INTERVAL.saturating_sub(begun.elapsed()));
    }
    is_over.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(1));
    let runs = site.runs.lock().unwrap();
    let fatal: Vec<_> = runs.iter().filter(|run| run.id.starts_with("torn-")).collect();
    let answers = answers.lock().unwrap();
    let count = |status: u16| answers.iter().filter(|answer| **answer == status).count();
    record
        .line(format!("the upload came {REPEATS} times and reached servers {} times", fatal.len()));
    let bound = fatal.get(2).map(|third| third.at + STABLE_WINDOW).filter(|_| trouble);
    let late = bound.map_or(0, |bound| fatal.iter().filter(|run| run.at > bound).count());
    if trouble {
        record.line(format!("{late} of them later than 3 s after it had crashed the third"));
    }
    record.line(format!(
        "{} other uploads: {} answered 200, {} refused with 503, {} failed with 502 or 504",
        answers.len(),
        count(200),
        count(503),
        count(502) + count(504)
    ));
    if count(200) == 0 {
        return Verdict::NotRun;
    }
    if late > ALLOWED { Verdict::Broken } else { Verdict::Held }
}

/// Writes the entry of each server that is back after a crash.
fn register_returns(site: &Site, is_over: &Arc<AtomicBool>) {
    let (store, servers, is_over) = (site.store.clone(), site.servers.clone(), is_over.clone());
    thread::spawn(move || {
        let mut known = vec![0; servers.len()];
        while !is_over.load(Ordering::Relaxed) {
            for (index, server) in servers.iter().enumerate() {
                let returns = server.returns();
                if std::mem::replace(&mut known[index], returns) != returns {
                    let born = BORN + 1000 * returns as u64;
                    store.put("servers", &server.id, entry(server, "skyframe", index, born));
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
    });
}

/// A link of about 28 Mbit/s. How many packets arrive together is drawn, as it differs with each upload.
#[derive(Clone, Debug, Default)]
struct Link {
    seed: u64,
}

impl Link {
    /// Returns the lengths in which a body arrives.
    fn pieces(&self, mut left: usize) -> Vec<usize> {
        let (mut state, mut pieces) = (self.seed, Vec::new());
        while left > 0 {
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            let packets = 1 + (state >> 33) as usize % MOST_PACKETS;
            let piece = left.min(packets * PACKET);
            pieces.push(piece);
            left -= piece;
        }
        pieces
    }
}

/// Sends an upload over a new connection; returns the status of a whole answer.
fn upload(host: SocketAddr, path: &str, id: &str, body: &[u8], link: &Link) -> Option<u16> {
    let mut connection = Connection::connect(host).ok()?;
    connection.set_timeout(DEADLINE);
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Chicoryloom-Attempt-Id: {id}\r\n\
         X-Chicoryloom-Deadline-Remaining-Ms: 8000\r\nApi-Key: {KEY}\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    connection.write(head.as_bytes()).ok()?;
    let mut from = 0;
    for piece in link.pieces(body.len()) {
        connection.write(&body[from..from + piece]).ok()?;
        from += piece;
        thread::sleep(PIECE_PAUSE);
    }
    let head = connection.read_head().ok()??;
    connection.read_body(&head).ok()?;
    Some(head.status())
}
