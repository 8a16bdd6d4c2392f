//! Bounds and references of scenarios.

use chicoryloom_standin::link;
use chicoryloom_standin::platform;
use chicoryloom_standin::target;
use chicoryloom_wire::generated::scenario as raw;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Error;

/// Most processes of a fleet.
const MAX_PROCESSES: u32 = 280;
/// Longest run, in seconds.
const MAX_DURATION_S: f64 = 900.0;
/// Most requests of a run.
const MAX_REQUESTS: f64 = 2_000_000.0;

/// Checks a whole scenario.
pub(super) fn scenario(raw: &raw::Scenario) -> Result<(), Error> {
    within("duration_s", raw.duration_s, 1.0, MAX_DURATION_S)?;
    fleet(raw)?;
    services(raw)?;
    workspaces(raw)?;
    for (index, phase) in raw.phases.iter().enumerate() {
        let field = format!("phases[{index}]");
        span(&field, phase.at_s, phase.for_s)?;
        within(&format!("{field}.factor"), phase.factor, 0.0, 100.0)?;
        if !phase.workspace.is_empty() {
            workspace(raw, &field, &phase.workspace)?;
        }
    }
    for (index, fault) in raw.faults.iter().enumerate() {
        let field = format!("faults[{index}]");
        span(&field, fault.at_s, fault.for_s)?;
        action(raw, &field, &fault.action)?;
    }
    Ok(())
}

fn fleet(raw: &raw::Scenario) -> Result<(), Error> {
    let targets: u32 = raw.services.iter().map(|service| service.targets).sum();
    let processes = raw.fleet.hosts.saturating_add(targets).saturating_add(2);
    if raw.fleet.hosts == 0 || raw.fleet.data_centres.is_empty() {
        return Err(Error::invalid("fleet", "needs a host and a data centre"));
    }
    if processes > MAX_PROCESSES {
        return Err(Error::invalid("fleet", format!("more than {MAX_PROCESSES} processes")));
    }
    Ok(())
}

fn services(raw: &raw::Scenario) -> Result<(), Error> {
    if raw.services.is_empty() {
        return Err(Error::invalid("services", "needs one"));
    }
    for (index, service) in raw.services.iter().enumerate() {
        let field = format!("services[{index}]");
        within(&format!("{field}.share"), service.share, f64::MIN_POSITIVE, 1.0)?;
        let weights = [service.read, service.book, service.download];
        for weight in weights {
            within(&format!("{field}: weight"), weight, 0.0, 1e6)?;
        }
        if weights.iter().sum::<f64>() <= 0.0 {
            return Err(Error::invalid(field, "needs a kind of request"));
        }
        if service.targets == 0 || service.slots == 0 || service.connections == 0 {
            return Err(Error::invalid(field, "targets, slots and connections must be above 0"));
        }
    }
    Ok(())
}

fn workspaces(raw: &raw::Scenario) -> Result<(), Error> {
    if raw.workspaces.is_empty() {
        return Err(Error::invalid("workspaces", "needs one"));
    }
    for (index, workspace) in raw.workspaces.iter().enumerate() {
        let field = format!("workspaces[{index}]");
        within(&format!("{field}.rate"), workspace.rate, f64::MIN_POSITIVE, 1e6)?;
        within(&format!("{field}.load"), workspace.load, 0.0, 1e6)?;
        if workspace.burst == 0 || workspace.callers == 0 {
            return Err(Error::invalid(field, "burst and callers must be above 0"));
        }
    }
    let load: f64 = raw.workspaces.iter().map(|workspace| workspace.load).sum();
    within("workspaces: requests of the run", load * raw.duration_s, 0.0, MAX_REQUESTS)
}

fn action(raw: &raw::Scenario, field: &str, action: &raw::Action) -> Result<(), Error> {
    match action {
        raw::Action::Target(target) => {
            let targets = service(raw, field, &target.service)?.targets;
            below(field, target.first.saturating_add(target.count), targets.saturating_add(1))?;
            switches::<target::Switches>(field, &target.switches)
        }
        raw::Action::Link(link) => {
            data_centre(raw, field, &link.from)?;
            if link.to != "platform" {
                data_centre(raw, field, &link.to)?;
            }
            let faults = [&link.forth, &link.back];
            faults.iter().copied().flatten().try_for_each(|f| switches::<link::Fault>(field, f))
        }
        raw::Action::Platform(platform) => switches::<platform::Switches>(field, platform),
        raw::Action::Host(host) => {
            if !host.home_of.is_empty() {
                service(raw, field, &host.home_of)?;
            }
            below(field, host.index.saturating_add(host.count), raw.fleet.hosts.saturating_add(1))
        }
        raw::Action::Withdraw(withdraw) => workspace(raw, field, &withdraw.workspace),
        raw::Action::Leave(leave) => {
            below(field, leave.index, service(raw, field, &leave.service)?.targets)
        }
        raw::Action::Poison(poison) => {
            within(&format!("{field}.every_ms"), poison.every_ms as f64, 1.0, 60_000.0)?;
            service(raw, field, &poison.service)?;
            workspace(raw, field, &poison.workspace)
        }
    }
}

/// Checks that switches fit their stand-in, field by field.
fn switches<T>(field: &str, switches: &raw::Switches) -> Result<(), Error>
where
    T: Default + DeserializeOwned + Serialize,
{
    let known = serde_json::to_value(T::default()).unwrap_or_default();
    if let Some(name) = switches.0.keys().find(|name| known.get(name.as_str()).is_none()) {
        return Err(Error::invalid(field, format!("no switch named {name}")));
    }
    let value = serde_json::Value::Object(switches.0.clone());
    let read = serde_json::from_value::<T>(value);
    read.map(|_| ()).map_err(|error| Error::invalid(field, error.to_string()))
}

fn service<'a>(raw: &'a raw::Scenario, field: &str, name: &str) -> Result<&'a raw::Service, Error> {
    let found = raw.services.iter().find(|service| service.name == name);
    found.ok_or_else(|| Error::invalid(field, format!("no service {name}")))
}

fn workspace(raw: &raw::Scenario, field: &str, name: &str) -> Result<(), Error> {
    let known = raw.workspaces.iter().any(|workspace| workspace.name == name);
    if known { Ok(()) } else { Err(Error::invalid(field, format!("no workspace {name}"))) }
}

fn data_centre(raw: &raw::Scenario, field: &str, name: &str) -> Result<(), Error> {
    let known = raw.fleet.data_centres.iter().any(|other| other == name);
    if known { Ok(()) } else { Err(Error::invalid(field, format!("no data centre {name}"))) }
}

fn below(field: &str, number: u32, bound: u32) -> Result<(), Error> {
    if number < bound {
        return Ok(());
    }
    Err(Error::invalid(field, format!("index {number} is past the last one")))
}

fn span(field: &str, at_s: f64, for_s: f64) -> Result<(), Error> {
    within(&format!("{field}.at_s"), at_s, 0.0, MAX_DURATION_S)?;
    within(&format!("{field}.for_s"), for_s, 0.0, MAX_DURATION_S)
}

fn within(field: &str, number: f64, low: f64, high: f64) -> Result<(), Error> {
    if (low..=high).contains(&number) {
        return Ok(());
    }
    Err(Error::invalid(field, format!("must be from {low} to {high}")))
}
