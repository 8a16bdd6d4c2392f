//! Tells callers which hosts to use for a service.

use chicoryloom_policy::id;
use chicoryloom_wire::generated::caller as raw;

use crate::control::View;

/// Returns the hosts for a service, best first, or `None` if the service is unknown.
///
/// `seed` turns the order, so that different callers start at different hosts.
pub(crate) fn locate(
    view: &View,
    service: &id::Service,
    seed: u64,
    max_age_s: u32,
) -> Option<raw::Hosts> {
    view.documents.get(service)?;
    let homes = view.homes(service);
    let turn = if homes.is_empty() { 0 } else { seed as usize % homes.len() };
    let turned = homes[turn..].iter().chain(&homes[..turn]);
    let hosts = turned.filter_map(|home| view.hosts.get(home)).map(|host| raw::Host {
        address: host.caller.to_string(),
        data_centre: host.data_centre.to_string(),
    });
    Some(raw::Hosts { service: service.to_string(), hosts: hosts.collect(), max_age_s })
}
