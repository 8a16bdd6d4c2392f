//! Callers that behave as the fleet's interface asks them to.

mod answer;
mod exchange;
mod pool;
mod record;
mod series;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::RwLock;
use std::time::Duration;

use chicoryloom_wire::generated::caller::Hosts;
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::arrival::Kind;

pub(crate) use answer::BOOK_PATH;
pub(crate) use answer::DOWNLOAD_PATH;
pub(crate) use answer::POISON_PATH;
pub(crate) use answer::READ_PATH;
pub(crate) use answer::identity;
pub(crate) use exchange::ATTEMPT;
pub(crate) use pool::Pool;
pub(crate) use record::Attempt;
pub(crate) use record::End;
pub(crate) use record::Record;

use exchange::Request;
use series::Keys;

/// Time that a caller waits for a whole answer, over all attempts.
const PATIENCE: Duration = Duration::from_secs(10);
/// Most attempts of one request.
const MAX_ATTEMPTS: usize = 4;
/// Longest wait for `Retry-After` before another attempt.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Pause before another attempt after a lost one.
const PAUSE: Duration = Duration::from_millis(100);

/// Code of refusals of run keys whose issuer is gone.
const ISSUER_GONE: &str = "issuer-gone";

/// What all callers of a run share.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) started: Instant,
    /// Address to connect to for each address that the locator names.
    pub(crate) via: RwLock<HashMap<SocketAddr, SocketAddr>>,
    /// Hosts that a caller without a locator answer asks.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Length of downloads by service.
    pub(crate) download_bytes: Vec<u64>,
    pub(crate) services: Vec<String>,
}

impl World {
    /// Returns the time since the start of the run, in milliseconds.
    pub(crate) fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    fn via(&self, address: SocketAddr) -> SocketAddr {
        let via = self.via.read().expect("no holder of the lock panics");
        via.get(&address).copied().unwrap_or(address)
    }
}

/// Locator answers of one service that a caller keeps.
#[derive(Debug, Default)]
struct Located {
    hosts: Vec<SocketAddr>,
    until: Option<Instant>,
}

/// One caller, with its key, its connections and what it keeps.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) workspace: usize,
    pub(crate) index: usize,
    pub(crate) key: String,
    world: Arc<World>,
    pool: Pool,
    located: Vec<Mutex<Located>>,
    keys: Vec<Keys>,
}

impl Caller {
    pub(crate) fn new(world: Arc<World>, workspace: usize, index: usize, key: String) -> Self {
        let services = world.services.len();
        Self {
            workspace,
            index,
            key,
            world,
            pool: Pool::default(),
            located: (0..services).map(|_| Mutex::default()).collect(),
            keys: (0..services).map(|_| Keys::default()).collect(),
        }
    }

    /// Carries out one request and returns its record.
    pub(crate) async fn run(
        &self,
        id: u64,
        service: usize,
        kind: Kind,
        intended: Duration,
    ) -> Record {
        let mut record = Record {
            id,
            workspace: self.workspace,
            service,
            caller: self.index,
            kind,
            intended_ms: intended.as_secs_f64() * 1000.0,
            attempts: Vec::new(),
        };
        let until = self.world.started + intended + PATIENCE;
        let run_key = match kind {
            Kind::Book => self.run_key(service).await,
            Kind::Read | Kind::Download | Kind::Poison => None,
        };
        while let Some(wait) = next(&record, run_key.is_some()) {
            if Instant::now() + wait >= until {
                break;
            }
            tokio::time::sleep(wait).await;
            let host = self.choose(service, record.attempts.as_slice()).await;
            let Some(host) = host else {
                break;
            };
            let request = Request {
                id,
                service,
                kind,
                attempt: record.attempts.len(),
                run_key: run_key.as_deref(),
                until,
            };
            let attempt = self.attempt(host, &request).await;
            if !matches!(attempt.end, End::Answered { .. }) {
                self.forget(service, host, &attempt.end).await;
                if matches!(&attempt.end, End::Refused { code, .. } if code == ISSUER_GONE) {
                    self.keys[service].give_up().await;
                }
            }
            record.attempts.push(attempt);
        }
        record
    }

