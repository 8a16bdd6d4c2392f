//! Measures the time of an admission decision, compared with a plain token bucket in the same run.
//!
//! Run with `cargo run --release -p chicoryloom_policy --example admission`.

use std::collections::HashMap;
use std::hint::black_box;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use chicoryloom_policy::Moment;
use chicoryloom_policy::account::Account;
use chicoryloom_policy::id::Workspace;
use chicoryloom_policy::limit::Bucket;
use chicoryloom_policy::limit::Flow;
use chicoryloom_policy::limit::Share;
use chicoryloom_policy::limit::Tokens;

const DECISIONS: u32 = 10_000_000;
/// Simulated time between two decisions.
const GAP: Duration = Duration::from_micros(10);
const WORKSPACES: usize = 78;

fn measure(name: &str, mut decide: impl FnMut(u32, Moment)) -> f64 {
    let started = Instant::now();
    let mut now = Moment::ZERO;
    for index in 0..DECISIONS {
        now = now.after(GAP);
        decide(index, now);
    }
    let nanos = started.elapsed().as_nanos() as f64 / f64::from(DECISIONS);
    println!("{name:40} {nanos:6.1} ns");
    nanos
}

fn main() {
    let share = Share { flow: Flow::from_estimate(50_000.0), cap: Tokens::whole(100) };
    let mut bucket = Bucket::empty(share, Moment::ZERO);
    let plain_nanos = measure("plain bucket", |_, now| {
        let _ = black_box(bucket.take(now));
    });
    let mut account = Account::new(Moment::ZERO);
    account.set_share(share, Moment::ZERO);
    let account_nanos = measure("account: demand, loans, loan request", |_, now| {
        let _ = black_box(account.admit(now));
        black_box(account.request_loan(now));
    });
    let names: Vec<Workspace> =
        (0..WORKSPACES).map(|n| format!("workspace-{n}").parse().unwrap()).collect();
    let accounts: HashMap<_, _> =
        names.iter().map(|name| (name.clone(), Mutex::new(account.clone()))).collect();
    let locked_nanos = measure("account behind a map and a lock", |index, now| {
        let mut account = accounts[&names[index as usize % WORKSPACES]].lock().unwrap();
        let _ = black_box(account.admit(now));
        black_box(account.request_loan(now));
    });
    println!(
        "ratio to the plain bucket: {:.1} and {:.1}",
        account_nanos / plain_nanos,
        locked_nanos / plain_nanos
    );
    println!("{} bytes an account without loans", size_of::<Account>());
}
