//! Brings faults about at their times and samples the fleet meanwhile.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chicoryloom_standin::link;
use chicoryloom_standin::platform;
use chicoryloom_standin::target;
use chicoryloom_wire::generated::scenario as raw;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::Error;
use crate::caller::World;
use crate::event::Change;
use crate::event::Event;
use crate::event::What;
use crate::sample;
use crate::sample::Sample;
use crate::scenario::Scenario;
use crate::stage::Stage;

/// Time between two samples.
const SAMPLE_PERIOD: Duration = Duration::from_secs(2);
/// Time between two looks at hosts that are shutting down.
const LOOK_PERIOD: Duration = Duration::from_millis(50);
/// Longest wait for a terminated host to end by itself.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(40);

/// What the driver noted.
#[derive(Debug, Default)]
pub(crate) struct Log {
    pub(crate) events: Vec<Event>,
    pub(crate) samples: Vec<Sample>,
    pub(crate) errors: Vec<String>,
}

/// Drives one run.
#[derive(Debug)]
pub(crate) struct Driver<'a> {
    pub(crate) scenario: &'a Scenario,
    pub(crate) world: Arc<World>,
    pub(crate) stage: Stage,
    pub(crate) log: Log,
    /// Faults of the link that are on, by index of the fault.
    links: Vec<(usize, Vec<link::Rule>)>,
    /// Hosts that a fault struck, by index of the fault.
    struck: HashMap<usize, Vec<usize>>,
    /// Hosts that are shutting down, with the time at which each was last seen running.
    ending: Vec<(usize, f64)>,
}

impl<'a> Driver<'a> {
    pub(crate) fn new(scenario: &'a Scenario, world: Arc<World>, stage: Stage) -> Self {
        Self {
            scenario,
            world,
            stage,
            log: Log::default(),
            links: Vec::new(),
            struck: HashMap::new(),
            ending: Vec::new(),
        }
    }

    /// Brings all faults about until the end of the run.
    pub(crate) async fn drive(&mut self) {
        let end = self.world.started + self.scenario.duration();
        let mut steps = steps(self.scenario);
        steps.reverse();
        let mut tick = tokio::time::interval(SAMPLE_PERIOD);
        let mut look = tokio::time::interval(LOOK_PERIOD);
        loop {
            let next = steps.last().map(|step| self.world.started + step.at);
            tokio::select! {
                _ = tick.tick() => {
                    let sample = sample::take(&self.stage.fleet, self.world.now_ms()).await;
                    self.log.samples.push(sample);
                }
                _ = look.tick() => self.look(),
                () = tokio::time::sleep_until(next.unwrap_or(end).min(end)) => {
                    let Some(step) = steps.pop().filter(|_| Instant::now() < end) else {
                        return;
                    };
                    self.step(&step).await;
                }
            }
        }
    }

    /// Notes which hosts ended since the last look.
    fn look(&mut self) {
        let now_ms = self.world.now_ms();
        for (index, seen_ms) in std::mem::take(&mut self.ending) {
            let host = &self.stage.fleet.hosts[index];
            if host.process.usage().is_some() {
                self.ending.push((index, now_ms));
                continue;
            }
            let what = What::Host { address: host.caller, change: Change::Ended };
            self.log.events.push(Event { asked_ms: seen_ms, done_ms: now_ms, what });
        }
    }

    async fn step(&mut self, step: &Step) {
        let asked_ms = self.world.now_ms();
        let scenario = self.scenario;
        let result = match &scenario.faults[step.fault].action {
            raw::Action::Target(action) => self.targets(action, step.on).await,
            raw::Action::Link(action) => self.link(step.fault, action, step.on).await,
            raw::Action::Platform(switches) => self.platform(switches, step.on).await,
            raw::Action::Host(action) => self.hosts(step.fault, action, step.on).await,
            raw::Action::Withdraw(action) if step.on => self.withdraw(action).await,
            raw::Action::Leave(action) => self.leave(action, step.on).await,
            raw::Action::Poison(action) => self.poison(action, step.on).await,
            raw::Action::Withdraw(_) => Ok(Vec::new()),
        };
        match result {
            Ok(whats) => {
                let done_ms = self.world.now_ms();
                let events = whats.into_iter().map(|what| Event { asked_ms, done_ms, what });
                self.log.events.extend(events);
            }
            Err(error) => self.log.errors.push(error.to_string()),
        }
    }

