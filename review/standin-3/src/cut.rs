//! The store cuts off waiting watches, while servers leave whose entries are removed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
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
const CUT_INTERVAL: Duration = Duration::from_millis(700);
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(40);
const SERVERS: usize = 44;
const REMOVALS: usize = 38;
const REMOVAL_INTERVAL: Duration = Duration::from_millis(2450);
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2000);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let rules = [rule("/state/", "safe", "nightlog", 3000)];
    let config = config(7, &rules, &["nightlog"]);
    let work = Duration::from_millis(5);
    let servers = [("nightlog", work, Manner::Sound); SERVERS];
    let Some(site) = Site::start(record, config, 3, &servers) else { return Verdict::NotRun };
    let is_over = Arc::new(AtomicBool::new(false));
    for (number, gateway) in site.gateways.iter().enumerate() {
        for client in 0..CLIENTS {
            let (host, is_over) = (gateway.caller(), is_over.clone());
            thread::spawn(move || ask(host, &format!("s{number}-{client}"), &is_over));
        }
    }
    if trouble {
        let (store, is_over, record) = (site.store.clone(), is_over.clone(), record.clone());
        thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                thread::sleep(CUT_INTERVAL);
                store.cut_watches();
            }
            record.line("store: cuts no more watches");
        });
    }
    thread::sleep(Duration::from_secs(2));
    // Servers leave for good, one after the other.
    let mut removals: Vec<(String, Instant)> = Vec::new();
    for server in &site.servers[..REMOVALS] {
        site.store.delete("servers", &server.id);
        record.line(format!("store: acknowledged that the entry of {} is removed", server.id));
        removals.push((server.id.clone(), Instant::now()));
        thread::sleep(REMOVAL_INTERVAL);
    }
    let runs: Vec<_> = site.runs.lock().unwrap().clone();
    let served = runs.len();
    let mut late = 0;
    for (server, at) in &removals {
        let bound = *at + DRAIN_TIMEOUT;
        for run in runs.iter().filter(|run| run.server == *server && run.at > bound) {
            late += 1;
            record.line(format!(
                "server {server} ran {} from {:?} {:.3} s after its removal",
                run.id,
                run.from,
                run.at.duration_since(*at).as_secs_f64()
            ));
        }
    }
    is_over.store(true, Ordering::Relaxed);
    record.line(format!("{served} requests ran, {late} of them at servers that had left"));
    if served == 0 {
        return Verdict::NotRun;
    }
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Sends one request after the other until the case is over.
fn ask(host: SocketAddr, name: &str, is_over: &AtomicBool) {
    let mut kept = None;
    for index in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let connection = kept.take().or_else(|| Connection::connect(host).ok());
        kept = connection.and_then(|connection| read(connection, &format!("{name}-{index}")));
        thread::sleep(PAUSE);
    }
}

/// Sends a request; returns the connection if it got a whole answer.
fn read(mut connection: Connection, id: &str) -> Option<Connection> {
    connection.set_timeout(Duration::from_secs(4));
    let head = format!(
        "GET /state/now HTTP/1.1\r\nHost: {HOST}\r\nX-Chicoryloom-Attempt-Id: {id}\r\n\
         X-Chicoryloom-Deadline-Remaining-Ms: 3000\r\nApi-Key: {KEY}\r\n\r\n"
    );
    connection.write(head.as_bytes()).ok()?;
    let head = connection.read_head().ok()??;
    connection.read_body(&head).ok()?;
    Some(connection)
}
