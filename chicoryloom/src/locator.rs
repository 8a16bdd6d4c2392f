//! Tells callers which hosts to use for a service.

use chicoryloom_policy::id;
use chicoryloom_wire::generated::caller as raw;

use crate::control::FleetState;
use crate::control::View;

/// Returns the hosts for a service, best first, or `None` if the service is unknown.
///
/// `seed` rotates the order, so that different callers start at different hosts. Hosts that were
/// not heard from lately, or report that they don't serve, are left out unless that leaves none.
pub(crate) fn locate(
    view: &View,
    fleet: &FleetState,
    service: &id::Service,
    seed: u64,
    max_age_s: u32,
) -> Option<raw::Hosts> {
    view.documents.get(service)?;
    let homes = view.homes(service);
    let serving: Vec<_> = homes.iter().filter(|home| fleet.is_serving(home)).collect();
    let chosen = if serving.is_empty() { homes.iter().collect() } else { serving };
    let start = if chosen.is_empty() { 0 } else { seed as usize % chosen.len() };
    let rotated = chosen[start..].iter().chain(&chosen[..start]);
    let hosts = rotated.filter_map(|home| view.hosts.get(*home)).map(|host| raw::Host {
        address: host.caller.to_string(),
        data_centre: host.data_centre.to_string(),
    });
    Some(raw::Hosts { service: service.to_string(), hosts: hosts.collect(), max_age_s })
}

#[cfg(test)]
mod tests {
    use std::sync::Arc;

    use chicoryloom_wire::document;

    use super::*;
    use crate::control::HostState;

    const DOCUMENT: &str = "
service: calendar
routes: [{ name: all, path: / }]
workspaces: []
targets: []
";

    fn view() -> View {
        let mut view = View::default();
        let document = document::parse(DOCUMENT).unwrap().document;
        view.documents.insert(document.service.clone(), Arc::new(document));
        let host = |n: usize| chicoryloom_wire::platform::Host {
            name: format!("host-{n}").parse().unwrap(),
            data_centre: "regina".parse().unwrap(),
            caller: format!("127.0.0.1:{n}").parse().unwrap(),
            peer: format!("127.0.0.1:{n}").parse().unwrap(),
            leaving: false,
        };
        view.hosts = Arc::new((1..4).map(|n| (host(n).name, host(n))).collect());
        view.place();
        view
    }

    #[test]
    fn hosts_that_do_not_serve_are_left_out() {
        let view = view();
        let mut fleet = FleetState::default();
        let known =
            |serving, reachable| HostState { revision: id::Revision(1), serving, reachable };
        fleet.hosts.insert("host-1".parse().unwrap(), known(true, true));
        fleet.hosts.insert("host-2".parse().unwrap(), known(false, true));
        fleet.hosts.insert("host-3".parse().unwrap(), known(true, false));
        let service = "calendar".parse().unwrap();
        let located = locate(&view, &fleet, &service, 1, 5).unwrap();
        let addresses: Vec<_> = located.hosts.iter().map(|host| host.address.as_str()).collect();
        assert_eq!(addresses, ["127.0.0.1:1"]);
    }
}
