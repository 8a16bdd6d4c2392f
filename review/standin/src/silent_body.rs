//! Some servers let a part of their requests hang in the middle of the answer.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::Fleet;
use crate::fleet::KEY;
use crate::fleet::Request;
use crate::fleet::exchange;
use crate::http::Connection;
use crate::record::Record;

const SERVERS: usize = 14;
const SLOTS: usize = 6;
/// Two of 14: a share of 0.143, below the default of 0.15.
const GREY: usize = 2;
/// Part of their requests that hangs; the default of `srv_grey`.
const HANGING: f64 = 0.4;
/// How long they do so; as in the site file.
const GREY_TIME: Duration = Duration::from_millis(6500);
const CLIENTS: usize = 76;
/// `timeoutMs` of the route, in seconds.
const TIMEOUT: f64 = 6.0;

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let Some(mut fleet) = Fleet::new(record) else {
        return Verdict::NotRun("no free subnet".into());
    };
    let zones = ["valparaiso", "rancagua"];
    for index in 0..4 {
        if !fleet.add_gateway(zones[index % 2]) {
            return Verdict::NotRun("a gateway didn't start".into());
        }
    }
    for index in 0..SERVERS {
        if !fleet.add_server("altas", zones[index % 2], SLOTS) {
            return Verdict::NotRun("a server didn't start".into());
        }
    }
    fleet.configure(7, &[("alta-linea", "unsafe", "altas", (TIMEOUT * 1000.0) as u64)]);
    if !fleet.wait_until_ready() {
        return Verdict::NotRun("the gateways didn't get ready".into());
    }
    std::thread::sleep(Duration::from_secs(5));

    let is_over = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let found = zones.map(|zone| fleet.gateways[0].resolve(zone));
    if found.iter().any(Vec::is_empty) {
        return Verdict::NotRun("the directory names nobody".into());
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, is_over, answers) = (record.clone(), is_over.clone(), answers.clone());
            let found = found[client % 2].clone();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(client as u64 * 12));
                for number in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    // Each request comes on a new connection, as those of alta-linea do.
                    let address = found[(client / 2 + number) % found.len()];
                    let Some(mut connection) = Connection::open(address) else { continue };
                    let request = Request {
                        id: format!("alta-{client}-{number}"),
                        method: "POST",
                        path: "/alta-linea/w1000-b5000-stream".into(),
                        deadline: Duration::from_secs(12),
                        key: KEY,
                        rate: None,
                        patience: Duration::from_secs(12),
                    };
                    let answer = exchange(&mut connection, &request, &record);
                    answers.lock().unwrap().push(answer);
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(6));
    let grey_at = record.now();
    if has_trouble {
        for server in &fleet.servers[..GREY] {
            server.set_hanging(HANGING);
            record.say(format!("server {} lets {HANGING} of its requests hang", server.name()));
        }
    }
    std::thread::sleep(GREY_TIME);
    fleet.servers.iter().for_each(|server| server.set_hanging(0.0));
    record.say("all servers finish their answers again");
    std::thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let answers = answers.lock().unwrap().clone();
    let took = |one: &crate::fleet::Answer| one.ended - one.sent;
    // At the time-out itself, an answer may be on its way.
    let longer: Vec<_> = answers.iter().filter(|one| took(one) > TIMEOUT - 0.05).collect();
    let unanswered = longer.iter().filter(|one| took(one) > TIMEOUT + 0.5).count();
    let whole = answers.iter().filter(|one| one.is_whole() && one.status == 200).count();
    let longest = answers.iter().map(took).fold(0.0, f64::max);
    record.say(format!(
        "servers turned grey at {grey_at:.3}; {} requests, {whole} served; {} lasted longer than timeoutMs, \
         {unanswered} of them had no final answer 0.5 s after it; the longest took {longest:.3} s",
        answers.len(),
        longer.len(),
    ));
    fleet.end(false);
    if whole < 100 {
        return Verdict::NotRun("too few requests were served".into());
    }
    let outcome = format!(
        "{unanswered} of {} requests had no final answer 0.5 s after their timeoutMs",
        longer.len()
    );
    if unanswered >= 8 && unanswered * 4 > longer.len() {
        return Verdict::Broken(format!("CONFIG: {outcome}"));
    }
    Verdict::Held(outcome)
}
