//! Benchmarks: the cost of one hop, and how costs grow with the fleet's sizes.

mod hop;
mod load;
mod slopes;
mod stream;

use std::fmt::Write;

use chicoryloom_harness::Fleet;

pub use hop::Hop;
pub use hop::hop;
pub use slopes::Part;
pub use slopes::Slopes;
pub use slopes::slopes;

use crate::Error;

/// What a generated document holds.
#[derive(Clone, Copy, Debug)]
struct Shape {
    routes: usize,
    grants: usize,
    /// Targets beside the fleet's own; nothing listens at their addresses.
    targets: usize,
}

/// Grants of generated documents: far above what any benchmark sends.
const AMPLE_RATE: u32 = 1_000_000;

/// Returns a document over the fleet's targets and some made up ones.
///
/// `edit` names the last route's class, so that two edits differ.
fn document(fleet: &Fleet, service: &str, shape: Shape, edit: usize) -> String {
    let mut routes = String::from("  - { name: all, path: /, repeatable: true }");
    for route in 1..shape.routes {
        let _ = write!(routes, "\n  - {{ name: r{route}, path: /area-{route}/, class: c{edit} }}");
    }
    let mut grants = Vec::new();
    for grant in 0..shape.grants {
        grants.push(format!(
            "  - {{ workspace: {service}-w{grant}, rate: {AMPLE_RATE}, burst: {AMPLE_RATE} }}"
        ));
    }
    let mut text = fleet.document(service, &routes, &grants.join("\n"));
    for target in 0..shape.targets {
        let (high, low) = (target / 250, target % 250 + 1);
        let _ = writeln!(
            text,
            "  - {{ address: '127.9.{high}.{low}:9', data_centre: regina, slots: 2, \
             connections: 350 }}"
        );
    }
    text
}

/// Waits until every host is fresh and holds some documents and keys.
async fn until_held(fleet: &Fleet, documents: usize, keys: usize) {
    for host in 0..fleet.hosts.len() {
        let name = format!("host {host} holds the state");
        chicoryloom_harness::until(&name, async || holds(fleet, host, documents, keys).await).await;
    }
}

/// Tells whether a host is fresh and holds some documents and keys.
async fn holds(fleet: &Fleet, host: usize, documents: usize, keys: usize) -> bool {
    let Ok(status) = fleet.status(host).await else {
        return false;
    };
    status["fresh"] == true
        && status["documents"].as_array().map_or(0, Vec::len) >= documents
        && status["keys"].as_u64() >= Some(keys as u64)
}

async fn put(fleet: &Fleet, service: &str, expected: u64, text: &str) -> Result<u64, Error> {
    let written = fleet.put_document(0, service, expected, text).await;
    written.map_err(Error::fleet("write a document"))
}