    async fn targets(&mut self, action: &raw::TargetAction, on: bool) -> Result<Vec<What>, Error> {
        let first = self.scenario.first_target(self.scenario.service(&action.service));
        let first = first + action.first as usize;
        let indices: Vec<_> = (first..first + action.count as usize).collect();
        for index in &indices {
            let usual = self.stage.fleet.targets[*index].switches.clone();
            let switches = if on { laid_over(&usual, &action.switches) } else { usual };
            self.switch_target(*index, &switches).await?;
        }
        Ok(vec![What::Targets { indices, faulty: on }])
    }

    async fn switch_target(&self, index: usize, to: &target::Switches) -> Result<(), Error> {
        let switched = self.stage.fleet.switch_target(index, to).await;
        switched.map_err(Error::fleet("switch a target"))
    }

    async fn poison(&mut self, action: &raw::PoisonAction, on: bool) -> Result<Vec<What>, Error> {
        let service = self.scenario.service(&action.service);
        let first = self.scenario.first_target(service);
        for index in first..first + self.scenario.services[service].targets as usize {
            let usual = self.stage.fleet.targets[index].switches.clone();
            let die_on = if on { crate::caller::POISON_PATH } else { "" }.to_owned();
            self.switch_target(index, &target::Switches { die_on, ..usual }).await?;
        }
        Ok(vec![What::Poison { on }])
    }

    async fn link(
        &mut self,
        fault: usize,
        action: &raw::LinkAction,
        on: bool,
    ) -> Result<Vec<What>, Error> {
        self.links.retain(|(other, _)| *other != fault);
        if on {
            self.links.push((fault, self.link_rules(action)));
        }
        let rules: Vec<_> = self.links.iter().flat_map(|(_, rules)| rules.clone()).collect();
        self.stage.set_rules(self.scenario, &rules).await?;
        Ok(vec![What::Link { on }])
    }

    fn link_rules(&self, action: &raw::LinkAction) -> Vec<link::Rule> {
        let delay_ms = self.scenario.fleet.host_delay_ms;
        let usual = link::Fault { delay_ms, ..link::Fault::default() };
        let fault = |switches: &Option<raw::Switches>| {
            switches.as_ref().map_or(usual, |switches| laid_over(&usual, switches))
        };
        let (forth, back) = (fault(&action.forth), fault(&action.back));
        let hosts = &self.stage.fleet.hosts;
        let peers: Vec<_> = if action.to == "platform" {
            vec![self.stage.fleet.platform.address("listen")]
        } else {
            let there = hosts.iter().filter(|host| host.data_centre == action.to);
            there.map(|host| host.peer).collect()
        };
        let here = hosts.iter().filter(|host| host.data_centre == action.from);
        here.flat_map(|host| {
            peers.iter().map(|peer| link::Rule {
                from: Some(host.source),
                to: Some(peer.ip()),
                to_port: Some(peer.port()),
                forth,
                back,
            })
        })
        .collect()
    }

    async fn platform(&mut self, switches: &raw::Switches, on: bool) -> Result<Vec<What>, Error> {
        let usual = platform::Switches::default();
        let switches = if on { laid_over(&usual, switches) } else { usual };
        let switched = self.stage.fleet.switch_platform(&switches).await;
        switched.map_err(Error::fleet("switch the platform"))?;
        Ok(vec![What::Platform { on }])
    }

    async fn hosts(
        &mut self,
        fault: usize,
        action: &raw::HostAction,
        on: bool,
    ) -> Result<Vec<What>, Error> {
        let indices = match self.struck.remove(&fault) {
            Some(indices) => indices,
            None => self.choose(action).await?,
        };
        let mut whats = Vec::new();
        for index in &indices {
            let change = if on {
                self.strike(*index, action.signal).await
            } else {
                self.restore(*index, action.signal).await?
            };
            let address = self.stage.fleet.hosts[*index].caller;
            whats.push(What::Host { address, change });
        }
        if on {
            self.struck.insert(fault, indices);
        }
        Ok(whats)
    }

    /// Chooses the hosts that a fault strikes.
    async fn choose(&self, action: &raw::HostAction) -> Result<Vec<usize>, Error> {
        let first = action.index as usize;
        let span = first..first + action.count as usize;
        if action.home_of.is_empty() {
            return Ok(span.collect());
        }
        let homes = self.homes(&action.home_of).await?;
        Ok(homes.get(span).unwrap_or_default().to_vec())
    }

