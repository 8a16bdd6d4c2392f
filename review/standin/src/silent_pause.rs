//! A machine gets SIGHUP while servers work silently on answers whose heads they have sent.

use std::time::Duration;

use crate::Verdict;
use crate::fleet::Fleet;
use crate::fleet::KEY;
use crate::fleet::Request;
use crate::fleet::Signal;
use crate::fleet::exchange;
use crate::record::Record;

const CONFIG_APPLY: f64 = 2.0;

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
        if !fleet.add_server("altas", zones[index % 2], 6) {
            return Verdict::NotRun("a server didn't start".into());
        }
    }
    fleet.configure(7, &[("alta-linea", "unsafe", "altas", 15_000)]);
    if !fleet.wait_until_ready() {
        return Verdict::NotRun("the gateways didn't get ready".into());
    }
    std::thread::sleep(Duration::from_secs(5));
    let found = fleet.gateways[1].resolve("valparaiso");
    let Some(index) = fleet.gateways.iter().position(|one| found.first() == Some(&one.caller()))
    else {
        return Verdict::NotRun(format!("the directory names {found:?}"));
    };
    let address = fleet.gateways[index].caller();
    let clients: Vec<_> = [0.0, 1.0]
        .iter()
        .enumerate()
        .map(|(number, delay)| {
            let (record, delay) = (record.clone(), Duration::from_secs_f64(*delay));
            std::thread::spawn(move || {
                std::thread::sleep(delay);
                let request = Request {
                    id: format!("alta-{number}"),
                    method: "POST",
                    path: "/alta-linea/w11000-b5000-late".into(),
                    deadline: Duration::from_secs(15),
                    key: KEY,
                    rate: None,
                    patience: Duration::from_secs(15),
                };
                let mut connection = crate::http::Connection::open(address)?;
                Some(exchange(&mut connection, &request, &record))
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    let signalled = record.now();
    if has_trouble {
        fleet.gateways[index].signal(Signal::Hup);
        record.say(format!("SIGHUP to {}", fleet.gateways[index].name));
    }
    let answers: Vec<_> = clients.into_iter().filter_map(|one| one.join().ok().flatten()).collect();
    let cut: Vec<_> = answers
        .iter()
        .filter(|one| !one.is_whole() && one.status == 200)
        .filter(|one| one.sent <= signalled + CONFIG_APPLY && one.ended > signalled)
        .collect();
    for one in &answers {
        let took = one.ended - one.sent;
        record.say(format!("{} ended after {took:.3} s: {:?}", one.id, one.end));
    }
    fleet.end(false);
    if answers.len() < 2 {
        return Verdict::NotRun("a client couldn't connect".into());
    }
    if has_trouble && !cut.is_empty() {
        return Verdict::Broken(format!("LOST: {} answers were cut after SIGHUP", cut.len()));
    }
    Verdict::Held(format!("{} answers were cut, beside no planned work", cut.len()))
}
