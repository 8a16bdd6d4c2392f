//! Clients send requests that may be repeated with a body in chunks.

use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::fleet::Fleet;
use crate::fleet::KEY;
use crate::http::Connection;
use crate::http::End;
use crate::record::Record;

/// Requests, and the bytes of the body of each: the two sizes stand on either side of what a machine
/// buffers.
const REQUESTS: usize = 10;
const SIZES: [usize; 2] = [300, 100_000];

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
        if !fleet.add_server("inventario", zones[index % 2], 6) {
            return Verdict::NotRun("a server didn't start".into());
        }
    }
    fleet.configure(7, &[("consulta", "safe", "inventario", 4000)]);
    if !fleet.wait_until_ready() {
        return Verdict::NotRun("the gateways didn't get ready".into());
    }
    std::thread::sleep(Duration::from_secs(3));
    let found = fleet.gateways[0].resolve("valparaiso");
    let Some(address) = found.first() else {
        return Verdict::NotRun("the directory names no machine".into());
    };

    let mut bodies = Vec::new();
    let mut served = 0;
    for number in 0..REQUESTS {
        let id = format!("consulta-{number}");
        let body = vec![b'a' + number as u8; SIZES[number % SIZES.len()]];
        let framing = if has_trouble {
            "Transfer-Encoding: chunked".to_owned()
        } else {
            format!("Content-Length: {}", body.len())
        };
        let head = format!(
            "GET /consulta/w20-b2000-plain HTTP/1.1\r\nHost: prairie.example\r\n\
             X-Chicoryloom-Attempt-Id: {id}\r\nX-Chicoryloom-Deadline-Remaining-Ms: 8000\r\n\
             Api-Key: {KEY}\r\n{framing}\r\n\r\n"
        );
        let mut bytes = head.into_bytes();
        if has_trouble {
            for piece in body.chunks(16_000) {
                bytes.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
                bytes.extend_from_slice(piece);
                bytes.extend_from_slice(b"\r\n");
            }
            bytes.extend_from_slice(b"0\r\n\r\n");
        } else {
            bytes.extend_from_slice(&body);
        }
        let Some(mut connection) = Connection::open(*address) else {
            return Verdict::NotRun("a client couldn't connect".into());
        };
        record.add(format!("client sends {id} with a body of {} bytes, {framing}", body.len()));
        connection.send(&bytes);
        let end = Instant::now() + Duration::from_secs(8);
        let Ok(answer) = connection.head(end) else { continue };
        let (_, ended) = connection.body(&answer, end, None);
        record.add(format!("client gets {} for {id}: {ended:?}", answer.status()));
        served += usize::from(answer.status() == 200 && ended == End::Whole);
        bodies.push((id, body));
    }
    let runs = fleet.runs.lock().unwrap().clone();
    fleet.end(false);
    let mut changed = Vec::new();
    for (id, body) in &bodies {
        for run in runs.iter().filter(|run| run.id == *id) {
            record.say(format!(
                "{} ran {id} with a body of {} bytes; the client sent {}",
                run.server,
                run.body.len(),
                body.len()
            ));
            if run.body != *body {
                changed.push(id.clone());
            }
        }
    }
    record.say(format!("{served} of {REQUESTS} requests were answered with 200"));
    if !changed.is_empty() {
        let count = changed.len();
        return Verdict::Broken(format!("UNASKED: {count} requests ran with their body changed"));
    }
    if runs.is_empty() {
        return Verdict::NotRun("no request ran".into());
    }
    Verdict::Held("all requests ran with the body that was sent".into())
}
