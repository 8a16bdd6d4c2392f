//! The machines near some clients leave, so that the clients get no new answer from the directory. Then
//! a machine is stopped that they use.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::fleet::Answer;
use crate::fleet::Fleet;
use crate::fleet::KEY;
use crate::fleet::Request;
use crate::fleet::Signal;
use crate::fleet::exchange;
use crate::http::Connection;
use crate::record::Record;

const SERVERS: usize = 13;
const SLOTS: usize = 6;
/// Requests a second. Each takes 2 s of work; those of alta-linea take 0.46 s on average and 3.5 s at most.
const ARRIVALS: f64 = 30.0;
/// Data centres of the machines. The clients are in the first one, whose three machines they ask.
const ZONES: [&str; 5] = ["valparaiso", "valparaiso", "valparaiso", "rancagua", "rancagua"];
const NEAR: usize = 3;
/// When each machine gets SIGTERM, in seconds: three leave, and one of the others is stopped later.
const STOPS: [Option<f64>; 5] = [Some(0.0), Some(1.0), Some(2.0), Some(12.0), None];
/// `gracePeriodS` and `lossSlackMs`, in seconds.
const GRACE: f64 = 6.0;
const LOSS_SLACK: f64 = 0.2;

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let Some(mut fleet) = Fleet::new(record) else {
        return Verdict::NotRun("no free subnet".into());
    };
    for zone in ZONES {
        if !fleet.add_gateway(zone) {
            return Verdict::NotRun("a gateway didn't start".into());
        }
    }
    for index in 0..SERVERS {
        if !fleet.add_server("altas", ["valparaiso", "rancagua"][index % 2], SLOTS) {
            return Verdict::NotRun("a server didn't start".into());
        }
    }
    fleet.configure(7, &[("alta-linea", "unsafe", "altas", 6000)]);
    if !fleet.wait_until_ready() {
        return Verdict::NotRun("the gateways didn't get ready".into());
    }
    std::thread::sleep(Duration::from_secs(5));

    // What the directory named last. Clients keep it while they can't get a new answer.
    let named: Arc<Mutex<Vec<SocketAddr>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(Vec::<(SocketAddr, Answer)>::new()));
    let look_up = |fleet: &Fleet| {
        // Up to three machines are asked, the nearest first.
        let near = fleet.gateways.iter().take(NEAR);
        match near.map(|one| one.resolve(ZONES[0])).find(|one| !one.is_empty()) {
            Some(found) => *named.lock().unwrap() = found,
            None => record.add("a look-up fails"),
        }
    };
    look_up(&fleet);
    if named.lock().unwrap().is_empty() {
        return Verdict::NotRun("the directory names nobody".into());
    }
    let arrivals = {
        let (record, is_over, answers) = (record.clone(), is_over.clone(), answers.clone());
        let named = named.clone();
        std::thread::spawn(move || {
            let begun = Instant::now();
            let mut clients = Vec::new();
            for number in 0usize.. {
                let due = begun + Duration::from_secs_f64(number as f64 / ARRIVALS);
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                if is_over.load(Ordering::Relaxed) {
                    break;
                }
                // Each request is another client's, on a new connection.
                let address = {
                    let named = named.lock().unwrap();
                    named[number % named.len()]
                };
                let (record, answers) = (record.clone(), answers.clone());
                clients.push(std::thread::spawn(move || {
                    let Some(mut connection) = Connection::open(address) else { return };
                    let request = Request {
                        id: format!("alta-{number}"),
                        method: "POST",
                        path: "/alta-linea/w2000-b5000-plain".into(),
                        deadline: Duration::from_secs(12),
                        key: KEY,
                        rate: None,
                        patience: Duration::from_secs(12),
                    };
                    let answer = exchange(&mut connection, &request, &record);
                    answers.lock().unwrap().push((address, answer));
                }));
            }
            clients.into_iter().for_each(|client| drop(client.join()));
        })
    };
    std::thread::sleep(Duration::from_secs(4));
    let begun = record.now();
    let count = fleet.gateways.len();
    // When each machine got its signal, in seconds since the start.
    let mut stopped = vec![f64::INFINITY; count];
    let mut looked_up = begun;
    let last = STOPS.into_iter().flatten().fold(0.0, f64::max);
    while record.now() < begun + last + GRACE + 1.0 {
        let now = record.now();
        for index in 0..count {
            let is_due = STOPS[index].is_some_and(|after| now >= begun + after);
            if has_trouble && stopped[index].is_infinite() && is_due {
                fleet.gateways[index].signal(Signal::Term);
                stopped[index] = now;
                record.say(format!("SIGTERM to {}", fleet.gateways[index].name));
            }
            if stopped[index].is_finite()
                && !fleet.gateways[index].has_ended(record)
                && now >= stopped[index] + GRACE
            {
                fleet.gateways[index].signal(Signal::Kill);
                record.say("SIGKILL at the end of the grace period");
            }
        }
        if now >= looked_up + 1.0 {
            looked_up = now;
            look_up(&fleet);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    is_over.store(true, Ordering::Relaxed);
    let _ = arrivals.join();
    let answers = answers.lock().unwrap().clone();
    let runs = fleet.runs.lock().unwrap().clone();
    let (mut lost, mut excused) = (0, 0);
    for (address, answer) in &answers {
        let index = fleet.gateways.iter().position(|one| one.caller() == *address).unwrap_or(0);
        let signal = stopped[index];
        let is_around = answer.ended >= signal && answer.sent <= signal + GRACE + 1.0;
        if !is_around || answer.is_whole() {
            continue;
        }
        let run = runs.iter().find(|run| run.id == answer.id);
        // It counts once it has been passed on to a server, or later than the slack.
        if run.is_none() && answer.ended - answer.sent <= LOSS_SLACK {
            continue;
        }
        // Excused: a server was still at work in the last sixth of the grace period on a request that
        // was sent no later than 3 s after the signal.
        let last_sixth = signal + GRACE * 5.0 / 6.0;
        let is_at_work = run.is_some_and(|run| run.worked.is_none_or(|done| done >= last_sixth));
        if is_at_work && answer.sent <= signal + 3.0 {
            excused += 1;
            continue;
        }
        record.say(format!(
            "{}: sent {:.3} s after SIGTERM, the connection ended {:.3} s after it without an answer; {}",
            answer.id,
            answer.sent - signal,
            answer.ended - signal,
            run.map_or("no server had begun it".into(), |run| format!("it ran at {}", run.server)),
        ));
        lost += 1;
    }
    let count = |status: u16| answers.iter().filter(|(_, one)| one.status == status).count();
    record.say(format!(
        "{} requests: {} served, {} refused with 503, {lost} lost, {excused} excused",
        answers.len(),
        count(200),
        count(503),
    ));
    for gateway in &fleet.gateways {
        if let Some(line) = gateway.log().lines().find(|line| line.contains("requests_cut")) {
            record.say(format!("a machine's log: {line}"));
        }
    }
    fleet.end(false);
    if count(200) < 100 {
        return Verdict::NotRun("too few requests were served".into());
    }
    if lost > 0 {
        return Verdict::Broken(format!("LOST: {lost} requests ended without an answer"));
    }
    Verdict::Held("no request ended without an answer around a stop".into())
}
