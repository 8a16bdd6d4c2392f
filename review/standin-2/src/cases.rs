//! The cases. Each returns what broke the rule, if anything did.

use std::io;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::Connection;
use crate::client::HOST;
use crate::client::Outcome;
use crate::client::Request;
use crate::fleet::Bounds;
use crate::fleet::Fleet;
use crate::record::Record;
use crate::server::Plan;

/// `stableWindowMs` of the sheets.
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
/// `configApplyMs` of the sheets.
const CONFIG_APPLY: Duration = Duration::from_millis(2000);
/// `gracePeriodS` of the sheets, of the large deployment and of the others.
const LONG_GRACE: Bounds = Bounds { grace_s: 10 };
const GRACE: Bounds = Bounds { grace_s: 6 };
/// Time added to a bound, for what the processes of a test take themselves.
const SLACK: Duration = Duration::from_millis(1000);

type Verdict = io::Result<Option<String>>;

/// A configuration of one service `registrar` with a route for bookings, one for reads and one for uploads.
struct Config {
    version: u32,
    /// Keys of the tenant `prairie`.
    keys: &'static str,
    /// Further tenants, as they stand in the list.
    tenants: &'static str,
    timeout_ms: u32,
}

impl Config {
    fn new(version: u32) -> Self {
        Self { version, keys: r#""key-a","key-b""#, tenants: "", timeout_ms: 4000 }
    }

    fn text(&self) -> String {
        let Self { version, keys, tenants, timeout_ms } = self;
        let rule = |name: &str, kind: &str, prefix: &str| {
            format!(
                r#"{{"name":"{name}","kind":"{kind}","targetLatencyMs":1200,"priority":1,"publicAccess":false,"matchCriteria":{{"pathPrefix":"{prefix}"}},"routeAction":{{"service":"registrar","timeoutMs":{timeout_ms},"maxAttempts":2}}}}"#
            )
        };
        let rules = [
            rule("r-book", "unsafe", "/book/"),
            rule("r-read", "safe", "/read/"),
            rule("r-send", "upload", "/send/"),
            rule("r-load", "download", "/load/"),
        ];
        format!(
            r#"{{"version":"r{version}","limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"prairie","apiKeys":[{keys}],"priority":1,"requestsPerS":0,"burstSize":0}}{tenants}],"listeners":[{{"host":"{HOST}","ruleSet":[{}]}}],"clusters":[{{"name":"registrar","healthCheckPath":"/health","maxConnections":360,"protocol":"h1","tls":false}}]}}"#,
            rules.join(",")
        )
    }
}

fn plan(index: usize, slots: usize, work: Duration) -> Plan {
    let (service, zone) = ("registrar".to_owned(), "north".to_owned());
    Plan { id: format!("i-{index:08x}"), service, zone, slots, work }
}

/// Starts a deployment and waits until its machines are ready and in touch.
fn start(
    machines: u8,
    bounds: Bounds,
    servers: &[Plan],
    config: &Config,
    record: &Record,
) -> io::Result<Fleet> {
    let mut fleet = Fleet::start(machines, bounds, record)?;
    for plan in servers {
        fleet.start_server(plan.clone())?;
    }
    fleet.configure(&config.text());
    if !fleet.wait_until_ready() {
        return Err(io::Error::other("a machine did not become ready"));
    }
    thread::sleep(STABLE_WINDOW + SLACK);
    Ok(fleet)
}

fn request(id: String, method: &'static str, path: &str, key: &'static str) -> Request {
    let deadline = Duration::from_millis(4000);
    Request { id, method, path: path.to_owned(), key, deadline, body: 0 }
}

/// Sends a request on a connection of its own.
fn call(fleet: &Fleet, machine: usize, request: &Request) -> io::Result<Outcome> {
    Ok(Connection::open(fleet.machines[machine].caller, &fleet.record)?.call(request))
}

/// Changes the configuration so that it takes a key away and adds a tenant; looks whether all machines follow.
fn change_tenants(
    odd: &'static str,
    plain: &'static str,
    trouble: bool,
    record: &Record,
) -> Verdict {
    let servers = [plan(1, 2, Duration::from_millis(60)), plan(2, 2, Duration::from_millis(60))];
    let mut fleet = start(2, GRACE, &servers, &Config::new(7), record)?;
    for machine in 0..2 {
        for key in ["key-a", "key-b"] {
            let asked = request(format!("before-{machine}-{key}"), "POST", "/book/seat", key);
            if call(&fleet, machine, &asked)?.status != Some(200) {
                return Err(io::Error::other("a request before the change was not served"));
            }
        }
    }
    let keys = r#""key-a""#;
    let tenants = if trouble { odd } else { plain };
    fleet.configure(&Config { keys, tenants, ..Config::new(12) }.text());
    thread::sleep(CONFIG_APPLY + SLACK);
    let mut stale = Vec::new();
    // Long past the bound, to tell a late change from one that never comes.
    for round in 0..6 {
        for machine in 0..2 {
            let old = request(format!("old-{round}-{machine}"), "POST", "/book/seat", "key-b");
            if call(&fleet, machine, &old)?.status == Some(200) && fleet.has_run(&old.id) {
                stale.push(old.id);
            }
            let new = request(format!("new-{round}-{machine}"), "POST", "/book/seat", "key-n");
            if call(&fleet, machine, &new)?.status == Some(401) {
                stale.push(new.id);
            }
        }
        thread::sleep(Duration::from_secs(2));
    }
    // Not part of the rule: what becomes of a machine that starts with this configuration.
    fleet.machines[1].restart()?;
    let is_back = if fleet.wait_until_ready() { "is ready again" } else { "is not ready in 15 s" };
    let seen = format!(
        "{} of 24 requests were handled as only the older version allows, up to {} s after its successor; \
         a machine that is restarted then {is_back}",
        stale.len(),
        (CONFIG_APPLY + SLACK).as_secs() + 10
    );
    Ok((!stale.is_empty()).then_some(seen))
}

/// A tenant has a name with a capital letter and an underscore.
pub fn tenant_name(trouble: bool, record: &Record) -> Verdict {
    let odd = r#",{"name":"Towers_West","apiKeys":["key-n"],"priority":1,"requestsPerS":0,"burstSize":0}"#;
    let plain = r#",{"name":"towers-west","apiKeys":["key-n"],"priority":1,"requestsPerS":0,"burstSize":0}"#;
    change_tenants(odd, plain, trouble, record)
}

/// A tenant has a rank above 255.
pub fn priority(trouble: bool, record: &Record) -> Verdict {
    let odd = r#",{"name":"towers-west","apiKeys":["key-n"],"priority":1000,"requestsPerS":0,"burstSize":0}"#;
    let plain = r#",{"name":"towers-west","apiKeys":["key-n"],"priority":2,"requestsPerS":0,"burstSize":0}"#;
    change_tenants(odd, plain, trouble, record)
}

/// The settings shorten the grace period, and SIGHUP says so; a machine is stopped later.
pub fn grace(trouble: bool, record: &Record) -> Verdict {
    let servers: Vec<_> =
        (1..=4).map(|index| plan(index, 4, Duration::from_millis(1500))).collect();
    let bounds = if trouble { LONG_GRACE } else { GRACE };
    let mut fleet = start(2, bounds, &servers, &Config::new(7), record)?;
    for index in 0..2 {
        fleet.write_settings(index, 2, GRACE, 0)?;
        fleet.machines[usize::from(index)].signal("HUP")?;
    }
    thread::sleep(Duration::from_secs(8));
    let caller = fleet.machines[0].caller;
    // Clients keep connections that they opened before the stop.
    let mut kept = Vec::new();
    for index in 0..10 {
        let mut connection = Connection::open(caller, record)?;
        let first = request(format!("first-{index}"), "POST", "/book/seat", "key-a");
        if connection.call(&first).status != Some(200) {
            return Err(io::Error::other("a request before the stop was not served"));
        }
        kept.push(connection);
    }
    let grace = Duration::from_secs(GRACE.grace_s);
    fleet.machines[0].signal("TERM")?;
    let stopped = Instant::now();
    let clients: Vec<_> = kept
        .into_iter()
        .enumerate()
        .map(|(index, mut connection)| {
            thread::spawn(move || {
                // Later than 3 s after SIGTERM, and well before SIGKILL.
                thread::sleep(Duration::from_millis(4000 + 150 * index as u64));
                connection.call(&request(format!("late-{index}"), "POST", "/book/seat", "key-a"))
            })
        })
        .collect();
    while stopped.elapsed() < grace && !fleet.machines[0].has_ended() {
        thread::sleep(Duration::from_millis(10));
    }
    record.add("frontend-north-1: SIGKILL, if it still runs");
    fleet.machines[0].kill();
    let outcomes: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let is_lost = |outcome: &&Outcome| {
        outcome.status.is_none() && outcome.sent.is_some() && fleet.has_run(&outcome.id)
    };
    let lost: Vec<_> = outcomes.iter().filter(is_lost).map(|outcome| outcome.id.as_str()).collect();
    let seen = format!(
        "{} of {} requests were passed on to a server, and their connection ended without an answer: {}",
        lost.len(),
        outcomes.len(),
        lost.join(" ")
    );
    Ok((!lost.is_empty()).then_some(seen))
}

/// A machine is stopped while clients of a slower link than the others' download from it.
pub fn slow_reader(trouble: bool, record: &Record) -> Verdict {
    /// Of the sheet of the large deployment, for downloads.
    const DEADLINE: Duration = Duration::from_millis(10_720);
    /// 12 Mbit/s.
    const RATE: usize = 1_500_000;
    const SIZES: std::ops::RangeInclusive<usize> = 8..=14;
    let servers: Vec<_> = (1..=4).map(|index| plan(index, 6, Duration::from_millis(130))).collect();
    let config = Config { timeout_ms: 10_720, ..Config::new(7) };
    let mut fleet = start(2, GRACE, &servers, &config, record)?;
    let load = |id: String, bytes: usize| Request {
        deadline: DEADLINE,
        ..request(id, "GET", &format!("/load/{bytes}"), "key-a")
    };
    let caller = fleet.machines[0].caller;
    // What is usual on this route: clients that read as fast as the answers come.
    let mut fast = Connection::open(caller, record)?;
    for index in 0..30 {
        if fast.call(&load(format!("fast-{index}"), 10_000_000)).status != Some(200) {
            return Err(io::Error::other("a download before the stop was not served"));
        }
    }
    let mut clients = Vec::new();
    for size in SIZES {
        let mut connection = Connection::open(caller, record)?;
        if connection.call(&load(format!("first-{size}"), 1000)).status != Some(200) {
            return Err(io::Error::other("a download before the stop was not served"));
        }
        let asked = load(format!("slow-{size}"), size * 1_000_000);
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(1000));
            (connection.call_slowly(&asked, RATE), Instant::now())
        }));
    }
    let grace = Duration::from_secs(GRACE.grace_s);
    let stopped = Instant::now();
    if trouble {
        fleet.machines[0].signal("TERM")?;
        while stopped.elapsed() < grace && !fleet.machines[0].has_ended() {
            thread::sleep(Duration::from_millis(10));
        }
        record.add(format!(
            "frontend-north-1: it has ended, or gets SIGKILL, {:?} after",
            stopped.elapsed()
        ));
        fleet.machines[0].kill();
    }
    let ends: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let arrivals: Vec<_> = fleet.servers.iter().flat_map(|server| server.arrivals()).collect();
    // A server that is at work in the last sixth of the grace period excuses a cut.
    let last_sixth = stopped + grace * 5 / 6;
    let mut lost = Vec::new();
    for ((outcome, arrived), ended) in &ends {
        let Some(sent) = outcome.sent else { continue };
        let answered =
            arrivals.iter().find(|one| one.id == outcome.id).and_then(|one| one.answered);
        if outcome.status.is_none()
            && *ended < sent + DEADLINE
            && answered.is_some_and(|answered| answered < last_sixth)
        {
            lost.push(format!("{} after {arrived} bytes", outcome.id));
        }
    }
    let seen = format!(
        "{} of {} answers that servers had handed over before the last sixth of the grace period were cut: {}",
        lost.len(),
        ends.len(),
        lost.join(", ")
    );
    Ok((!lost.is_empty()).then_some(seen))
}

