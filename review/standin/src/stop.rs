//! A machine is stopped while answers that it passes on are on their way to clients.

use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::fleet::Answer;
use crate::fleet::Fleet;
use crate::fleet::KEY;
use crate::fleet::Request;
use crate::fleet::Signal;
use crate::fleet::exchange;
use crate::record::Record;

/// What a client's link carries a second: 64 Mbit/s.
const RATE: f64 = 8_000_000.0;
/// When each client sends its request, in seconds from the stop signal.
const STARTS: [f64; 3] = [-0.5, 0.5, 1.5];
/// When a client with such a link has the whole answer, in seconds from the stop signal.
const DONE: f64 = 5.6;
const GRACE: f64 = 6.0;

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
    for index in 0..4 {
        if !fleet.add_server("equipos", zones[index % 2], 6) {
            return Verdict::NotRun("a server didn't start".into());
        }
    }
    fleet.configure(7, &[("paquete-config", "download", "equipos", 8000)]);
    if !fleet.wait_until_ready() {
        return Verdict::NotRun("the gateways didn't get ready".into());
    }
    std::thread::sleep(Duration::from_secs(5));

    let begin = Instant::now() + Duration::from_millis(700);
    let at = |seconds: f64| begin + Duration::from_secs_f64(seconds + 0.5);
    let wait = |until: Instant| std::thread::sleep(until.saturating_duration_since(Instant::now()));
    // The clients keep an answer of the directory for its second, or for three times as long.
    let found = fleet.gateways[1].resolve("valparaiso");
    let Some(index) = fleet.gateways.iter().position(|one| found.first() == Some(&one.caller()))
    else {
        return Verdict::NotRun(format!("the directory names {found:?}"));
    };
    let address = fleet.gateways[index].caller();
    record.say(format!("the directory names {}", fleet.gateways[index].name));
    let clients: Vec<JoinHandle<Option<Answer>>> = STARTS
        .iter()
        .enumerate()
        .map(|(number, start)| {
            let (record, start, due) = (record.clone(), *start, at(*start));
            std::thread::spawn(move || {
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                let bytes = ((DONE - start) * RATE) as usize;
                let request = Request {
                    id: format!("download-{number}"),
                    method: "GET",
                    path: format!("/paquete-config/w200-b{bytes}-plain"),
                    deadline: Duration::from_secs(8),
                    key: KEY,
                    rate: Some(RATE),
                    patience: Duration::from_secs(8),
                };
                let mut connection = crate::http::connect_with_small_window(address)?;
                Some(exchange(&mut connection, &request, &record))
            })
        })
        .collect();
    wait(at(0.0));
    let stopped = record.now();
    if has_trouble {
        fleet.gateways[index].signal(Signal::Term);
        record.say(format!("SIGTERM to {}", fleet.gateways[index].name));
    }
    // The platform kills the process at the end of the grace period, and starts it again.
    while record.now() < stopped + GRACE {
        if has_trouble {
            fleet.gateways[index].has_ended(record);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    if has_trouble && !fleet.gateways[index].has_ended(record) {
        fleet.gateways[index].signal(Signal::Kill);
        record.say("SIGKILL at the end of the grace period");
    }
    let answers: Vec<_> = clients.into_iter().filter_map(|one| one.join().ok().flatten()).collect();
    if answers.len() < STARTS.len() {
        return Verdict::NotRun("a client couldn't connect".into());
    }
    let runs = fleet.runs.lock().unwrap().clone();
    let mut cut = Vec::new();
    for answer in &answers {
        let run = runs.iter().find(|run| run.id == answer.id);
        let since = |time: f64| format!("{:.3} s after the signal", time - stopped);
        record.say(format!(
            "{}: sent {}, work done {:?}, all handed over by the server {:?}, ended {} with {} of {:?} bytes",
            answer.id,
            since(answer.sent),
            run.and_then(|run| run.worked).map(since),
            run.and_then(|run| run.sent).map(since),
            since(answer.ended),
            answer.received,
            answer.announced,
        ));
        // Excused: the server broke off, or was still at work in the last sixth of the grace period on
        // a request that was sent no later than 3 s after the signal.
        let last_sixth = stopped + GRACE * 5.0 / 6.0;
        let is_at_work = run.is_some_and(|run| run.worked.is_none_or(|done| done >= last_sixth));
        let is_excused = run.is_none() || (is_at_work && answer.sent <= stopped + 3.0);
        if !answer.is_whole() && !is_excused && answer.ended < stopped + GRACE {
            cut.push(answer.id.clone());
        }
    }
    fleet.end(false);
    if cut.is_empty() {
        return Verdict::Held("each answer arrived whole".into());
    }
    if !has_trouble {
        // Without planned work, the rule counts from the fourth such answer on.
        return Verdict::NotRun(format!("{cut:?} were cut without a stop"));
    }
    Verdict::Broken(format!("LOST: {cut:?} were cut before the end of the grace period"))
}
