//! A configuration adds a route whose name has an underscore, and takes a key away.

use std::time::Duration;

use crate::Verdict;
use crate::fleet::Fleet;
use crate::fleet::KEY;
use crate::fleet::Request;
use crate::fleet::exchange;
use crate::http::Connection;
use crate::record::Record;

/// Key that the second configuration takes away.
const WITHDRAWN: &str = "key-withdrawn";
/// `configApplyMs` and `stableWindowMs` in seconds.
const CONFIG_APPLY: f64 = 2.0;
const STABLE_WINDOW: f64 = 3.0;
/// Time for which a machine has run that was killed and started after the change.
const RESTART_WAIT: Duration = Duration::from_secs(10);
/// Requests of each kind after the change.
const ROUNDS: usize = 20;

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    // With NAMES=plain, the new route gets a name like the others.
    let is_plain = std::env::var("NAMES").is_ok_and(|value| value == "plain");
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
    let first = ("r-alta-linea".to_owned(), "alta-linea", "unsafe", "altas", 6000);
    fleet.configure_named(7, std::slice::from_ref(&first), &[KEY, WITHDRAWN]);
    if !fleet.wait_until_ready() {
        return Verdict::NotRun("the gateways didn't get ready".into());
    }
    std::thread::sleep(Duration::from_secs(5));
    let ask = |id: String, path: &str, key: &'static str, gateway: usize| {
        let request = Request {
            id,
            method: "POST",
            path: format!("/{path}/w50-b500-plain"),
            deadline: Duration::from_secs(12),
            key,
            rate: None,
            patience: Duration::from_secs(12),
        };
        let mut connection = Connection::open(fleet.gateways[gateway].caller())?;
        Some(exchange(&mut connection, &request, record).status)
    };
    for gateway in 0..4 {
        for key in [KEY, WITHDRAWN] {
            let status = ask(format!("before-{gateway}-{key}"), "alta-linea", key, gateway);
            if status != Some(200) {
                return Verdict::NotRun(format!("a request before the change got {status:?}"));
            }
        }
    }
    if has_trouble {
        let name = if is_plain { "r-consulta" } else { "r_consulta" };
        let second = (name.to_owned(), "consulta", "unsafe", "altas", 6000);
        fleet.configure_named(9, &[first, second], &[KEY]);
    }
    // All machines have been in touch all the while.
    std::thread::sleep(Duration::from_secs_f64(CONFIG_APPLY + STABLE_WINDOW));
    let (mut stale, mut unknown) = (0, 0);
    for round in 0..ROUNDS {
        let withdrawn = ask(format!("withdrawn-{round}"), "alta-linea", WITHDRAWN, round % 4);
        let added = ask(format!("added-{round}"), "consulta", KEY, round % 4);
        stale += usize::from(has_trouble && withdrawn == Some(200));
        unknown += usize::from(has_trouble && added == Some(404));
        std::thread::sleep(Duration::from_millis(500));
    }
    let log = fleet.gateways[0].log();
    if let Some(line) = log.lines().find(|line| line.contains("configuration_invalid")) {
        record.say(format!("a machine's log: {line}"));
    }
    // No part of the verdict: what a machine that starts now makes of the configuration.
    if has_trouble && fleet.gateways[0].restart() {
        std::thread::sleep(RESTART_WAIT);
        let is_ready = fleet.gateways[0].is_ready();
        record.say(format!(
            "a machine that was killed is ready {RESTART_WAIT:?} after its start: {is_ready}"
        ));
    }
    fleet.end(false);
    record.say(format!(
        "of {ROUNDS} requests each, {stale} with the withdrawn key were run, {unknown} on the added route got 404"
    ));
    if stale + unknown > 0 {
        return Verdict::Broken(format!(
            "CONFIG: {stale} requests ran with a withdrawn key, {unknown} on an added route got 404"
        ));
    }
    Verdict::Held("every request was handled as the latest configuration says".into())
}
