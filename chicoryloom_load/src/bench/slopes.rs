//! How the costs of control grow with hosts, keys and documents.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use chicoryloom_harness::Fleet;
use chicoryloom_harness::Plan;
use chicoryloom_standin::platform;
use futures::StreamExt;
use futures::future::join_all;
use futures::stream;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use super::Shape;
use super::document;
use super::put;
use super::until_held;
use crate::Error;
use crate::measure::Latency;
use crate::measure::Usage;
use crate::measure::usage;
use crate::sample;

/// Hosts of the fleets that are compared.
const HOSTS: [usize; 3] = [4, 12, 36];
/// Keys that are compared.
const KEYS: [usize; 3] = [1_000, 10_000, 29_000];
/// Documents that are compared; each is of the target size.
const DOCUMENTS: [usize; 3] = [37, 123, 370];
/// Hosts of the fleets that hold many keys or documents.
const FEW_HOSTS: usize = 4;
/// A document at the target size: 12,000 routes, 29,000 workspaces and 14,000 servers over 370.
const SHAPE: Shape = Shape { routes: 32, grants: 78, targets: 38 };
/// A small document.
const SMALL: Shape = Shape { routes: 4, grants: 8, targets: 8 };
/// Time before costs are taken, for the fleet to come to rest.
const REST: Duration = Duration::from_secs(5);
/// Time over which costs are taken.
const SPAN: Duration = Duration::from_secs(10);
/// Edits whose spread is timed.
const EDITS: usize = 7;
/// Keys that are granted at once.
const GRANTS_AT_ONCE: usize = 16;
/// Pause between two looks at a host's revision.
const LOOK_PERIOD: Duration = Duration::from_millis(5);
/// Calls a second that the platform takes while a fleet is being filled.
const FILL_LIMIT: u32 = 1_000_000;

/// What grows.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Part {
    Hosts,
    Keys,
    Documents,
}

impl FromStr for Part {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "hosts" => Ok(Self::Hosts),
            "keys" => Ok(Self::Keys),
            "documents" => Ok(Self::Documents),
            _ => Err(format!("{text}: must be hosts, keys or documents")),
        }
    }
}

/// The costs at one size.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct Point {
    pub part: Part,
    pub size: usize,
    /// Costs of control without any traffic.
    pub usage: Usage,
    /// Time from an edit's request until every host has it in force.
    pub apply: Latency,
    /// Time from the start of a replaced host's process until it serves with everything.
    pub join_ms: f64,
    /// Length of each document's text, in bytes.
    pub document_bytes: usize,
    /// Time in which the fleet took in all that it holds, in seconds.
    pub fill_s: f64,
}

/// The costs at all sizes.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Slopes {
    pub points: Vec<Point>,
}

/// Measures the costs of some parts at all their sizes.
pub async fn slopes(parts: &[Part]) -> Result<Slopes, Error> {
    let mut slopes = Slopes::default();
    for part in parts {
        let sizes = match part {
            Part::Hosts => HOSTS,
            Part::Keys => KEYS,
            Part::Documents => DOCUMENTS,
        };
        for size in sizes {
            eprintln!("load: slopes: {part:?} {size}");
            slopes.points.push(point(*part, size).await?);
        }
    }
    Ok(slopes)
}

async fn point(part: Part, size: usize) -> Result<Point, Error> {
    let hosts = if part == Part::Hosts { size } else { FEW_HOSTS };
    let settings = "log: { level: warn }".to_owned();
    let plan = Plan { hosts, settings, ..Plan::default() };
    let mut fleet = Fleet::start(plan).await.map_err(Error::fleet("start"))?;
    let ample = platform::Switches {
        writes_per_s: FILL_LIMIT,
        reads_per_s: FILL_LIMIT,
        ..platform::Switches::default()
    };
    switch(&fleet, &ample).await?;
    let filled = Instant::now();
    let shape = if part == Part::Documents { SHAPE } else { SMALL };
    let text = document(&fleet, "edited", shape, 0);
    let document_bytes = text.len();
    let version = put(&fleet, "edited", 0, &text).await?;
    match part {
        Part::Hosts => until_held(&fleet, 1, 0).await,
        Part::Keys => grant(&fleet, size).await?,
        Part::Documents => write(&fleet, size).await?,
    }
    let fill_s = filled.elapsed().as_secs_f64();
    switch(&fleet, &platform::Switches::default()).await?;
    tokio::time::sleep(REST).await;
    let usage = cost(&fleet).await;
    let apply = apply(&fleet, shape, version).await?;
    let (documents, keys) = match part {
        Part::Hosts => (1, 0),
        Part::Keys => (1, size),
        Part::Documents => (size, 0),
    };
    let join_ms = join(&mut fleet, documents, keys).await?;
    Ok(Point { part, size, usage, apply, join_ms, document_bytes, fill_s })
}