    /// Chooses a host: the best one that no attempt of the request has tried yet.
    async fn choose(&self, service: usize, attempts: &[Attempt]) -> Option<SocketAddr> {
        let hosts = self.hosts(service).await;
        let tried = |host: &&SocketAddr| attempts.iter().any(|attempt| attempt.host == **host);
        let fresh = hosts.iter().find(|host| !tried(host));
        let some = hosts.get(attempts.len() % hosts.len().max(1));
        fresh.or(some).or_else(|| self.seed(attempts.len())).copied()
    }

    fn seed(&self, number: usize) -> Option<&SocketAddr> {
        let start = self.workspace * 7 + self.index * 3 + number;
        self.world.seeds.get(start % self.world.seeds.len().max(1))
    }

    /// Returns the hosts of a service, asking the locator once the kept answer is too old.
    async fn hosts(&self, service: usize) -> Vec<SocketAddr> {
        let mut located = self.located[service].lock().await;
        if located.until.is_some_and(|until| Instant::now() < until) {
            return located.hosts.clone();
        }
        for number in 0..MAX_ATTEMPTS {
            let kept = located.hosts.get(number).copied();
            let Some(asked) = kept.or_else(|| self.seed(number).copied()) else {
                break;
            };
            if let Some(answer) = self.locate(asked, service).await {
                let addresses = answer.hosts.iter().filter_map(|host| host.address.parse().ok());
                located.hosts = addresses.collect();
                let max_age = Duration::from_secs(answer.max_age_s.into());
                located.until = Some(Instant::now() + max_age);
                break;
            }
        }
        located.hosts.clone()
    }

    async fn locate(&self, asked: SocketAddr, service: usize) -> Option<Hosts> {
        let path = format!("/chicory/v1/hosts?service={}", self.world.services[service]);
        let body = self.fetch(asked, http::Method::GET, &path).await?;
        let hosts: Hosts = serde_json::from_slice(&body).ok()?;
        (!hosts.hosts.is_empty()).then_some(hosts)
    }

    /// Puts a host behind the others, and drops the answer if no host is left to try.
    async fn forget(&self, service: usize, host: SocketAddr, end: &End) {
        let gone = match end {
            End::Unsent | End::Broken { .. } => true,
            End::Refused { code, .. } => matches!(code.as_str(), "not-fresh" | "leaving"),
            End::Answered { .. } | End::TimedOut => false,
        };
        if !gone {
            return;
        }
        let mut located = self.located[service].lock().await;
        located.hosts.retain(|other| *other != host);
        if located.hosts.is_empty() {
            located.until = None;
        }
    }

    async fn run_key(&self, service: usize) -> Option<String> {
        let name = &self.world.services[service];
        let path = format!("/chicory/v1/runs?service={name}");
        let issue = async || {
            let host = self.hosts(service).await.first().copied()?;
            let body = self.fetch(host, http::Method::POST, &path).await?;
            serde_json::from_slice(&body).ok()
        };
        self.keys[service].next(issue).await
    }
}

/// Returns the wait before the next attempt, or `None` if the request has its final answer.
fn next(record: &Record, has_run_key: bool) -> Option<Duration> {
    let Some(last) = record.last() else {
        return Some(Duration::ZERO);
    };
    if record.attempts.len() >= MAX_ATTEMPTS {
        return None;
    }
    match &last.end {
        End::Answered { .. } => None,
        End::Unsent => Some(Duration::ZERO),
        End::Refused { code, not_run: true, retry_after_s, .. } => match code.as_str() {
            "not-fresh" | "leaving" => Some(Duration::ZERO),
            "no-capacity" => {
                let wait = Duration::from_secs(retry_after_s.unwrap_or(1));
                (wait <= MAX_WAIT).then_some(wait)
            }
            _ => None,
        },
        // Nobody will ever run the request under this key, nor tell whether it ran.
        End::Refused { code, .. } if code == ISSUER_GONE => None,
        End::Refused { .. } | End::Broken { .. } | End::TimedOut => {
            may_repeat(record.kind, has_run_key).then_some(PAUSE)
        }
    }
}

/// Tells whether a request that may have run can be sent again.
fn may_repeat(kind: Kind, has_run_key: bool) -> bool {
    match kind {
        Kind::Read | Kind::Download => true,
        Kind::Book => has_run_key,
        Kind::Poison => false,
    }
}
