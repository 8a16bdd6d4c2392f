//! A version gives a key to another tenant while a machine stands still. Then the machine goes on, and finds
//! requests with that key that came meanwhile.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::Verdict;
use crate::http::Connection;
use crate::record::Record;
use crate::server::Manner;
use crate::site::HOST;
use crate::site::KEY;
use crate::site::Site;
use crate::site::config;
use crate::site::rule;

const ROUNDS: usize = 6;
/// Clients of a round, which have opened their connections before.
const CLIENTS: usize = 20;
/// Time for which the machine stands still.
const FREEZE: Duration = Duration::from_secs(4);
/// Time from its begin to the new version.
const CHANGE: Duration = Duration::from_millis(500);
/// Time from its begin to the first request of the clients, and from one request to the next.
const FIRST: Duration = Duration::from_millis(3000);
const STEP: Duration = Duration::from_millis(50);
const DEADLINE: Duration = Duration::from_secs(8);
/// Time after the acknowledgement of a version from which it is in force.
const CONFIG_APPLY: Duration = Duration::from_secs(2);
/// Clients of another tenant at each machine, and the pause between their requests.
const OTHERS: usize = 4;
const PAUSE: Duration = Duration::from_millis(25);
const OTHER_KEY: &str = "key-of-sese";
const TENANTS: [&str; 2] = ["yefi830", "yefi831"];

struct Sent {
    id: String,
    at: Instant,
    status: u16,
}

/// That a tenant holds the key.
struct Holder {
    tenant: &'static str,
    since: Instant,
}

/// Returns a version in which one of the two tenants holds the key.
fn version(number: u64, holder: &str) -> Value {
    let rules = [rule("/calib/", "unsafe", "meterbook", 6000)];
    let mut config = config(number, &rules, &["meterbook"]);
    let tenant = |name: &str, keys: Vec<&str>| json!({ "name": name, "apiKeys": keys, "priority": 0, "requestsPerS": 0, "burstSize": 0 });
    let mut tenants = vec![tenant("sese880", vec![OTHER_KEY])];
    for name in TENANTS {
        let own = format!("own-key-of-{name}");
        let keys = if name == holder { vec![own.as_str(), KEY] } else { vec![own.as_str()] };
        tenants.push(tenant(name, keys));
    }
    config["tenants"] = Value::Array(tenants);
    config
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let servers = [("meterbook", Duration::from_millis(50), Manner::Sound); 8];
    let first = version(7, TENANTS[0]);
    let Some(site) = Site::start(record, first, 3, &servers) else { return Verdict::NotRun };
    let is_over = Arc::new(AtomicBool::new(false));
    for (number, gateway) in site.gateways.iter().enumerate() {
        for client in 0..OTHERS {
            let (host, is_over) = (gateway.caller(), is_over.clone());
            thread::spawn(move || book_on(host, &format!("s{number}-{client}"), &is_over));
        }
    }
    thread::sleep(Duration::from_secs(2));
    let sent = Arc::new(Mutex::new(Vec::new()));
    let mut holders = vec![Holder { tenant: TENANTS[0], since: Instant::now() }];
    for round in 0..ROUNDS {
        let gateway = &site.gateways[round % site.gateways.len()];
        let host = gateway.caller();
        let open = |number| open(host, &format!("w{round}-{number}"));
        let connections: Vec<_> = (0..CLIENTS).filter_map(open).collect();
        let begun = Instant::now();
        if trouble {
            gateway.signal("STOP");
            record.line(format!("the machine of the gateway at {host} stands still"));
        }
        let due = begun + FIRST;
        let tasks: Vec<_> = connections
            .into_iter()
            .enumerate()
            .map(|(number, mut connection)| {
                let (sent, record) = (sent.clone(), record.clone());
                thread::spawn(move || {
                    wait_for(due + STEP * number as u32);
                    let (id, at) = (format!("c{round}-{number:02}"), Instant::now());
                    let status = book(&mut connection, &id, KEY).unwrap_or_default();
                    record.line(format!("client: {id} to {host}: answer {status}"));
                    sent.lock().unwrap().push(Sent { id, at, status });
                })
            })
            .collect();
        wait_for(begun + CHANGE);
        let (number, tenant) = (8 + round as u64, TENANTS[(round + 1) % 2]);
        let specification = version(number, tenant);
        let revision = site.store.put("config", "main", json!({ "specification": specification }));
        holders.push(Holder { tenant, since: Instant::now() });
        record.line(format!(
            "store: acknowledged r{number} at revision {revision}: the key belongs to {tenant}"
        ));
        wait_for(begun + FREEZE);
        if trouble {
            gateway.signal("CONT");
            record.line(format!("the machine of the gateway at {host} goes on"));
        }
        for task in tasks {
            let _ = task.join();
        }
        thread::sleep(Duration::from_secs(2));
    }
    is_over.store(true, Ordering::Relaxed);
    judge(record, &site, &sent.lock().unwrap(), &holders)
}

