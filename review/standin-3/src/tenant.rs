//! A new version moves a key to another tenant while requests with the key wait for a server.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::Verdict;
use crate::http::Request;
use crate::record::Record;
use crate::server::Manner;
use crate::site::HOST;
use crate::site::KEY;
use crate::site::Site;
use crate::site::config;
use crate::site::rule;

const REQUESTS: usize = 90;
/// Refusals that the rule allows: 5 and one in 500 of all.
const ALLOWED: f64 = 5.0;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let rules = [rule("/calib/", "unsafe", "meterbook", 6000)];
    let first = config(7, &rules, &["meterbook"]);
    let mut second = config(9, &rules, &["meterbook"]);
    if trouble {
        second["tenants"][0]["name"] = json!("yefi831");
    }
    let work = Duration::from_millis(400);
    let servers = [("meterbook", work, Manner::Sound), ("meterbook", work, Manner::Sound)];
    let Some(site) = Site::start(record, first, 3, &servers) else { return Verdict::NotRun };
    let hosts: Vec<_> = site.gateways.iter().map(|gateway| gateway.caller()).collect();
    let statuses = Arc::new(Mutex::new(Vec::new()));
    let mut tasks = Vec::new();
    for number in 0..REQUESTS {
        let (hosts, statuses, record) = (hosts.clone(), statuses.clone(), record.clone());
        tasks.push(thread::spawn(move || {
            let (id, host) = (format!("c{number}"), hosts[number % hosts.len()]);
            let body = format!("calibration {number}");
            let request = Request {
                method: "POST",
                path: "/calib/new",
                host: HOST,
                id: &id,
                key: KEY,
                deadline: Duration::from_secs(8),
                body: body.as_bytes(),
            };
            let status = request.send(host).map(|head| head.status()).unwrap_or_default();
            record.line(format!("client: {id} to {host}: answer {status}"));
            statuses.lock().unwrap().push(status);
        }));
    }
    thread::sleep(Duration::from_millis(700));
    let revision = site.store.put("config", "main", json!({ "specification": second }));
    record.line(format!(
        "store: acknowledged r9 at revision {revision}: the key belongs to {}",
        second["tenants"][0]["name"]
    ));
    for task in tasks {
        let _ = task.join();
    }
    let statuses = statuses.lock().unwrap();
    let denied = statuses.iter().filter(|status| [400, 401, 403, 404].contains(*status)).count();
    let served = statuses.iter().filter(|status| **status == 200).count();
    record.line(format!("{} requests, {served} answered 200, {denied} denied", statuses.len()));
    let allowed = ALLOWED + REQUESTS as f64 / 500.0;
    if served == 0 {
        return Verdict::NotRun;
    }
    if denied as f64 > allowed { Verdict::Broken } else { Verdict::Held }
}
