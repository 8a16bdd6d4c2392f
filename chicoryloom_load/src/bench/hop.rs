//! What one hop through a host adds to a request.

use std::fmt;
use std::time::Duration;

use chicoryloom_harness::Fleet;
use chicoryloom_harness::Plan;
use chicoryloom_standin::target;
use serde::Deserialize;
use serde::Serialize;

use super::Shape;
use super::document;
use super::load;
use super::load::Path;
use super::put;
use super::stream;
use super::stream::Memory;
use super::until_held;
use crate::Error;
use crate::measure::Latency;

/// Requests a second on each path.
const RATES: [u32; 2] = [64, 2000];
/// Rounds at each rate; a round measures both paths in turn.
const ROUNDS: usize = 3;
/// Time of a round that is not counted.
const WARM: Duration = Duration::from_secs(3);
/// Service of the benchmark.
const SERVICE: &str = "hop";
const PREFIX: &str = "/hop";

/// One round: direct calls and calls through a host, taking turns.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct Round {
    pub rate: u32,
    pub direct: Latency,
    pub through: Latency,
    /// Requests that got no good answer, on both paths.
    pub failed: usize,
    /// Processor time of the host for one request, in microseconds.
    pub host_us: f64,
}

/// The cost of one hop.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Hop {
    pub rounds: Vec<Round>,
    pub memory: Memory,
}

/// Measures the cost of one hop, each round lasting `span`.
pub async fn hop(span: Duration) -> Result<Hop, Error> {
    let fleet = Fleet::start(plan()).await.map_err(Error::fleet("start"))?;
    let shape = Shape { routes: 1, grants: 1, targets: 0 };
    put(&fleet, SERVICE, 0, &document(&fleet, SERVICE, shape, 0)).await?;
    let granted = fleet.grant_key(0, &format!("{SERVICE}-w0")).await;
    let key = granted.map_err(Error::fleet("grant a key"))?.key;
    until_held(&fleet, 1, 1).await;
    let direct = Path {
        addresses: fleet.targets.iter().map(|target| target.direct).collect(),
        prefix: "",
        key: key.clone(),
    };
    let through = Path { addresses: vec![fleet.hosts[0].caller], prefix: PREFIX, key };
    // Connections are made and buckets fill before the first round.
    load::alternate(&[direct.clone(), through.clone()], RATES[0], WARM).await;
    let mut rounds = Vec::new();
    for rate in RATES {
        for _ in 0..ROUNDS {
            rounds.push(round(&fleet, &direct, &through, rate, span).await);
        }
    }
    let memory = stream::memory(&fleet, &through).await;
    Ok(Hop { rounds, memory })
}

async fn round(fleet: &Fleet, direct: &Path, through: &Path, rate: u32, span: Duration) -> Round {
    let processor = || fleet.hosts[0].process.usage().unwrap_or_default().processor;
    let before = processor();
    let mut times = load::alternate(&[direct.clone(), through.clone()], rate, span).await;
    let spent = processor().saturating_sub(before);
    let (through, direct) = (times.pop().unwrap_or_default(), times.pop().unwrap_or_default());
    let requests = through.took_ms.len().max(1) as f64;
    Round {
        rate,
        failed: direct.failed + through.failed,
        direct: Latency::of(direct.took_ms),
        through: Latency::of(through.took_ms),
        host_us: spent.as_secs_f64() * 1e6 / requests,
    }
}

fn plan() -> Plan {
    let switches =
        target::Switches { slots: 256, connections: 2000, service_ms: 0, ..Default::default() };
    Plan {
        hosts: 1,
        targets: vec![switches; 4],
        settings: "log: { level: warn }".to_owned(),
        ..Plan::default()
    }
}

impl fmt::Display for Hop {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "requests/s  direct p50/p99 ms  through p50/p99 ms  added p50/p99 ms  ratio p50/p99  \
             host us/request  failed"
        )?;
        for round in &self.rounds {
            let (direct, through) = (round.direct, round.through);
            writeln!(
                f,
                "{:>10}  {:>8.3} {:>8.3}  {:>9.3} {:>8.3}  {:>8.3} {:>7.3}  {:>6.2} {:>6.2}  \
                 {:>15.0}  {:>6}",
                round.rate,
                direct.p50_ms,
                direct.p99_ms,
                through.p50_ms,
                through.p99_ms,
                through.p50_ms - direct.p50_ms,
                through.p99_ms - direct.p99_ms,
                through.p50_ms / direct.p50_ms,
                through.p99_ms / direct.p99_ms,
                round.host_us,
                round.failed,
            )?;
        }
        write!(
            f,
            "host memory: idle {:.1} MB, ten answers of 200 MB {:.1} MB, {} whole",
            self.memory.idle as f64 / 1e6,
            self.memory.streaming as f64 / 1e6,
            self.memory.whole,
        )
    }
}
