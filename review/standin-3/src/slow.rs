//! A machine that is stopped takes the first long downloads of a route, whose clients read slowly.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::http::Connection;
use crate::record::Record;
use crate::server::Manner;
use crate::site::HOST;
use crate::site::KEY;
use crate::site::Site;
use crate::site::config;
use crate::site::rule;

const CLIENTS: usize = 4;
/// Time from SIGTERM to the requests; clients keep a resolution for up to three seconds.
const DELAY: Duration = Duration::from_millis(500);
const LENGTH: usize = 20_000_000;
const RECEIVE_BUFFER: i32 = 32 * 1024;
/// Time in which a client reads its answer.
const READING_TIME: Duration = Duration::from_millis(7400);
const STEPS: usize = 66;
const TIMEOUT: Duration = Duration::from_secs(8);
const GRACE: Duration = Duration::from_secs(6);

struct Download {
    id: String,
    sent: Instant,
    ended: Instant,
    status: u16,
    bytes: usize,
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let rules = [rule("/manuals/", "download", "library", TIMEOUT.as_millis() as u64)];
    let config = config(7, &rules, &["library"]);
    let (work, manner) = (Duration::from_millis(130), Manner::Long(LENGTH));
    let servers = [("library", work, manner), ("library", work, manner)];
    let Some(site) = Site::start(record, config, 3, &servers) else { return Verdict::NotRun };
    let host = site.gateways[0].caller();
    let stopped = Instant::now();
    if trouble {
        site.gateways[0].signal("TERM");
        record.line(format!("SIGTERM to the gateway at {host}"));
    }
    thread::sleep(DELAY);
    let tasks: Vec<_> = (0..CLIENTS)
        .map(|number| thread::spawn(move || download(host, format!("d{number}"))))
        .collect();
    let downloads: Vec<_> = tasks.into_iter().filter_map(|task| task.join().ok()).collect();
    let runs = site.runs.lock().unwrap();
    let mut broken = 0;
    for Download { id, sent, ended, status, bytes } in &downloads {
        let took = ended.duration_since(*sent);
        let answered = runs.iter().find(|run| run.id == *id).and_then(|run| run.answered);
        let answered = answered.map(|at| at.duration_since(stopped));
        // A server that is at work in the last sixth of the grace period excuses the cut.
        let is_server_done = answered.is_some_and(|at| at < GRACE * 5 / 6);
        let is_cut = *status == 200 && *bytes < LENGTH && took < TIMEOUT && is_server_done;
        broken += usize::from(is_cut);
        record.line(format!(
            "client: {id}: answer {status}, {bytes} of {LENGTH} bytes in {:.3} s; \
             its server had answered {:?} after SIGTERM",
            took.as_secs_f64(),
            answered
        ));
    }
    record.line(format!("{} downloads, {broken} cut off", downloads.len()));
    if downloads.iter().all(|download| download.status == 0) {
        return Verdict::NotRun;
    }
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Reads a download evenly.
fn download(host: SocketAddr, id: String) -> Download {
    let sent = Instant::now();
    let (status, bytes) = read_slowly(host, &id, sent).unwrap_or_default();
    Download { id, sent, ended: Instant::now(), status, bytes }
}

fn read_slowly(host: SocketAddr, id: &str, sent: Instant) -> Option<(u16, usize)> {
    let mut connection = Connection::connect(host).ok()?;
    connection.set_receive_buffer(RECEIVE_BUFFER);
    connection.set_timeout(TIMEOUT);
    let head = format!(
        "GET /manuals/rescue HTTP/1.1\r\nHost: {HOST}\r\nX-Chicoryloom-Attempt-Id: {id}\r\n\
         X-Chicoryloom-Deadline-Remaining-Ms: 8000\r\nApi-Key: {KEY}\r\n\r\n"
    );
    connection.write(head.as_bytes()).ok()?;
    let head = connection.read_head().ok()??;
    let length = head.length()?;
    let mut bytes = 0;
    for step in 1..=STEPS {
        let due = length * step / STEPS;
        while bytes < due {
            match connection.read_some(due - bytes) {
                Ok(some) if !some.is_empty() => bytes += some.len(),
                _ => return Some((head.status(), bytes)),
            }
        }
        let at = sent + READING_TIME * step as u32 / STEPS as u32;
        thread::sleep(at.saturating_duration_since(Instant::now()));
    }
    Some((head.status(), bytes))
}
