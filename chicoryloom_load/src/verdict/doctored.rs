//! Every judge must find fault with a doctored run.

use std::net::SocketAddr;

use chicoryloom_standin::target::Outcome;
use chicoryloom_standin::target::Run;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

use super::grant::Span;
use super::grant::worst;
use super::*;
use crate::arrival::Kind;
use crate::caller::Attempt;
use crate::caller::End;
use crate::event::Change;
use crate::event::What;

const KEY: &str = "secret-key";

fn host() -> SocketAddr {
    "127.3.0.1:80".parse().unwrap()
}

fn record(id: u64, sent_ms: f64, end: End) -> Record {
    Record {
        id,
        workspace: 0,
        service: 0,
        caller: 0,
        kind: Kind::Book,
        intended_ms: sent_ms,
        attempts: vec![Attempt { host: host(), sent_ms, ended_ms: sent_ms + 10.0, end }],
    }
}

fn run(id: u64) -> Run {
    Run {
        method: "POST".to_owned(),
        path: format!("/book?id={id}"),
        workspace: "prairie".to_owned(),
        headers: vec![(caller::ATTEMPT.to_owned(), "0".to_owned())],
        at_ms: 5,
        outcome: Outcome::Done,
    }
}

fn answered() -> End {
    End::Answered { status: 200, genuine: true }
}

fn refused() -> End {
    End::Refused { status: 503, code: "deadline".to_owned(), not_run: true, retry_after_s: None }
}

/// Returns a sound run of two bookings, far apart, at two targets.
fn sound() -> Evidence {
    Evidence {
        records: vec![record(1, 0.0, answered()), record(2, 60_000.0, answered())],
        journals: vec![vec![run(1)], vec![run(2)]],
        events: Vec::new(),
        workspaces: vec!["prairie".to_owned()],
        grants: vec![vec![Grant { rate: 1.0, burst: 1 }]],
        keys: vec![KEY.to_owned()],
    }
}

fn event(what: What) -> Event {
    Event { asked_ms: 100.0, done_ms: 100.0, what }
}

#[test]
fn sound_run_is_passed() {
    assert!(judge(&sound()).iter().all(Verdict::held));
}

#[rstest]
#[case::double_run("at most once", |e: &mut Evidence| e.journals[1].push(run(1)))]
#[case::cancelled_run_counts("at most once", |e: &mut Evidence| {
    e.journals[1].push(Run { outcome: Outcome::Cancelled, ..run(1) });
})]
#[case::false_not_run("\"not run\"", |e: &mut Evidence| e.records[0].attempts[0].end = refused())]
#[case::foreign_answer("whole", |e: &mut Evidence| {
    e.records[0].attempts[0].end = End::Answered { status: 200, genuine: false };
})]
#[case::over_grant("burst + rate", |e: &mut Evidence| {
    e.records.push(record(3, 1.0, answered()));
    e.journals[0].push(run(3));
})]
#[case::foreign_workspace("only for its key's workspace", |e: &mut Evidence| {
    e.journals[0][0].workspace = "wind".to_owned();
})]
#[case::key_in_header("sees a key", |e: &mut Evidence| {
    e.journals[0][0].headers.push(("cookie".to_owned(), format!("k={KEY}")));
})]
#[case::key_in_path("sees a key", |e: &mut Evidence| e.journals[0][0].path.push_str(KEY))]
#[case::run_after_withdrawal("withdrawn key", |e: &mut Evidence| {
    e.events.push(event(What::Withdrawn { workspace: 0, caller: 0 }));
})]
#[case::run_at_leaving_target("leaving target", |e: &mut Evidence| {
    e.events.push(event(What::Leaving { target: 1 }));
})]
#[case::cut_by_shutdown("graceful shutdown", |e: &mut Evidence| {
    e.events.push(event(What::Host { address: host(), change: Change::Terminated }));
    e.records[1].attempts[0].end = End::Broken { reason: "reset".to_owned() };
})]
fn doctored_run_is_found(#[case] invariant: &str, #[case] doctor: fn(&mut Evidence)) {
    let mut evidence = sound();
    doctor(&mut evidence);
    let broken: Vec<_> = judge(&evidence).into_iter().filter(|v| !v.held()).collect();
    let names: Vec<_> = broken.iter().map(|verdict| verdict.invariant.as_str()).collect();
    assert!(names.len() == 1 && names[0].contains(invariant), "{names:?}");
}

#[test]
fn request_to_an_ended_host_is_not_cut_by_its_shutdown() {
    let mut evidence = sound();
    let host_event = |change| event(What::Host { address: host(), change });
    evidence.events.push(host_event(Change::Terminated));
    let ended = Event { asked_ms: 500.0, done_ms: 550.0, ..host_event(Change::Ended) };
    evidence.events.push(ended);
    evidence.records[1].attempts[0].end = End::Broken { reason: "reset".to_owned() };
    assert!(judge(&evidence).iter().all(Verdict::held));
    evidence.records[1].attempts[0].sent_ms = 499.0;
    assert!(!judge(&evidence).iter().all(Verdict::held));
}

#[test]
fn shed_requests_are_no_runs() {
    let mut evidence = sound();
    evidence.journals[1].push(Run { outcome: Outcome::Shed, ..run(1) });
    assert!(judge(&evidence).iter().all(Verdict::held));
}

/// Finds the worst window by looking at each one.
fn worst_by_enumeration(spans: &[Span], grant: Grant) -> f64 {
    let mut worst = f64::NEG_INFINITY;
    for start in spans.iter().map(|span| span.sent_ms) {
        for end in spans.iter().map(|span| span.ended_ms).filter(|end| *end >= start) {
            let within = spans.iter().filter(|s| s.sent_ms >= start && s.ended_ms <= end).count();
            if within > 0 {
                let bound = f64::from(grant.burst) + grant.rate * (end - start) / 1000.0;
                worst = worst.max(within as f64 - bound);
            }
        }
    }
    worst
}

#[test]
fn worst_window_is_the_one_that_enumeration_finds() {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    for _ in 0..200 {
        let span = |rng: &mut Pcg64Mcg| {
            let sent_ms = rng.random_range(0..2000).into();
            Span { sent_ms, ended_ms: sent_ms + f64::from(rng.random_range(0..300)) }
        };
        let spans: Vec<_> = (0..rng.random_range(1..30)).map(|_| span(&mut rng)).collect();
        let grant = Grant { rate: rng.random_range(1.0..20.0), burst: rng.random_range(1..8) };
        let (excess, start, end) = worst(spans.clone(), grant).unwrap();
        assert!((excess - worst_by_enumeration(&spans, grant)).abs() < 1e-6);
        assert!(end >= start);
    }
}