async fn switch(fleet: &Fleet, switches: &platform::Switches) -> Result<(), Error> {
    let switched = fleet.switch_platform(switches).await;
    switched.map_err(Error::fleet("switch the platform"))
}

async fn grant(fleet: &Fleet, keys: usize) -> Result<(), Error> {
    let grants = stream::iter(0..keys).map(|number| async move {
        let workspace = format!("edited-w{}", number % SMALL.grants);
        fleet.grant_key(number % fleet.hosts.len(), &workspace).await
    });
    let mut grants = grants.buffer_unordered(GRANTS_AT_ONCE);
    while let Some(granted) = grants.next().await {
        granted.map_err(Error::fleet("grant a key"))?;
    }
    until_held(fleet, 1, keys).await;
    Ok(())
}

async fn write(fleet: &Fleet, documents: usize) -> Result<(), Error> {
    for number in 1..documents {
        let service = format!("service-{number}");
        put(fleet, &service, 0, &document(fleet, &service, SHAPE, 0)).await?;
    }
    until_held(fleet, documents, 0).await;
    Ok(())
}

async fn cost(fleet: &Fleet) -> Usage {
    let started = Instant::now();
    let before = sample::take(fleet, 0.0).await;
    tokio::time::sleep(SPAN).await;
    let after = sample::take(fleet, started.elapsed().as_secs_f64() * 1000.0).await;
    usage(&[before, after])
}

async fn apply(fleet: &Fleet, shape: Shape, mut version: u64) -> Result<Latency, Error> {
    let mut times = Vec::new();
    for edit in 1..=EDITS {
        let text = document(fleet, "edited", shape, edit);
        let asked = Instant::now();
        version = put(fleet, "edited", version, &text).await?;
        join_all((0..fleet.hosts.len()).map(|host| in_force(fleet, host, version))).await;
        times.push(asked.elapsed().as_secs_f64() * 1000.0);
    }
    Ok(Latency::of(times))
}

async fn in_force(fleet: &Fleet, host: usize, version: u64) {
    loop {
        if let Ok(status) = fleet.status(host).await
            && status["revision"].as_u64() >= Some(version)
        {
            return;
        }
        tokio::time::sleep(LOOK_PERIOD).await;
    }
}

/// Replaces the last host and returns the time until the new one serves.
async fn join(fleet: &mut Fleet, documents: usize, keys: usize) -> Result<f64, Error> {
    let last = fleet.hosts.len() - 1;
    fleet.hosts[last].process.kill().await;
    let started = Instant::now();
    fleet.restart_host(last).await.map_err(Error::fleet("restart a host"))?;
    while !super::holds(fleet, last, documents, keys).await {
        tokio::time::sleep(LOOK_PERIOD).await;
    }
    Ok(started.elapsed().as_secs_f64() * 1000.0)
}

impl fmt::Display for Slopes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "part         size  peers B/s  core %  resident MB  reads/s  writes/s  apply p50/max ms  \
             join ms  fill s  document B"
        )?;
        for point in &self.points {
            let usage = &point.usage;
            writeln!(
                f,
                "{:<10} {:>6}  {:>9.0}  {:>6.3}  {:>11.1}  {:>7.1}  {:>8.1}  {:>8.0} {:>7.0}  \
                 {:>7.0}  {:>6.1}  {:>10}",
                format!("{:?}", point.part).to_lowercase(),
                point.size,
                usage.peer_bytes_per_s,
                usage.core_share * 100.0,
                usage.resident_max as f64 / 1e6,
                usage.platform_reads_per_s,
                usage.platform_writes_per_s,
                point.apply.p50_ms,
                point.apply.max_ms,
                point.join_ms,
                point.fill_s,
                point.document_bytes,
            )?;
        }
        Ok(())
    }
}