/// The platform's store moves to another address, and SIGHUP says that the settings have changed.
pub fn store_moved(trouble: bool, record: &Record) -> Verdict {
    let servers = [plan(1, 4, Duration::from_millis(60)), plan(2, 4, Duration::from_millis(60))];
    let fleet = start(2, GRACE, &servers, &Config::new(7), record)?;
    for index in 0..2 {
        fleet.write_settings(index, 2, GRACE, usize::from(trouble))?;
        fleet.machines[usize::from(index)].signal("HUP")?;
    }
    // Both addresses answer for longer than a machine may take for a change.
    thread::sleep(Duration::from_secs(6));
    if trouble {
        fleet.entrances[0].close();
        record.add("store: it answers at its new address only");
    }
    thread::sleep(STABLE_WINDOW + SLACK);
    fleet.configure(&Config { keys: r#""key-a""#, ..Config::new(12) }.text());
    thread::sleep(CONFIG_APPLY + SLACK);
    let mut stale = Vec::new();
    for round in 0..10 {
        for machine in 0..2 {
            let old = request(format!("old-{round}-{machine}"), "POST", "/book/seat", "key-b");
            if call(&fleet, machine, &old)?.status == Some(200) && fleet.has_run(&old.id) {
                stale.push(old.id);
            }
        }
        thread::sleep(Duration::from_secs(2));
    }
    let seen = format!(
        "{} of 20 requests ran with a key that was taken away, up to {} s after the acknowledgement",
        stale.len(),
        (CONFIG_APPLY + SLACK).as_secs() + 18
    );
    Ok((!stale.is_empty()).then_some(seen))
}

/// Clients leave while their uploads wait for a slot.
pub fn upload_given_up(trouble: bool, record: &Record) -> Verdict {
    const CLIENTS: usize = 40;
    const BODY: usize = 600_000;
    /// Time after which a request must not reach a server once its client has left.
    const LEFT: Duration = Duration::from_millis(500);
    let servers = [plan(1, 2, Duration::from_millis(390)), plan(2, 2, Duration::from_millis(390))];
    let config = Config { timeout_ms: 8000, ..Config::new(7) };
    let fleet = start(2, GRACE, &servers, &config, record)?;
    let mut clients = Vec::new();
    for index in 0..CLIENTS {
        let caller = fleet.machines[index % 2].caller;
        let record = record.clone();
        // Three in ten leave after half of the objective.
        let leaves = trouble && index % 10 >= 7;
        clients.push(thread::spawn(move || -> io::Result<(String, Option<Instant>)> {
            let id = format!("upload-{index}");
            let deadline = Duration::from_millis(8000);
            let asked = Request {
                deadline,
                body: BODY,
                ..request(id.clone(), "POST", "/send/frame", "key-a")
            };
            let mut connection = Connection::open(caller, &record)?;
            if leaves {
                return Ok((id, connection.call_until(&asked, Duration::from_millis(600))));
            }
            connection.call(&asked);
            Ok((id, None))
        }));
    }
    let mut left = Vec::new();
    for client in clients {
        let (id, at) = client.join().unwrap()?;
        left.extend(at.map(|at| (id, at)));
    }
    let arrivals: Vec<_> = fleet.servers.iter().flat_map(|server| server.arrivals()).collect();
    let is_late = |(id, at): &&(String, Instant)| {
        arrivals.iter().any(|arrival| arrival.id == *id && arrival.at > *at + LEFT)
    };
    let late: Vec<_> = left.iter().filter(is_late).map(|(id, _)| id.as_str()).collect();
    let ran = late.iter().filter(|id| fleet.has_run(id)).count();
    let seen = format!(
        "{} requests reached a server over {LEFT:?} after their client had left, {ran} of them ran: {}",
        late.len(),
        late.join(" ")
    );
    // The rule allows a few.
    Ok((late.len() > 3).then_some(seen))
}