fn wait_for(moment: Instant) {
    thread::sleep(moment.saturating_duration_since(Instant::now()));
}

/// A request ran for a tenant that had not held its key since long before the request was sent.
fn judge(record: &Record, site: &Site, sent: &[Sent], holders: &[Holder]) -> Verdict {
    let runs = site.runs.lock().unwrap();
    let mut foreign = 0;
    for request in sent {
        let in_force = |holder: &&Holder| holder.since + CONFIG_APPLY <= request.at;
        let Some(holder) = holders.iter().rfind(in_force) else { continue };
        for run in runs.iter().filter(|run| run.id == request.id && run.tenant != holder.tenant) {
            foreign += 1;
            record.line(format!(
                "{}: sent {:.3} s after {} got the key, run for {} {:.3} s after it",
                run.id,
                request.at.duration_since(holder.since).as_secs_f64(),
                holder.tenant,
                run.tenant,
                run.at.duration_since(holder.since).as_secs_f64()
            ));
        }
    }
    let count = |status: u16| sent.iter().filter(|request| request.status == status).count();
    record.line(format!(
        "{} requests, {} answered 200, {} refused with 503, {} with 401; {foreign} run for a tenant \
         that doesn't hold the key",
        sent.len(),
        count(200),
        count(503),
        count(401)
    ));
    if sent.is_empty() {
        return Verdict::NotRun;
    }
    if foreign > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Returns a connection that has carried a request.
fn open(host: SocketAddr, id: &str) -> Option<Connection> {
    let mut connection = Connection::connect(host).ok()?;
    connection.set_timeout(DEADLINE);
    book(&mut connection, id, KEY)?;
    Some(connection)
}

/// Sends one request after the other until the case is over.
fn book_on(host: SocketAddr, name: &str, is_over: &AtomicBool) {
    let mut kept = None;
    for index in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let connection = kept.take().or_else(|| Connection::connect(host).ok());
        kept = connection.and_then(|mut connection| {
            connection.set_timeout(DEADLINE);
            book(&mut connection, &format!("{name}-{index}"), OTHER_KEY).map(|_| connection)
        });
        thread::sleep(PAUSE);
    }
}

/// Sends a request; returns the status of a whole answer.
fn book(connection: &mut Connection, id: &str, key: &str) -> Option<u16> {
    let head = format!(
        "POST /calib/new HTTP/1.1\r\nHost: {HOST}\r\nX-Chicoryloom-Attempt-Id: {id}\r\n\
         X-Chicoryloom-Deadline-Remaining-Ms: 8000\r\nApi-Key: {key}\r\nContent-Length: 4\r\n\r\nbook"
    );
    connection.write(head.as_bytes()).ok()?;
    let head = connection.read_head().ok()??;
    connection.read_body(&head).ok()?;
    Some(head.status())
}
