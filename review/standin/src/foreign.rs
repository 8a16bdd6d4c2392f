//! Another writer puts an entry beside those of the servers, and servers are replaced later.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::Answer;
use crate::fleet::Fleet;
use crate::fleet::KEY;
use crate::fleet::Request;
use crate::fleet::exchange;
use crate::record::Record;

const DRAIN_TIMEOUT: f64 = 2.0;
const ZONES: [&str; 2] = ["valparaiso", "rancagua"];
/// Servers at first, and how many of them are replaced: a share of 0.43.
const SERVERS: usize = 7;
const REPLACED: usize = 3;

/// Clients that send requests until they are told to stop.
struct Clients {
    stopped: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<Vec<Answer>>>,
}

impl Clients {
    fn start(name: &'static str, addresses: &[SocketAddr], record: &Record) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let threads = (0..8usize)
            .map(|client| {
                let (stopped, record) = (stopped.clone(), record.clone());
                let address = addresses[client % addresses.len()];
                std::thread::spawn(move || {
                    let mut answers = Vec::new();
                    while !stopped.load(Ordering::Relaxed) {
                        let request = Request {
                            id: format!("{name}-{client}-{}", answers.len()),
                            method: "POST",
                            path: "/alta-linea/w150-b1000-plain".into(),
                            deadline: Duration::from_secs(12),
                            key: KEY,
                            rate: None,
                            patience: Duration::from_secs(12),
                        };
                        if let Some(mut connection) = crate::http::Connection::open(address) {
                            answers.push(exchange(&mut connection, &request, &record));
                        }
                        std::thread::sleep(Duration::from_millis(50));
                    }
                    answers
                })
            })
            .collect();
        Self { stopped, threads }
    }

    fn stop(self) -> Vec<Answer> {
        self.stopped.store(true, Ordering::Relaxed);
        self.threads.into_iter().flat_map(|one| one.join().unwrap_or_default()).collect()
    }
}

fn served(answers: &[Answer]) -> usize {
    answers.iter().filter(|one| one.status == 200 && one.is_whole()).count()
}

/// Writes an entry as another writer may leave it: a text in Latin-1, which is no UTF-8. With
/// READABLE=1, it is one that can be read, with a field missing and one of another type.
fn write_foreign(fleet: &Fleet) {
    let is_readable = std::env::var("READABLE").is_ok_and(|value| value == "1");
    let zone: &[u8] = if is_readable { b"Valparaiso" } else { b"Valpara\xedso" };
    let fields = [
        b"\"specification\":{\"information\":{\"service\":\"altas\",\"zone\":\"",
        zone,
        b"\",\"slots\":\"seis\"},\"status\":{\"state\":\"ready\"}},\"status\":null",
    ]
    .concat();
    let revision = fleet.store.put("servers", "inventory-import", fields);
    fleet.record.say(format!("another writer's entry is in the store at {revision}"));
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let Some(mut fleet) = Fleet::new(record) else {
        return Verdict::NotRun("no free subnet".into());
    };
    for index in 0..4 {
        if !fleet.add_gateway(ZONES[index % 2]) {
            return Verdict::NotRun("a gateway didn't start".into());
        }
    }
    for index in 0..SERVERS {
        if !fleet.add_server("altas", ZONES[index % 2], 6) {
            return Verdict::NotRun("a server didn't start".into());
        }
    }
    fleet.configure(7, &[("alta-linea", "unsafe", "altas", 6000)]);
    if !fleet.wait_until_ready() {
        return Verdict::NotRun("the gateways didn't get ready".into());
    }
    std::thread::sleep(Duration::from_secs(5));
    let mut addresses = Vec::new();
    for zone in ZONES {
        addresses.extend(fleet.gateways[0].resolve(zone));
    }
    if addresses.is_empty() {
        return Verdict::NotRun("the directory names no machine".into());
    }
    let clients = Clients::start("alta", &addresses, record);
    std::thread::sleep(Duration::from_secs(2));
    if has_trouble {
        write_foreign(&fleet);
    }
    std::thread::sleep(Duration::from_secs(4));

    // The new servers start first, then the old ones drain.
    for index in 0..REPLACED {
        if !fleet.add_server("altas", ZONES[index % 2], 6) {
            return Verdict::NotRun("a server didn't start".into());
        }
    }
    std::thread::sleep(Duration::from_secs(1));
    let old: Vec<_> = fleet.servers[..REPLACED].to_vec();
    for (index, server) in old.iter().enumerate() {
        fleet.list(server, "altas", ZONES[index % 2], 6, "draining");
    }
    let drained = record.now();
    let old: Vec<_> = old.iter().map(|server| server.name()).collect();
    record.say(format!("the store has acknowledged that {old:?} are draining"));
    std::thread::sleep(Duration::from_secs(8));
    let answers = clients.stop();
    let runs = fleet.runs.lock().unwrap().clone();
    let late: Vec<_> = runs
        .iter()
        .filter(|run| old.contains(&run.server) && run.reached > drained + DRAIN_TIMEOUT)
        .collect();
    let last = late.iter().map(|run| run.reached - drained).fold(0.0, f64::max);
    let new: Vec<_> = fleet.servers[SERVERS..].iter().map(|server| server.name()).collect();
    let at_new = runs.iter().filter(|run| new.contains(&run.server)).count();
    record.say(format!(
        "{} of {} requests were served; {} reached a draining server later than 2 s after the \
         acknowledgement, the last one after {last:.1} s; the new servers got {at_new}",
        served(&answers),
        answers.len(),
        late.len()
    ));

    // Beyond the verdict: what the same entry does when all processes are started again.
    for gateway in &mut fleet.gateways {
        if !gateway.restart() {
            return Verdict::NotRun("a gateway didn't start again".into());
        }
    }
    record.say("all gateways were killed and started again");
    std::thread::sleep(Duration::from_secs(16));
    let clients = Clients::start("again", &addresses, record);
    std::thread::sleep(Duration::from_secs(5));
    let again = clients.stop();
    record.say(format!(
        "beyond the verdict: {} of {} requests sent later than 15 s after that were served",
        served(&again),
        again.len()
    ));
    fleet.end(false);
    if !late.is_empty() {
        return Verdict::Broken(format!("DRAIN: {} requests reached draining servers", late.len()));
    }
    Verdict::Held("no request reached a draining server later than 2 s".into())
}