    /// Returns the hosts that the locator names for a service, in order of their index.
    async fn homes(&self, service: &str) -> Result<Vec<usize>, Error> {
        let located = self.stage.fleet.locate(self.standing(), service).await;
        let located = located.map_err(Error::fleet("ask the locator"))?;
        let hosts = self.stage.fleet.hosts.iter().enumerate();
        let named = hosts.filter(|(index, _)| !self.is_struck(*index)).filter(|(_, host)| {
            let address = host.caller.to_string();
            located.hosts.iter().any(|named| named.address == address)
        });
        Ok(named.map(|(index, _)| index).collect())
    }

    async fn strike(&mut self, index: usize, signal: raw::Signal) -> Change {
        let process = &mut self.stage.fleet.hosts[index].process;
        match signal {
            raw::Signal::Pause => {
                process.pause();
                Change::Paused
            }
            raw::Signal::Kill => {
                process.kill().await;
                Change::Killed
            }
            raw::Signal::Terminate => {
                process.terminate();
                self.ending.push((index, self.world.now_ms()));
                Change::Terminated
            }
        }
    }

    async fn restore(&mut self, index: usize, signal: raw::Signal) -> Result<Change, Error> {
        let process = &mut self.stage.fleet.hosts[index].process;
        if signal == raw::Signal::Pause {
            process.resume();
            return Ok(Change::Back);
        }
        // A host that doesn't end in time shows up as an error of the run.
        if tokio::time::timeout(SHUTDOWN_LIMIT, process.wait()).await.is_err() {
            self.log.errors.push(format!("host {index} did not end within {SHUTDOWN_LIMIT:?}"));
            self.stage.fleet.hosts[index].process.kill().await;
        }
        let restarted = self.stage.fleet.restart_host(index).await;
        restarted.map_err(Error::fleet("restart a host"))?;
        if self.scenario.fleet.caller_delay_ms > 0 {
            let port = self.stage.open_port(index).await?;
            let own = self.stage.fleet.hosts[index].caller;
            self.world.via.write().expect("no holder of the lock panics").insert(own, port);
            let rules: Vec<_> = self.links.iter().flat_map(|(_, rules)| rules.clone()).collect();
            self.stage.set_rules(self.scenario, &rules).await?;
        }
        Ok(Change::Back)
    }

    /// Returns a host that no fault has struck, for calls of operators.
    fn standing(&self) -> usize {
        let hosts = 0..self.stage.fleet.hosts.len();
        hosts.into_iter().find(|host| !self.is_struck(*host)).unwrap_or_default()
    }

    fn is_struck(&self, host: usize) -> bool {
        self.struck.values().flatten().any(|other| *other == host)
    }

    async fn withdraw(&mut self, action: &raw::WithdrawAction) -> Result<Vec<What>, Error> {
        let workspace = self.scenario.workspace(&action.workspace);
        let digest = self.stage.keys[workspace][0].digest.clone();
        let withdrawn = self.stage.fleet.withdraw_key(self.standing(), &digest).await;
        withdrawn.map_err(Error::fleet("withdraw a key"))?;
        Ok(vec![What::Withdrawn { workspace, caller: 0 }])
    }

    async fn leave(&mut self, action: &raw::LeaveAction, on: bool) -> Result<Vec<What>, Error> {
        let service = self.scenario.service(&action.service);
        let index = action.index as usize;
        self.stage.documents[service].leaving[index] = on;
        let host = self.standing();
        self.stage.write_document(self.scenario, service, host).await?;
        let target = self.scenario.first_target(service) + index;
        Ok(if on { vec![What::Leaving { target }] } else { Vec::new() })
    }
}

/// A fault to bring about or to undo.
#[derive(Debug)]
struct Step {
    at: Duration,
    fault: usize,
    on: bool,
}

fn steps(scenario: &Scenario) -> Vec<Step> {
    let mut steps = Vec::new();
    for (fault, spec) in scenario.faults.iter().enumerate() {
        steps.push(Step { at: Duration::from_secs_f64(spec.at_s), fault, on: true });
        if spec.for_s > 0.0 {
            let at = Duration::from_secs_f64(spec.at_s + spec.for_s);
            steps.push(Step { at, fault, on: false });
        }
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Returns switches with some of them replaced; checked scenarios name none that don't fit.
fn laid_over<T>(usual: &T, switches: &raw::Switches) -> T
where
    T: Clone + DeserializeOwned + Serialize,
{
    let mut value = serde_json::to_value(usual).unwrap_or_default();
    if let Some(fields) = value.as_object_mut() {
        fields.extend(switches.0.clone());
    }
    serde_json::from_value(value).unwrap_or_else(|_| usual.clone())
}
