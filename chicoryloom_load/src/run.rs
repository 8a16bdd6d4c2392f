//! One run of a scenario, from the start of its fleet to its result.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

use crate::Error;
use crate::arrival;
use crate::caller::Caller;
use crate::caller::Record;
use crate::caller::World;
use crate::driver::Driver;
use crate::driver::Log;
use crate::event::Event;
use crate::measure;
use crate::measure::Measure;
use crate::sample::Sample;
use crate::scenario::Scenario;
use crate::stage::Stage;
use crate::verdict;
use crate::verdict::Evidence;
use crate::verdict::Grant;
use crate::verdict::Verdict;

/// Time between the fleet standing ready and the first request.
const SETTLE: Duration = Duration::from_secs(3);
/// Time between two lines of progress.
const PROGRESS_PERIOD: Duration = Duration::from_secs(5);

/// The result of a run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Result {
    pub name: String,
    pub question: String,
    pub seed: u64,
    pub duration_s: f64,
    pub hosts: u32,
    pub division: String,
    pub detection: String,
    /// Granted requests a second by workspace, over all services.
    pub(crate) grants: Vec<f64>,
    pub verdicts: Vec<Verdict>,
    pub measure: Measure,
    /// What went wrong with the experiment itself.
    pub errors: Vec<String>,
    pub(crate) events: Vec<Event>,
    pub(crate) samples: Vec<Sample>,
    #[serde(skip)]
    pub(crate) records: Vec<Record>,
}

impl Result {
    /// Tells whether every invariant held and the experiment was carried out as written.
    pub fn held(&self) -> bool {
        self.errors.is_empty() && self.verdicts.iter().all(Verdict::held)
    }
}

/// Counts for the lines of progress.
#[derive(Debug, Default)]
struct Progress {
    sent: AtomicUsize,
    done: AtomicUsize,
    served: AtomicUsize,
}

/// Carries out a scenario.
pub async fn run(scenario: &Scenario) -> std::result::Result<Result, Error> {
    eprintln!("load: {}: starting {} hosts", scenario.name, scenario.fleet.hosts);
    let stage = Stage::build(scenario).await?;
    tokio::time::sleep(SETTLE).await;
    let world = Arc::new(stage.world(scenario));
    let callers = stage.callers(&world);
    let keys = stage.keys.iter().flatten().map(|granted| granted.key.clone()).collect();
    let mut driver = Driver::new(scenario, world.clone(), stage);
    let (records, ()) = tokio::join!(traffic(scenario, &world, &callers), driver.drive());
    let Driver { stage, log, .. } = driver;
    let evidence = gather(scenario, &stage, records, &log, keys).await?;
    let measure = measure::measure(scenario, &evidence, &log.samples);
    let verdicts = verdict::judge(&evidence);
    Ok(Result {
        name: scenario.name.clone(),
        question: scenario.question.clone(),
        seed: scenario.seed,
        duration_s: scenario.duration_s,
        hosts: scenario.fleet.hosts,
        division: scenario.fleet.division.clone(),
        detection: scenario.fleet.detection.clone(),
        grants: evidence.grants.iter().map(|g| g.iter().map(|g| g.rate).sum()).collect(),
        verdicts,
        measure,
        errors: log.errors,
        events: log.events,
        samples: log.samples,
        records: evidence.records,
    })
}

/// Lets all requests arrive at their times, whatever became of earlier ones.
async fn traffic(
    scenario: &Scenario,
    world: &Arc<World>,
    callers: &[Vec<Arc<Caller>>],
) -> Vec<Record> {
    let progress = Arc::new(Progress::default());
    let shown = tokio::spawn(show(scenario.name.clone(), world.clone(), progress.clone()));
    let records = Arc::new(Mutex::new(Vec::new()));
    let mut requests = JoinSet::new();
    for (number, arrival) in arrival::schedule(scenario).into_iter().enumerate() {
        tokio::time::sleep_until(world.started + arrival.at).await;
        let caller = callers[arrival.workspace][arrival.caller].clone();
        let (records, progress) = (records.clone(), progress.clone());
        progress.sent.fetch_add(1, Ordering::Relaxed);
        requests.spawn(async move {
            let id = number as u64 + 1;
            let record = caller.run(id, arrival.service, arrival.kind, arrival.at).await;
            progress.done.fetch_add(1, Ordering::Relaxed);
            progress.served.fetch_add(usize::from(record.is_served()), Ordering::Relaxed);
            records.lock().await.push(record);
        });
        while requests.try_join_next().is_some() {}
    }
    while requests.join_next().await.is_some() {}
    shown.abort();
    std::mem::take(&mut *records.lock().await)
}

async fn show(name: String, world: Arc<World>, progress: Arc<Progress>) {
    loop {
        tokio::time::sleep(PROGRESS_PERIOD).await;
        eprintln!(
            "load: {name}: {:.0} s, {} sent, {} done, {} served",
            world.now_ms() / 1000.0,
            progress.sent.load(Ordering::Relaxed),
            progress.done.load(Ordering::Relaxed),
            progress.served.load(Ordering::Relaxed),
        );
    }
}

async fn gather(
    scenario: &Scenario,
    stage: &Stage,
    mut records: Vec<Record>,
    log: &Log,
    keys: Vec<String>,
) -> std::result::Result<Evidence, Error> {
    records.sort_by_key(|record| record.id);
    let mut journals = Vec::new();
    for index in 0..stage.fleet.targets.len() {
        let journal = stage.fleet.journal(index).await;
        journals.push(journal.map_err(Error::fleet("read a journal"))?);
    }
    let grants = |workspace: usize| {
        let services = 0..scenario.services.len();
        let grant = |service| {
            let (rate, burst) = scenario.grant(workspace, service);
            Grant { rate, burst }
        };
        services.map(grant).collect()
    };
    Ok(Evidence {
        records,
        journals,
        events: log.events.clone(),
        workspaces: scenario.workspaces.iter().map(|w| w.name.clone()).collect(),
        grants: (0..scenario.workspaces.len()).map(grants).collect(),
        keys,
    })
}
