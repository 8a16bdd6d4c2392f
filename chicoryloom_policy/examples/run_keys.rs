//! Compares the memory and time of the completed prefix with those of a plain set of used
//! numbers, and prints the memory of a series and of an outcome.
//!
//! Run with `cargo run --release -p chicoryloom_policy --example run_keys`.

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::collections::HashSet;
use std::hint::black_box;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Instant;

use chicoryloom_policy::Moment;
use chicoryloom_policy::id::Digest;
use chicoryloom_policy::id::Incarnation;
use chicoryloom_policy::ledger::Holder;
use chicoryloom_policy::run::Completed;
use chicoryloom_policy::run::FIRST_NUMBER;
use chicoryloom_policy::run::Fingerprint;
use chicoryloom_policy::run::Key;
use chicoryloom_policy::run::MAX_SERIES_PER_WORKSPACE;
use chicoryloom_policy::run::Registry;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64;

const KEYS: usize = 10_000;
const ROUNDS: usize = 200;
const SEED: u64 = 5;

/// Counts the bytes that are allocated.
struct Counting;

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is forwarded to the system's allocator.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static COUNTING: Counting = Counting;

/// Returns the numbers in ascending order, but shuffled within blocks of `block`.
fn arrivals(block: usize) -> Vec<u64> {
    let mut rng = Pcg64::seed_from_u64(SEED);
    let mut numbers: Vec<_> = (0..KEYS as u64).map(|n| n + FIRST_NUMBER).collect();
    numbers.chunks_mut(block).for_each(|chunk| chunk.shuffle(&mut rng));
    numbers
}

/// Prints the time and the peak memory of inserting the arrivals into a set.
fn measure<S>(name: &str, arrivals: &[u64], new: fn() -> S, insert: fn(&mut S, u64) -> bool) {
    let started = Instant::now();
    for _ in 0..ROUNDS {
        let mut set = new();
        for number in arrivals {
            black_box(insert(&mut set, *number));
        }
        black_box(&set);
    }
    let nanos = started.elapsed().as_nanos() as f64 / (ROUNDS * arrivals.len()) as f64;
    let before = ALLOCATED.load(Ordering::Relaxed);
    let mut set = new();
    let mut peak = 0;
    for number in arrivals {
        insert(&mut set, *number);
        peak = peak.max(ALLOCATED.load(Ordering::Relaxed) - before);
    }
    println!("  {name:20} {nanos:6.1} ns a key, at most {:7} bytes", peak + size_of::<S>());
}

/// Prints the memory of an idle series and of a kept outcome.
fn measure_registry() {
    let holder = Holder { host: "host-1".parse().unwrap(), incarnation: Incarnation(1) };
    let (workspace, service) = ("prairie".parse().unwrap(), "calendar".parse().unwrap());
    let mut registry = Registry::<u32>::new(holder);
    let before = ALLOCATED.load(Ordering::Relaxed);
    let issue = |registry: &mut Registry<u32>| {
        registry.issue(&workspace, Digest::of("k"), &service, Moment::ZERO)
    };
    let series: Vec<_> = (0..MAX_SERIES_PER_WORKSPACE).map(|_| issue(&mut registry)).collect();
    let issued = ALLOCATED.load(Ordering::Relaxed) - before - size_of_val(series.as_slice());
    println!("{} bytes an idle series", issued / MAX_SERIES_PER_WORKSPACE);
    for number in FIRST_NUMBER..FIRST_NUMBER + 10 {
        for series in &series {
            let key = Key { series: series.clone(), number };
            let fingerprint = Fingerprint::of("POST", "/seats", b"");
            registry.begin(&workspace, &service, &key, fingerprint, Moment::ZERO);
            registry.end(&workspace, &key, 0, 0);
        }
    }
    let kept = ALLOCATED.load(Ordering::Relaxed) - before - issued;
    println!("{} bytes an outcome beside its content", kept / (10 * MAX_SERIES_PER_WORKSPACE));
}

fn main() {
    measure_registry();
    for block in [1, 16, 200] {
        println!("{KEYS} keys, shuffled within blocks of {block}");
        let arrivals = arrivals(block);
        measure("completed prefix", &arrivals, Completed::new, |set, number| {
            let known = set.contains(number);
            set.insert(number);
            known
        });
        measure("plain set", &arrivals, HashSet::<u64>::new, |set, number| !set.insert(number));
    }
}
