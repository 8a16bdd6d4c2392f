//! Measures for how many services the home hosts change when one host is lost.
//!
//! Run with `cargo run --release -p chicoryloom_policy --example placement_moves`; prints one line
//! for each fleet size.

use chicoryloom_policy::id;
use chicoryloom_policy::placement;
use chicoryloom_policy::placement::Candidate;

/// Number of services.
const SERVICES: usize = 370;
/// Maximum number of hosts that are removed, one at a time.
const LOSSES: usize = 200;

fn main() {
    for (size, centres) in [(36, 4), (1100, 5)] {
        let hosts: Vec<_> = (0..size).map(|n| candidate(n, centres)).collect();
        let services: Vec<id::Service> = (0..SERVICES)
            .map(|n| format!("service-{n}").parse().expect("the name is valid"))
            .collect();
        let homes = |hosts: &[Candidate]| -> Vec<Vec<id::Host>> {
            let homes = |service| placement::homes(service, hosts, placement::MIN_HOMES);
            services.iter().map(homes).collect()
        };
        let before = homes(&hosts);
        let mut moved = 0;
        let losses = size.min(LOSSES);
        for lost in 0..losses {
            let mut rest = hosts.clone();
            rest.remove(lost * size / losses);
            let after = homes(&rest);
            moved += before.iter().zip(&after).filter(|(before, after)| before != after).count();
        }
        let share = 100.0 * moved as f64 / (SERVICES * losses) as f64;
        let least = 100.0 * placement::MIN_HOMES as f64 / size as f64;
        println!(
            "{size} hosts: {share:.2} % of services move; {least:.2} % have a given host as a home on average"
        );
    }
}

fn candidate(n: usize, centres: usize) -> Candidate {
    Candidate {
        host: format!("host-{n}").parse().expect("the name is valid"),
        data_centre: format!("dc-{}", n % centres).parse().expect("the name is valid"),
    }
}
